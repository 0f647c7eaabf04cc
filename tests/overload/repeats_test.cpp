#include "ragwortpin/overload/repeats.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

std::shared_ptr<const configuration_index> sampleIndex()
{
    configuration value;
    value.importances = {{"p0", 0}};
    value.services = {{"deep"}, {"front"}};
    value.routes = {
        {.name = "browse", .method = "", .path = "/browse", .service = "front", .importance = "p0"},
        {.name = "look", .method = "", .path = "/look", .service = "deep", .importance = "p0"},
        {.name = "lookup", .method = "", .path = "/lookup", .service = "deep", .importance = "p0"},
        {.name = "shared", .method = "", .path = "/shared", .service = "", .importance = "p0", .split = {{"front", 1.0}, {"deep", 3.0}}},
    };
    return buildIndex(value);
}

fleet_load samplePicture()
{
    fleet_load picture;
    picture.profiles = {{"front", {.route = routeId("browse"), .runs = 100.0, .slotTime = 0.4, .calls = {{routeId("lookup"), 3.9}}}},
                        {"deep", {.route = routeId("lookup"), .runs = 100.0, .slotTime = 0.04, .calls = {{routeId("browse"), 0.001}}}}};
    picture.demands = {{routeId("browse"), 0, 200.0}, {routeId("look"), 0, 40.0}, {routeId("shared"), 0, 40.0}};
    return picture;
}

} // namespace

TEST_CASE("a request that is sent again costs a token for each arrival that it causes")
{
    struct repeat_case
    {
        std::string name;
        repeat_request request;
        std::map<std::string, std::size_t> costs;
    };
    const std::vector<repeat_case> cases{
        {"lost answer of a run with calls", {.route = "browse"}, {{"front", 1}, {"deep", 4}}},
        {"refused by the target", {.route = "browse", .isNotRun = true}, {{"front", 1}}},
        {"failed run with calls", {.route = "browse", .failedAtTarget = true}, {}},
        {"lost answer without calls", {.route = "look"}, {{"deep", 1}}},
        {"failed run without calls", {.route = "look", .failedAtTarget = true}, {{"deep", 1}}},
        {"split between services", {.route = "shared"}, {{"front", 1}, {"deep", 1}}},
        {"unknown route", {.route = "none"}, {}},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        CHECK(repeatCosts(*sampleIndex(), samplePicture(), entry.request) == entry.costs);
    }
}

TEST_CASE("the buckets of repeats keep the limits over any window and for any demand")
{
    constexpr double Window{10.0};
    const repeat_limits limits{.part = 0.2, .requests = 48.0};
    const std::map<std::string, double> demand{{repeatBucket("front"), 210.0}, {repeatBucket("deep"), 70.0}};
    const auto buckets = repeatBuckets(*sampleIndex(), samplePicture(), limits);
    REQUIRE(buckets.size() == demand.size());
    for (const auto &bucket : buckets) {
        CAPTURE(bucket.name);
        const double allowed{limits.part * demand.at(bucket.name) * Window + limits.requests};
        CHECK(bucket.rate * Window + bucket.burst <= 0.95 * allowed);
        CHECK(bucket.rate * Window + bucket.burst >= 0.8 * allowed);
    }
    for (const auto &bucket : repeatBuckets(*sampleIndex(), {}, limits)) {
        CHECK(bucket.rate * Window + bucket.burst <= limits.requests);
        CHECK(bucket.rate > 0.0);
    }
}
