#include "ragwortpin/callers/caller_gateway.h"

#include "ragwortpin/identity/digest.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

std::shared_ptr<const configuration_index> sampleIndex()
{
    configuration value;
    value.workspaces = {{.name = "large", .rate = 10, .burst = 10}, {.name = "small", .rate = 1, .burst = 1}};
    value.keys = {{"large-1", "large", sha256Hex("key-of-large")}, {"small-1", "small", sha256Hex("key-of-small")}};
    return buildIndex(value);
}

struct authentication_case
{
    std::string name;
    bool open;
    std::string secret;
    std::optional<refusal_kind> refusal;
    std::string workspace;
};

} // namespace

TEST_CASE("a request runs only for the workspace whose key it carries")
{
    const auto index = sampleIndex();
    const std::vector<authentication_case> cases{
        {"right key", false, "key-of-large", std::nullopt, "large"},
        {"other workspace's key", false, "key-of-small", std::nullopt, "small"},
        {"no key", false, "", refusal_kind::KeyMissing, ""},
        {"unknown key", false, "key-of-nobody", refusal_kind::KeyUnknown, ""},
        {"digest used as key", false, sha256Hex("key-of-large"), refusal_kind::KeyUnknown, ""},
        {"open without key", true, "", std::nullopt, ""},
        {"open with right key", true, "key-of-large", std::nullopt, "large"},
        {"open with unknown key", true, "key-of-nobody", std::nullopt, ""},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        route definition;
        definition.open = entry.open;
        const auto result = authenticate(*index, definition, entry.secret);
        CHECK(result.refusal == entry.refusal);
        CHECK(result.workspace == entry.workspace);
    }
}
