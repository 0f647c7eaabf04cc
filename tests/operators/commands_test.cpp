#include "config/examples.h"
#include "config/fake_store.h"
#include "store/scripted_server.h"

#include "ragwortpin/config/lookup.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/publication.h"
#include "ragwortpin/identity/digest.h"
#include "ragwortpin/operators/commands.h"
#include "ragwortpin/store/error.h"

#include <catch2/catch.hpp>

#include <jsoncpp/json/reader.h>
#include <jsoncpp/json/value.h>

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

using namespace ragwortpin;
using testing::fake_store;

namespace {

struct command_outcome
{
    exit_code code{exit_code::Ok};
    std::string output;
    std::string errors;
};

/** Runs commands against files in memory, a store with injected errors, and fixed reports of nodes. */
struct command_fixture
{
    fake_store store;
    std::map<std::string, std::string> files;
    std::vector<node_report> nodes;
    /** Error returned for transactions, which then have no effect. */
    std::optional<store_errc> writeError;
    /** Error returned for reads. */
    std::optional<store_errc> readError;
    int randomCalls{0};

    store_reply perform(const store_request &request)
    {
        const auto &error = std::holds_alternative<store_range>(request) ? readError : writeError;
        if (!error) {
            return store.perform(request);
        }
        // After a failed write, reads fail with the same error until the test resets it.
        readError = error;
        store_reply reply;
        reply.error = *error;
        return reply;
    }

    command_outcome run(const std::vector<std::string> &arguments)
    {
        std::ostringstream output;
        std::ostringstream errors;
        const command_environment environment{
            .output = output,
            .errors = errors,
            .readFile =
                [this](const std::string &path) {
                    const auto found = files.find(path);
                    return found == files.end() ? file_content{std::make_error_code(std::errc::no_such_file_or_directory), {}}
                                                : file_content{{}, found->second};
                },
            .connect = [this](const std::vector<endpoint> &, duration) -> store_call {
                return [this](const store_request &request) {
                    return perform(request);
                };
            },
            .queryNodes =
                [this](const std::vector<endpoint> &, duration) {
                    return nodes;
                },
            .randomHex =
                [this](std::size_t bytes) {
                    return std::string(bytes * 2 - 1, 'a') + std::to_string(++randomCalls % 10);
                },
            .wallClock =
                [] {
                    return microseconds{1'800'000'000'000'000};
                },
            .userName = "ana",
        };
        const auto parsed = parseCommandLine(arguments);
        REQUIRE(parsed.value.has_value());
        const auto code = runCommand(*parsed.value, environment);
        return {code, output.str(), errors.str()};
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    std::istringstream input{text};
    REQUIRE_NOTHROW(input >> value);
    return value;
}

command_fixture makeFixtureWithExample()
{
    command_fixture test;
    test.files["set"] = testing::readExample(testing::ExampleNames[0]);
    return test;
}

node_report makeNodeReport(const std::string &name, std::uint64_t revision)
{
    node_report report;
    report.address = {"127.0.0.1", 1};
    report.instance = name;
    report.state = "ready";
    report.revision = revision;
    return report;
}

const std::vector<std::string> PublishArguments{"publish", "set", "--store", "127.0.0.1:1"};

} // namespace

TEST_CASE("check reports errors with file and line and exits with 1")
{
    auto test = makeFixtureWithExample();
    CHECK(test.run({"check", "set"}).code == exit_code::Ok);
    CHECK(contains(test.run({"check", "set"}).output, "8 workspaces"));
    test.files["bad"] = replaced(test.files["set"], "workspace: howrah-coaches", "workspace: howrah-coach");
    const auto bad = test.run({"check", "bad"});
    CHECK(bad.code == exit_code::Rejected);
    CHECK(contains(bad.errors, "key 'howrah-coaches-1': workspace 'howrah-coach' is not defined; did you mean 'howrah-coaches'?"));
    CHECK(contains(bad.errors, "bad:"));
    const auto json = parseJson(test.run({"check", "bad", "--json"}).output);
    CHECK_FALSE(json["valid"].asBool());
    CHECK(json["problems"][0]["line"].asInt() > 0);
    const auto missing = test.run({"check", "none"});
    CHECK(missing.code == exit_code::Usage);
    CHECK(contains(missing.errors, "check the path"));
}

TEST_CASE("publish, show, history and diff are consistent with each other")
{
    auto test = makeFixtureWithExample();
    CHECK(test.run({"show", "--store", "127.0.0.1:1"}).code == exit_code::Rejected);
    CHECK(test.run(PublishArguments).code == exit_code::Ok);
    const auto again = test.run(PublishArguments);
    CHECK(again.code == exit_code::Ok);
    CHECK(contains(again.output, "nothing to change"));

    const auto shown = test.run({"show", "--store", "127.0.0.1:1"});
    CHECK(contains(shown.output, "--base 1"));
    test.files["shown"] = shown.output;
    CHECK(contains(test.run({"diff", "shown", "--store", "127.0.0.1:1"}).output, "nothing changed"));
    test.files["edited"] = replaced(shown.output, "rate: 300", "rate: 250");
    const auto noBase = test.run({"publish", "edited", "--store", "127.0.0.1:1"});
    CHECK(noBase.code == exit_code::Usage);
    CHECK(contains(noBase.errors, "--base"));
    CHECK(contains(test.run({"diff", "edited", "--store", "127.0.0.1:1"}).output, "~ workspace 'bengal-cricket-academies'"));
    CHECK(test.run({"publish", "edited", "--store", "127.0.0.1:1", "--base", "1", "--author", "ben"}).code == exit_code::Ok);

    const auto history = test.run({"history", "--store", "127.0.0.1:1"});
    CHECK(contains(history.output, "1         2027-01-15T08:00:00Z  ana"));
    CHECK(contains(history.output, "ben               1 changed"));
    const auto first = parseJson(test.run({"show", "--store", "127.0.0.1:1", "--revision", "1", "--json"}).output);
    CHECK(first["revision"].asUInt64() == 1);
    CHECK(first["workspaces"].size() == 8);
    CHECK(first["routes"][0].isMember("deadline_ms"));
    CHECK(test.run({"publish", "set", "--store", "127.0.0.1:1", "--base", "head"}).code == exit_code::Ok);
}

TEST_CASE("a publication conflict names the objects and the base to publish with")
{
    auto test = makeFixtureWithExample();
    CHECK(test.run(PublishArguments).code == exit_code::Ok);
    test.files["a"] = replaced(test.files["set"], "rate: 300", "rate: 250");
    test.files["b"] = replaced(test.files["set"], "rate: 300", "rate: 260");
    CHECK(test.run({"publish", "a", "--store", "127.0.0.1:1", "--base", "1"}).code == exit_code::Ok);
    const auto conflict = test.run({"publish", "b", "--store", "127.0.0.1:1", "--base", "1"});
    CHECK(conflict.code == exit_code::Rejected);
    CHECK(contains(conflict.errors, "workspace 'bengal-cricket-academies'"));
    CHECK(contains(conflict.errors, "publish with --base 2"));
    const auto json = parseJson(test.run({"publish", "b", "--store", "127.0.0.1:1", "--base", "1", "--json"}).output);
    CHECK(json["status"].asString() == "refused");
    CHECK(json["conflicts"][0]["name"].asString() == "bengal-cricket-academies");
    CHECK(contains(test.run({"publish", "b", "--store", "127.0.0.1:1", "--base", "9"}).errors, "publish with --base 2"));
}

TEST_CASE("an unreachable store exits with 3, a lost response with 4, and a repeated publication takes effect once")
{
    auto test = makeFixtureWithExample();
    test.readError = store_errc::Unreachable;
    const auto unreachable = test.run(PublishArguments);
    CHECK(unreachable.code == exit_code::StoreUnreachable);
    CHECK(contains(unreachable.errors, "check its addresses"));
    CHECK(test.run({"history", "--store", "127.0.0.1:1"}).code == exit_code::StoreUnreachable);

    test.readError.reset();
    test.writeError = store_errc::AnswerLost;
    const auto unknown = test.run(PublishArguments);
    CHECK(unknown.code == exit_code::Unknown);
    CHECK(contains(unknown.errors, "run the same command again"));
    test.readError.reset();
    test.writeError.reset();
    CHECK(test.run(PublishArguments).code == exit_code::Ok);
    CHECK(loadHistory(test.store.call()).history.size() == 1);
}

TEST_CASE("a generated key is valid once published and invalid once withdrawn")
{
    auto test = makeFixtureWithExample();
    const auto made = test.run({"keys", "make", "ops-1", "--workspace", "village-coaches"});
    CHECK(made.code == exit_code::Ok);
    const auto secret = std::string(63, 'a') + "1";
    CHECK(contains(made.output, "# secret: " + secret));
    CHECK(contains(made.output, "sha256: " + sha256Hex(secret)));
    const auto json = parseJson(test.run({"keys", "make", "ops-1", "--workspace", "w", "--json"}).output);
    CHECK(sha256Hex(json["secret"].asString()) == json["key"]["sha256"].asString());
    CHECK(test.run({"keys", "make", "Ops", "--workspace", "w"}).code == exit_code::Usage);

    test.files["set"] = replaced(test.files["set"], "keys:\n", "keys:\n" + made.output);
    CHECK(test.run(PublishArguments).code == exit_code::Ok);
    CHECK(findKey(*buildIndex(*loadRevision(test.store.call(), 1).value), sha256Hex(secret)) != nullptr);
    const auto unknown = test.run({"keys", "withdraw", "ops-2", "--store", "127.0.0.1:1"});
    CHECK(unknown.code == exit_code::Rejected);
    CHECK(contains(unknown.errors, "did you mean 'ops-1'?"));
    CHECK(test.run({"keys", "withdraw", "ops-1", "--store", "127.0.0.1:1"}).code == exit_code::Ok);
    CHECK(findKey(*buildIndex(*loadRevision(test.store.call(), 2).value), sha256Hex(secret)) == nullptr);
    CHECK(loadRevision(test.store.call(), 2).value->keys.size() == 8);
}

TEST_CASE("status warns of nodes that are behind and exits with 1 when a node is behind or unreachable")
{
    auto test = makeFixtureWithExample();
    CHECK(test.run(PublishArguments).code == exit_code::Ok);
    test.nodes = {makeNodeReport("n1", 1), makeNodeReport("n2", 1)};
    CHECK(test.run({"status", "--nodes", "127.0.0.1:1"}).code == exit_code::Ok);
    CHECK(test.run({"status", "--nodes", "127.0.0.1:1", "--store", "127.0.0.1:1"}).code == exit_code::Ok);
    test.nodes[1].revision = 0;
    const auto behind = test.run({"status", "--nodes", "127.0.0.1:1"});
    CHECK(behind.code == exit_code::Rejected);
    CHECK(contains(behind.errors, "n2 at 127.0.0.1:1 has revision 0, 1 is the newest"));
    test.nodes = {makeNodeReport("n1", 0)};
    CHECK(test.run({"status", "--nodes", "127.0.0.1:1", "--store", "127.0.0.1:1"}).code == exit_code::Rejected);
    test.nodes = {makeNodeReport("n1", 1), {{"127.0.0.1", 2}, "no answer", "", "", "", "", 0}};
    const auto json = parseJson(test.run({"status", "--nodes", "127.0.0.1:1", "--json"}).output);
    CHECK_FALSE(json["all_current"].asBool());
    CHECK(json["nodes"][1]["problem"].asString() == "no answer");
}

TEST_CASE("nodes are queried over HTTP and each failure is reported")
{
    using kind = testing::scripted_step::kind;
    const std::string body = R"({"instance":"n1","availability_zone":"a","service":"clips","state":"ready","revision":7})";
    const testing::scripted_server good{{{kind::Answer, testing::httpAnswer("200 OK", body)}}};
    const testing::scripted_server wrong{{{kind::Answer, testing::httpAnswer("404 Not Found", "{}")}}};
    const testing::scripted_server garbage{{{kind::Answer, testing::httpAnswer("200 OK", "[[[")}}};
    const testing::scripted_server silent{{{kind::Silence, ""}}};
    const auto reports = queryNodes({good.address(), wrong.address(), garbage.address(), silent.address()}, seconds{3});
    REQUIRE(reports.size() == 4);
    CHECK(reports[0].problem.empty());
    CHECK(reports[0].instance == "n1");
    CHECK(reports[0].revision == 7);
    CHECK(contains(reports[1].problem, "answered 404"));
    CHECK(contains(reports[2].problem, "not a node's status"));
    CHECK(contains(reports[3].problem, "no answer"));
}
