#include "ragwortpin/core/names.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;

TEST_CASE("only text that is safe in headers, keys and log lines is a name")
{
    struct name_case
    {
        std::string description;
        std::string text;
        bool isValid;
    };
    const std::vector<name_case> cases{
        {"ASCII", "jeda95a", true},
        {"space inside", "team talk", true},
        {"two bytes", "bl\xc3\xa5", true},
        {"three bytes", "\xe0\xa4\x95", true},
        {"four bytes", "\xf0\x9f\x8f\x8f", true},
        {"longest", std::string(MaxNameBytes, 'x'), true},
        {"empty", "", false},
        {"too long", std::string(MaxNameBytes + 1, 'x'), false},
        {"space in front", " a", false},
        {"space behind", "a ", false},
        {"high surrogate", "\xed\xa0\x80", false},
        {"low surrogate", "\xed\xb0\x80", false},
        {"overlong slash", "\xc0\xaf", false},
        {"overlong three bytes", "\xe0\x80\xaf", false},
        {"above the last code point", "\xf4\x90\x80\x80", false},
        {"lone continuation", "\x80", false},
        {"cut sequence", "a\xe0\xa4", false},
        {"sequence broken by ASCII", "\xe0\xa4x", false},
        {"byte that never occurs", "\xff", false},
        {"NUL", std::string{"a\0b", 3}, false},
        {"line end", "a\r\nX: y", false},
        {"tab", "a\tb", false},
        {"delete", "a\x7f", false},
        {"C1 control", "a\xc2\x85", false},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.description);
        CHECK(isName(entry.text) == entry.isValid);
    }
}
