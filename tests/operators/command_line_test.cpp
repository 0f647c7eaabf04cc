#include "ragwortpin/operators/command_line.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

using argument_list = std::vector<std::string>;

struct invalid_command_line
{
    argument_list arguments;
    std::string problem;
};

struct valid_command_line
{
    argument_list arguments;
    operator_command command;
};

} // namespace

TEST_CASE("an invalid command line is rejected with a message that names the remedy")
{
    const std::vector<invalid_command_line> cases{
        {{}, "--help"},
        {{"frobnicate"}, "no command 'frobnicate'"},
        {{"keys"}, "no command 'keys'"},
        {{"keys", "steal"}, "no command 'keys steal'"},
        {{"check"}, "at least one FILE"},
        {{"publish", "f"}, "--store IP:PORT"},
        {{"publish", "--store", "127.0.0.1:1"}, "at least one FILE"},
        {{"diff", "f"}, "--store"},
        {{"show"}, "--store"},
        {{"history", "--store", "127.0.0.1:1", "extra"}, "'extra'"},
        {{"status"}, "--nodes"},
        {{"keys", "make", "a"}, "--workspace"},
        {{"keys", "make", "--workspace", "w"}, "NAME of one key"},
        {{"keys", "withdraw", "a", "b", "--store", "127.0.0.1:1"}, "NAME of one key"},
        {{"show", "--store", "example.org:1"}, "IP:PORT"},
        {{"show", "--store", "127.0.0.1"}, "IP:PORT"},
        {{"show", "--store", "127.0.0.1:1,"}, "IP:PORT"},
        {{"show", "--store", ""}, "IP:PORT"},
        {{"show", "--store", "127.0.0.1:1", "--revision", "-1"}, "revision number"},
        {{"show", "--store", "127.0.0.1:1", "--timeout", "0"}, "seconds above 0"},
        {{"show", "--store", "127.0.0.1:1", "--timeout", "nan"}, "seconds above 0"},
        {{"show", "--store", "127.0.0.1:1", "--timeout", "1h"}, "seconds above 0"},
        {{"publish", "f", "--store", "127.0.0.1:1", "--base", "last"}, "--base needs"},
        {{"publish", "f", "--store", "127.0.0.1:1", "--author", "a\nb"}, "--author needs"},
        {{"publish", "f", "--store", "127.0.0.1:1", "--revision-above", "x"}, "--revision-above needs"},
        {{"show", "--strore", "x"}, "option is unknown"},
        {{"show", "--store"}, "lacks its value"},
    };
    for (const auto &item : cases) {
        CAPTURE(item.arguments);
        const auto result = parseCommandLine(item.arguments);
        CHECK_FALSE(result.value.has_value());
        CHECK(result.problem.find(item.problem) != std::string::npos);
    }
}

TEST_CASE("each command is recognised")
{
    const std::vector<valid_command_line> cases{
        {{"--help"}, operator_command::Help},
        {{"check", "--help"}, operator_command::Help},
        {{"--version"}, operator_command::Version},
        {{"check", "a", "b"}, operator_command::Check},
        {{"--store=127.0.0.1:1", "diff", "a"}, operator_command::Diff},
        {{"publish", "a", "--store", "127.0.0.1:1"}, operator_command::Publish},
        {{"show", "--store", "127.0.0.1:1"}, operator_command::Show},
        {{"history", "--store", "127.0.0.1:1"}, operator_command::History},
        {{"status", "--nodes", "127.0.0.1:1"}, operator_command::Status},
        {{"keys", "make", "a", "--workspace", "w"}, operator_command::KeysMake},
        {{"keys", "withdraw", "a", "--store", "127.0.0.1:1"}, operator_command::KeysWithdraw},
    };
    for (const auto &item : cases) {
        CAPTURE(item.arguments);
        const auto result = parseCommandLine(item.arguments);
        CAPTURE(result.problem);
        REQUIRE(result.value.has_value());
        CHECK(result.value->command == item.command);
    }
}

TEST_CASE("options are stored in the parsed command line")
{
    const auto result
        = parseCommandLine({"publish", "a", "--store", "127.0.0.1:1,[::1]:2", "--base", "7", "--timeout", "0.25", "b", "--json"});
    REQUIRE(result.value.has_value());
    CHECK(result.value->files == argument_list{"a", "b"});
    CHECK(result.value->store == std::vector<endpoint>{{"127.0.0.1", 1}, {"::1", 2}});
    CHECK(result.value->base == 7U);
    CHECK(result.value->timeout == milliseconds{250});
    CHECK(result.value->json);
    CHECK(parseCommandLine({"publish", "a", "--store", "127.0.0.1:1", "--base", "head"}).value->baseIsHead);
}
