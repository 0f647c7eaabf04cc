#include "ragwortpin/callers/split.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <map>
#include <string>

using namespace ragwortpin;

TEST_CASE("every sequence of requests is distributed by weight")
{
    rc::prop("to within two requests per part", [] {
        route definition;
        definition.name = "r";
        double total{0.0};
        const auto parts = *rc::gen::inRange(1, 6);
        for (int part{0}; part < parts; ++part) {
            definition.split.push_back({"s" + std::to_string(part), *rc::gen::element(1.0, 5.0, 10.0, 90.0)});
            total += definition.split.back().weight;
        }
        split_state state;
        const double random{*rc::gen::inRange(0, 100) / 100.0};
        std::map<std::string, double> counts;
        constexpr int Requests{300};
        for (int request{0}; request < Requests; ++request) {
            counts[chooseService(state, definition, random)] += 1.0;
        }
        for (const auto &part : definition.split) {
            RC_ASSERT(std::abs(counts[part.service] - Requests * part.weight / total) <= 2.0);
        }
    });
}

TEST_CASE("changed weights apply immediately, and a route without a split uses its own service")
{
    split_state state;
    route definition;
    definition.name = "r";
    definition.split = {{"old", 100.0}, {"new", 1.0}};
    for (int request{0}; request < 50; ++request) {
        static_cast<void>(chooseService(state, definition, 0.5));
    }
    definition.split = {{"new", 1.0}};
    CHECK(chooseService(state, definition, 0.5) == "new");
    definition.split.clear();
    definition.service = "only";
    CHECK(chooseService(state, definition, 0.5) == "only");
}
