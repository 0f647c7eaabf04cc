#include "ragwortpin/runtime/quoting.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;

TEST_CASE("a log value of any bytes stays one field of one line")
{
    struct quoting_case
    {
        std::string value;
        std::string quoted;
    };
    const std::vector<quoting_case> cases{
        {"", R"("")"},
        {"jeda95a", R"("jeda95a")"},
        {R"(a" b="\c)", R"("a\" b=\"\\c")"},
        {"\xed\xa0\x80", R"("\xed\xa0\x80")"},
        {"a\r\nb\x7f", R"("a\x0d\x0ab\x7f")"},
        {std::string{"a\0b", 3}, R"("a\x00b")"},
    };
    for (const auto &entry : cases) {
        std::string line;
        appendQuoted(line, entry.value);
        CHECK(line == entry.quoted);
    }
}
