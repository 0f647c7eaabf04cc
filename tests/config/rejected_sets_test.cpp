#include "ragwortpin/config/check.h"
#include "ragwortpin/config/parse.h"

#include <catch2/catch.hpp>

#include <limits>
#include <string>

using namespace ragwortpin;

namespace {

const std::string Digest(64, 'a');
const std::string OtherDigest(64, 'b');

/** A valid configuration. The lines in the table of rejected configurations refer to it. */
const std::string ValidConfiguration = "availability_zones:\n" // 1
                                       "  - name: north\n" // 2
                                       "    region: bengal\n"
                                       "    share: 0.75\n" // 4
                                       "  - name: south\n"
                                       "    region: bengal\n"
                                       "    share: 0.25\n" // 7
                                       "importances:\n"
                                       "  - name: purchase\n" // 9
                                       "    rank: 0\n"
                                       "  - name: browsing\n" // 11
                                       "    rank: 1\n"
                                       "workspaces:\n"
                                       "  - name: academies\n" // 14
                                       "    rate: 100\n"
                                       "    burst: 200\n" // 16
                                       "    weight: 2\n"
                                       "keys:\n"
                                       "  - name: academies-1\n" // 19
                                       "    workspace: academies\n"
                                       "    sha256: "
    + Digest
    + "\n" // 21
      "  - name: academies-2\n"
      "    workspace: academies\n"
      "    sha256: "
    + OtherDigest
    + "\n" // 24
      "services:\n"
      "  - name: clips\n" // 26
      "    retry_ratio: 0.1\n"
      "  - name: packages\n" // 28
      "routes:\n"
      "  - name: buy\n" // 30
      "    method: POST\n"
      "    path: /packages\n" // 32
      "    service: packages\n"
      "    importance: purchase\n" // 34
      "    once: true\n"
      "    deadline_ms: 4000\n" // 36
      "  - name: clips\n"
      "    method: GET\n" // 38
      "    path: /clips\n"
      "    service: clips\n" // 40
      "    importance: browsing\n"
      "    open: true\n" // 42
      "    retryable: true\n"
      "    deadline_ms: 2000\n"; // 44

struct rejected_configuration
{
    /** Text in ValidConfiguration whose first occurrence is replaced; empty to replace the whole text. */
    std::string from;
    std::string to;
    int line;
    std::string object;
    std::string message;
    std::string remedy;
};

const std::vector<rejected_configuration> RejectedConfigurations{
    {"name: north", "name: North", 2, "availability_zone 'North'", "not acceptable", "lower-case"},
    {"name: north", "name: -north", 2, "availability_zone '-north'", "not acceptable", "beginning with a letter"},
    {"name: academies\n", "name: " + std::string(64, 'a') + "\n", 14, "workspace", "not acceptable", "1 to 63"},
    {"name: academies\n", "name:\n", 14, "workspace number 1", "has no value", "give it a value"},
    {"name: academies\n", "title: academies\n", 14, "workspace number 1", "'name' is missing", "add 'name: VALUE'"},
    {"name: south", "name: north", 5, "availability_zone 'north'", "already used by availability_zone 'north' (set.yaml:2)", "rename"},
    {"name: academies-2", "name: academies-1", 22, "key 'academies-1'", "already used", "rename or remove"},
    {"name: packages", "name: clips", 28, "service 'clips'", "already used", "rename or remove"},
    {"name: buy", "name: clips", 37, "route 'clips'", "already used", "rename or remove"},
    {"share: 0.25", "share: 0.26", 4, "availability_zone 'north'", "sum to 1.01", "sum to 1"},
    {"share: 0.25", "share: -0.25", 7, "availability_zone 'south'", "'-0.25'", "number from 0 to 1"},
    {"share: 0.25", "share: .nan", 7, "availability_zone 'south'", "'.nan'", "number from 0 to 1"},
    {"share: 0.75", "share: 0", 4, "availability_zone 'north'", "share is 0", "above 0"},
    {"    region: bengal\n", "", 2, "availability_zone 'north'", "'region' is missing", "add 'region"},
    {"region: bengal\n", "region: West Bengal\n", 3, "availability_zone 'north'", "region 'West Bengal'", "lower-case"},
    {"rank: 1", "rank: 0", 10, "importance 'purchase'", "already used by importance 'browsing'", "its own rank"},
    {"rank: 1", "rank: first", 12, "importance 'browsing'", "'first'", "whole number from 0 to 1000"},
    {"rank: 1", "rank: -1", 12, "importance 'browsing'", "'-1'", "whole number"},
    {"rank: 1", "rank: 1001", 12, "importance 'browsing'", "'1001'", "0 to 1000"},
    {"rate: 100", "rate: 0.5", 15, "workspace 'academies'", "'0.5'", "number from 1 to"},
    {"rate: 100", "rate: .inf", 15, "workspace 'academies'", "'.inf'", "number from 1"},
    {"rate: 100", "rate: 1e9", 15, "workspace 'academies'", "'1e9'", "to 1e+06"},
    {"rate: 100", "rate: 100/s", 15, "workspace 'academies'", "'100/s'", "write a number"},
    {"rate: 100", "rate: [100]", 15, "workspace 'academies'", "not a single value", "one value"},
    {"burst: 200", "burst: 0", 16, "workspace 'academies'", "'0'", "number from 1"},
    {"    burst: 200\n", "", 14, "workspace 'academies'", "'burst' is missing", "add 'burst: VALUE'"},
    {"burst: 200", "busrt: 200", 16, "workspace 'academies'", "'busrt' is unknown", "did you mean 'burst'?"},
    {"weight: 2", "weight: 0", 17, "workspace 'academies'", "'0'", "number from 0.01"},
    {"weight: 2", "rate: 2", 17, "workspace 'academies'", "given twice", "remove one"},
    {"workspace: academies\n",
     "workspace: acadmies\n",
     20,
     "key 'academies-1'",
     "workspace 'acadmies' is not defined",
     "mean 'academies'?"},
    {Digest, "secret", 21, "key 'academies-1'", "not a digest", "never the secret"},
    {Digest, std::string(64, 'A'), 21, "key 'academies-1'", "not a digest", "64 lower-case"},
    {Digest, OtherDigest, 24, "key 'academies-2'", "already used by key 'academies-1' (set.yaml:19)", "ragwortpinctl keys make"},
    {"retry_ratio: 0.1", "retry_ratio: 1.5", 27, "service 'clips'", "'1.5'", "number from 0 to 1"},
    {"method: POST", "method: post", 31, "route 'buy'", "method 'post' is not known", "leave it out"},
    {"path: /packages", "path: packages", 32, "route 'buy'", "path 'packages'", "begin it with '/'"},
    {"path: /packages", "path: /a/../packages", 32, "route 'buy'", "path", "dot segments"},
    {"path: /packages", "path: /packages/", 32, "route 'buy'", "path", "'/' at the end"},
    {"path: /packages", "path: /packages?x=1", 32, "route 'buy'", "path", "without query"},
    {"path: /packages", "path: /pack%61ges", 32, "route 'buy'", "path", "percent signs"},
    {"path: /packages", "path: \"/pack\\u0000ages\"", 32, "route 'buy'", "control character", "remove it"},
    {"path: /packages", "path: /" + std::string(1024, 'a'), 32, "route 'buy'", "path", "begin it"},
    {"service: packages", "service: pakages", 33, "route 'buy'", "service 'pakages' is not defined", "mean 'packages'?"},
    {"service: packages", "service: zzzzzz", 33, "route 'buy'", "not defined", "use one of: clips, packages"},
    {"importance: purchase", "importance: purchases", 34, "route 'buy'", "importance 'purchases'", "mean 'purchase'?"},
    {"once: true", "once: yes", 35, "route 'buy'", "'yes'", "true or false"},
    {"once: true", "once: true\n    retryable: true", 35, "route 'buy'", "both once and retryable", "remove 'retryable: true'"},
    {"once: true", "once: true\n    open: true", 36, "route 'buy'", "both open and once", "remove 'open: true'"},
    {"deadline_ms: 4000", "deadline_ms: 1", 36, "route 'buy'", "'1'", "from 10 to 600000"},
    {"deadline_ms: 4000", "deadline_ms: 4s", 36, "route 'buy'", "'4s'", "whole number"},
    {"deadline_ms: 4000", "deadline_ms: 600001", 36, "route 'buy'", "'600001'", "to 600000"},
    {"GET\n    path: /clips",
     "POST\n    path: /packages",
     39,
     "route 'clips'",
     "same host, method and path as route 'buy' (set.yaml:30)",
     "change"},
    {"importance: browsing", "importance: purchase", 41, "route 'clips'", "shed last", "another importance"},
    {"routes:", "rotues:", 29, "file", "'rotues' is unknown", "did you mean 'routes'?"},
    {"routes:\n", "routes: none\nothers:\n", 29, "file", "not a list", "write its objects as a list"},
    {"  - name: packages\n", "  - packages\n", 28, "service number 2", "not a mapping", "name: value"},
    {"workspaces:", "availability_zones:", 13, "file", "given twice", "remove one"},
    {"name: buy", "name: *buy", 30, "file", "", "correct the syntax"},
    {"name: buy", "name: &buy buy", 30, "file", "anchors", "write the value out"},
    {"name: buy", "name: !!str buy", 30, "file", "tag", "remove the tag"},
    {"services:", "---\nservices:", 25, "file", "more than one document", "split the file"},
    {"services:", "\tservices", 25, "file", "not valid YAML", "correct the syntax"},
    {"", "", 1, "file", "is not a mapping", "name: value"},
    {"", "- a\n", 1, "file", "is not a mapping", "name: value"},
    {"", "services:\n  - name: clips\n", 0, "configuration", "no availability_zone", "add at least one"},
    {"", "services:\n  - name: clips\n", 0, "configuration", "no importance", "rank 0"},
};

std::string applyReplacement(const rejected_configuration &item)
{
    if (item.from.empty()) {
        return item.to;
    }
    const auto position = ValidConfiguration.find(item.from);
    REQUIRE(position != std::string::npos);
    auto text = ValidConfiguration;
    return text.replace(position, item.from.size(), item.to);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("the configuration that the rejected ones are derived from is valid")
{
    const auto parsed = parseAndCheckConfiguration({{"set.yaml", ValidConfiguration}});
    for (const auto &problem : parsed.problems) {
        FAIL_CHECK(toText(problem));
    }
    CHECK(parsed.value.routes.size() == 2);
    CHECK(parsed.value.routes[0].name == "buy");
    CHECK(parsed.value.routes[0].once);
    CHECK(parsed.value.routes[0].deadline == milliseconds{4000});
    CHECK(parsed.value.services[1].retryRatio == 0.1);
}

TEST_CASE("each rejected configuration is reported with file and line and object and remedy")
{
    for (const auto &item : RejectedConfigurations) {
        const auto parsed = parseAndCheckConfiguration({{"set.yaml", applyReplacement(item)}});
        std::string reported;
        bool found{false};
        for (const auto &problem : parsed.problems) {
            reported += toText(problem) + "\n";
            const auto expectedFile = item.line == 0 ? "" : "set.yaml";
            found = found
                || (problem.file == expectedFile && problem.line == item.line && contains(problem.object, item.object)
                    && contains(problem.message, item.message) && contains(problem.remedy, item.remedy));
        }
        INFO("replace '" << item.from << "' by '" << item.to << "', expect line " << item.line << " " << item.object << "\nreported:\n"
                         << reported);
        CHECK(found);
    }
}

TEST_CASE("a problem in one of several files names that file")
{
    const auto splitPosition = ValidConfiguration.find("services:");
    const auto second = "# services and routes\n" + ValidConfiguration.substr(splitPosition);
    const auto whole = parseAndCheckConfiguration({{"a.yaml", ValidConfiguration.substr(0, splitPosition)}, {"b.yaml", second}});
    CHECK(whole.problems.empty());
    const auto single = parseAndCheckConfiguration({{"set.yaml", ValidConfiguration}});
    CHECK(whole.value == single.value);

    const auto withDuplicate = parseAndCheckConfiguration(
        {{"a.yaml", ValidConfiguration.substr(0, splitPosition)}, {"b.yaml", second}, {"c.yaml", "services:\n  - name: clips\n"}});
    REQUIRE(withDuplicate.problems.size() == 1);
    CHECK(withDuplicate.problems[0].file == "c.yaml");
    CHECK(withDuplicate.problems[0].line == 2);
    CHECK(contains(withDuplicate.problems[0].message, "b.yaml:3"));
}

TEST_CASE("a configuration without sources is rejected for numbers that are not finite or out of range")
{
    auto value = parseAndCheckConfiguration({{"set.yaml", ValidConfiguration}}).value;
    CHECK(checkConfiguration(value).empty());
    for (const auto number : {std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), -1.0, 0.0}) {
        auto wrong = value;
        wrong.workspaces[0].rate = number;
        const auto problems = checkConfiguration(wrong);
        REQUIRE(problems.size() == 1);
        CHECK(problems[0].object == "workspace 'academies'");
        wrong = value;
        wrong.availabilityZones[0].share = number;
        CHECK_FALSE(checkConfiguration(wrong).empty());
    }
}
