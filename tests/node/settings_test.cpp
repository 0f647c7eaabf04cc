#include "ragwortpin/node/settings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

const std::string ValidSettings{R"(instance: clips-a-1
availability_zone: kolkata-a
addresses:
  callers: "127.0.0.1:7100"
  egress: "127.0.0.1:7101"
  peers: "127.0.0.1:7102"
  gossip: "127.0.0.1:7103"
  admin: "127.0.0.1:7104"
platform:
  endpoints: ["127.0.0.1:7000"]
seeds: ["127.0.0.1:7203"]
secret_file: secret
)"};

struct rejected_case
{
    std::string name;
    std::string from;
    std::string to;
    int line;
    std::string remedy;
};

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

TEST_CASE("valid settings are parsed completely")
{
    const auto result = parseNodeSettings("node.yaml", ValidSettings + "rates: {slots: 8, slot_lapse_ms: 60000}\nlog_level: warning\n");
    REQUIRE(result.problems.empty());
    CHECK(result.settings.instance == "clips-a-1");
    CHECK(result.settings.addresses.gossip == endpoint{"127.0.0.1", 7103});
    CHECK(result.settings.platform == std::vector{endpoint{"127.0.0.1", 7000}});
    CHECK(result.settings.rateSlots == 8);
    CHECK(result.settings.rateSlotLapse == std::chrono::minutes{1});
    CHECK(result.settings.logLevel == log_level::Warning);
}

TEST_CASE("invalid settings are reported with line and remedy")
{
    const std::vector<rejected_case> cases{
        {"unknown field", "seeds:", "seed:", 11, "seeds"},
        {"missing instance", "instance: clips-a-1", "log_level: info", 1, ""},
        {"bad instance name", "clips-a-1", "Clips A", 1, "lower-case"},
        {"bad availability zone", "kolkata-a\n", "kolkata_a\n", 2, "lower-case"},
        {"host name in place of an IP number", "127.0.0.1:7100", "localhost:7100", 4, "IP number"},
        {"port zero", "127.0.0.1:7101", "127.0.0.1:0", 5, "port from 1"},
        {"port too large", "127.0.0.1:7101", "127.0.0.1:70000", 5, "port from 1"},
        {"address conflict", "127.0.0.1:7102", "127.0.0.1:7100", 6, "port of its own"},
        {"no platform endpoint", "[\"127.0.0.1:7000\"]", "[]", 10, "at least one"},
        {"bad log level", "secret_file: secret", "secret_file: secret\nlog_level: loud", 13, "info, warning or error"},
        {"bad number", "secret_file: secret", "secret_file: secret\nrates: {slots: many}", 13, ""},
        {"number out of range", "secret_file: secret", "secret_file: secret\nrates: {slots: 0}", 13, ""},
        {"not YAML", "instance: clips-a-1", "instance: [", 1, ""},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto result = parseNodeSettings("node.yaml", replaceFirst(ValidSettings, entry.from, entry.to));
        REQUIRE_FALSE(result.problems.empty());
        const bool found = std::any_of(result.problems.begin(), result.problems.end(), [&entry](const config_problem &problem) {
            return problem.file == "node.yaml" && problem.line >= entry.line && !problem.remedy.empty()
                && problem.remedy.find(entry.remedy) != std::string::npos;
        });
        for (const auto &problem : result.problems) {
            UNSCOPED_INFO(toText(problem));
        }
        CHECK(found);
    }
}

TEST_CASE("secret files contain one to four secrets of at least 32 characters")
{
    const std::string secret(64, 'a');
    CHECK(parseSigningKeys(secret + '\n').keys.secrets == std::vector{secret});
    CHECK(parseSigningKeys(secret + "\n\n" + std::string(32, 'b')).keys.secrets.size() == 2);
    for (const auto &text : {std::string{}, std::string{"short\n"}, secret + '\n' + "short"}) {
        CAPTURE(text);
        CHECK(parseSigningKeys(text).problem.find("openssl rand") != std::string::npos);
    }
    std::string fiveSecrets;
    for (int count{0}; count < 5; ++count) {
        fiveSecrets += secret + '\n';
    }
    CHECK_FALSE(parseSigningKeys(fiveSecrets).problem.empty());
}
