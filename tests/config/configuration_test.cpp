#include "config/examples.h"

#include "ragwortpin/config/check.h"
#include "ragwortpin/config/diff.h"
#include "ragwortpin/config/error.h"
#include "ragwortpin/config/lookup.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/path.h"
#include "ragwortpin/config/serialise.h"
#include "ragwortpin/identity/digest.h"

#include <catch2/catch.hpp>

#include <string>

using namespace ragwortpin;

namespace {

configuration exampleConfiguration(const std::string &name)
{
    const auto parsed = parseAndCheckConfiguration({{name, testing::readExample(name)}});
    for (const auto &problem : parsed.problems) {
        FAIL_CHECK(toText(problem));
    }
    return parsed.value;
}

struct route_match_case
{
    std::string method;
    std::string path;
    std::string route;
};

} // namespace

TEST_CASE("the examples are valid and unchanged by a round trip through YAML and MessagePack")
{
    for (const auto &name : testing::ExampleNames) {
        CAPTURE(name);
        auto value = exampleConfiguration(name);
        REQUIRE_FALSE(value.routes.empty());
        CHECK(parseConfiguration({{"x", toYaml(value)}}).value == value);
        value.revision = 7;
        std::error_code error;
        const auto bytes = encodeConfiguration(value);
        CHECK(decodeConfiguration(bytes, error) == value);
        CHECK_FALSE(error);
        for (std::size_t size{0}; size < bytes.size(); ++size) {
            CHECK_FALSE(decodeConfiguration(std::string_view{bytes}.substr(0, size), error).has_value());
        }
        CHECK(error == config_errc::Malformed);
        CHECK_FALSE(decodeConfiguration(bytes + "x", error).has_value());
        auto newer = bytes;
        newer[1] = 2;
        CHECK_FALSE(decodeConfiguration(newer, error).has_value());
        CHECK(error == config_errc::UnknownFormat);
    }
}

TEST_CASE("names and numbers that YAML could misinterpret are unchanged by a round trip")
{
    configuration value;
    value.importances = {{"0123", 0}, {"1e5", 1}, {"no", 2}, {"null", 3}, {"true", 4}};
    value.workspaces = {{"a", 0.1 + 0.2, 1e6, 1.0 / 3.0}};
    CHECK(parseConfiguration({{"x", toYaml(value)}}).value.importances == value.importances);
    value.workspaces[0].rate = 1.0 + 1e-15;
    CHECK(parseConfiguration({{"x", toYaml(value)}}).value == value);
}

TEST_CASE("an encoding over a megabyte is rejected with a remedy")
{
    CHECK_FALSE(checkEncodedSize(1'000'000));
    CHECK(checkEncodedSize(1'000'001) == config_errc::TooLarge);
    CHECK(checkEncodedSize(1'000'001).message().find("remove objects") != std::string::npos);
}

TEST_CASE("a request matches the route with the longest path prefix and then by method")
{
    configuration value;
    value.importances = {{"browsing", 1}, {"purchase", 0}};
    value.services = {{"s", 0.1}};
    value.routes = {
        {.name = "any-packages", .method = "", .path = "/packages", .service = "s", .importance = "browsing"},
        {.name = "buy", .method = "POST", .path = "/packages", .service = "s", .importance = "purchase", .once = true},
        {.name = "deep", .method = "GET", .path = "/packages/a/b", .service = "s", .importance = "browsing"},
        {.name = "root", .method = "GET", .path = "/", .service = "s", .importance = "browsing"},
        {.name = "unresolved", .method = "", .path = "/x", .service = "none", .importance = "browsing"},
    };
    const auto index = buildIndex(value);
    const std::vector<route_match_case> cases{
        {"POST", "/packages", "buy"},
        {"POST", "/packages/", "buy"},
        {"POST", "/packages?x=/../y", "buy"},
        {"POST", "/packages/a/b/c", "buy"},
        {"GET", "/packages/a/b/c/d/e", "deep"},
        {"GET", "/packages/a", "any-packages"},
        {"GET", "/packages/a/bc", "any-packages"},
        {"GET", "/packagesx", "root"},
        {"GET", "/", "root"},
        {"GET", "/x", "root"},
        {"POST", "/x", ""},
        {"POST", "/", ""},
        {"POST", "/y/../packages", ""},
        {"POST", "//packages", ""},
        {"GET", "/packages//a", ""},
        {"GET", "/./packages", ""},
        {"GET", "/%70ackages", ""},
        {"GET", "/%2e%2e/packages", ""},
        {"GET", "/x%2fpackages", ""},
        {"GET", "/x%5cpackages", ""},
        {"GET", "/x\\packages", ""},
        {"GET", "/packages/%", ""},
        {"GET", "/packages/%zz", ""},
        {"GET", "/packages/%e0%a6%95", "any-packages"},
        {"GET", "/packages/a%20b", "any-packages"},
        {"GET", "packages", ""},
        {"GET", "", ""},
        {"OPTIONS", "*", ""},
    };
    for (const auto &item : cases) {
        CAPTURE(item.method, item.path);
        const auto match = findRoute(*index, "", item.method, item.path);
        CHECK((match ? match.definition().name : "") == item.route);
    }
    CHECK(findRoute(*index, "", "POST", "/packages").rank() == 0);
    CHECK(findRoute(*index, "", "GET", "/").rank() == 1);
    CHECK_FALSE(findRoute(*index, "", "GET", std::string(100'000, '/')));
}

TEST_CASE("keys are found by digest until they are withdrawn")
{
    auto value = exampleConfiguration("khelachitra/configuration.yaml");
    const auto index = buildIndex(value);
    for (const auto &item : value.workspaces) {
        CAPTURE(item.name);
        const auto *key = findKey(*index, sha256Hex("example-key-" + item.name));
        REQUIRE(key != nullptr);
        CHECK(workspaceOf(*index, *key).name == item.name);
        CHECK(findWorkspace(*index, item.name) != nullptr);
    }
    CHECK(findKey(*index, sha256Hex("example-key-nobody")) == nullptr);
    CHECK(findKey(*index, sha256Hex("")) == nullptr);
    std::erase_if(value.keys, [](const api_key &key) {
        return key.name == "howrah-coaches-1";
    });
    CHECK(findKey(*buildIndex(value), sha256Hex("example-key-howrah-coaches")) == nullptr);
    CHECK(findRank(*index, "purchase") == 0U);
    CHECK_FALSE(findRank(*index, "none").has_value());
    CHECK(findService(*index, "breakdowns")->retryRatio == 0.05);
    CHECK(findAvailabilityZone(*index, "kolkata-d")->share == 0.25);
    CHECK(findAvailabilityZone(*index, "kolkata-e") == nullptr);
}

TEST_CASE("applying the change between two configurations gives the second one")
{
    const auto before = exampleConfiguration("khelachitra/configuration.yaml");
    auto after = before;
    after.revision = 3;
    after.workspaces[0].rate = 9;
    after.keys.erase(after.keys.begin());
    after.services.push_back({"zones", 0.2});
    const auto changes = diffConfigurations(before, after);
    CHECK(changes
          == std::vector<object_change>{
              {change_kind::Changed, {object_kind::Workspace, after.workspaces[0].name}},
              {change_kind::Removed, {object_kind::ApiKey, before.keys[0].name}},
              {change_kind::Added, {object_kind::Service, "zones"}},
          });
    const auto change = makeChange(before, after);
    CHECK(applyChange(before, change) == after);
    CHECK_FALSE(applyChange(after, change).has_value());
    std::error_code error;
    CHECK(decodeChange(encodeChange(change), error) == change);
    CHECK(encodeChange(change).size() < 200);
    CHECK_FALSE(decodeChange(encodeChange(change) + "x", error).has_value());

    CHECK(commonObjects(changes, {{change_kind::Added, {object_kind::Workspace, "zones"}}}).empty());
    CHECK(commonObjects(changes, {{change_kind::Added, {object_kind::Service, "zones"}}})
          == std::vector<object_ref>{{object_kind::Service, "zones"}});
}
