#include "ragwortpin/rights/apportion.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

std::vector<double> randomShares()
{
    const auto weights = *rc::gen::nonEmpty(rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 100U)));
    std::vector<double> shares{weights.begin(), weights.end()};
    const auto sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    std::transform(shares.begin(), shares.end(), shares.begin(), [sum](double share) {
        return sum > 0.0 ? share / sum : 0.0;
    });
    return shares;
}

std::vector<availability_zone> makeZones(const std::vector<double> &shares)
{
    std::vector<availability_zone> zones;
    for (std::size_t index{0}; index < shares.size(); ++index) {
        zones.push_back({"z" + std::to_string(index), "region", shares[index]});
    }
    return zones;
}

} // namespace

TEST_CASE("apportioned tokens sum to the total and no part decreases when the total increases", "[rights]")
{
    rc::prop("any shares", [] {
        const auto shares = randomShares();
        const auto total = *rc::gen::inRange(0U, 5000U);
        const auto parts = apportion(total, shares);
        const auto increasedParts = apportion(total + 1, shares);
        const auto hasShares = std::any_of(shares.begin(), shares.end(), [](double share) {
            return share > 0.0;
        });
        RC_ASSERT(std::accumulate(parts.begin(), parts.end(), 0U) == (hasShares ? total : 0U));
        for (std::size_t part{0}; part < parts.size(); ++part) {
            RC_ASSERT(parts[part] <= increasedParts[part]);
            RC_ASSERT(shares[part] > 0.0 || parts[part] == 0);
        }
    });
}

TEST_CASE("slot shares of a workspace sum to its rate and whole burst", "[rights]")
{
    rc::prop("any zones and slots", [] {
        const auto shares = randomShares();
        const auto zones = makeZones(shares);
        const auto slots = *rc::gen::inRange(1U, 40U);
        const workspace object{"w" + std::to_string(*rc::gen::inRange(0, 50)), 100.0, *rc::gen::inRange(0U, 300U) + 0.5, 1.0};
        double rate{0.0};
        std::uint32_t cap{0};
        for (const auto &zone : zones) {
            for (std::uint32_t index{0}; index < slots; ++index) {
                const auto share = slotShare(object, zones, zone.name, slots, index);
                rate += share.rate;
                cap += share.cap;
            }
        }
        const auto hasShares = std::accumulate(shares.begin(), shares.end(), 0.0) > 0.0;
        RC_ASSERT(rate <= object.rate * (1.0 + 1e-9));
        RC_ASSERT(!hasShares || rate >= object.rate * (1.0 - 1e-9));
        RC_ASSERT(cap == (hasShares ? static_cast<std::uint32_t>(object.burst) : 0U));
    });
}

TEST_CASE("the pool of a workspace stays the same when another instance leaves", "[rights]")
{
    rc::prop("any instances", [] {
        const auto count = *rc::gen::inRange(2, 40);
        std::vector<std::string> names;
        for (int number{0}; number < count; ++number) {
            names.push_back("node-" + std::to_string(number));
        }
        const std::vector<std::string_view> all{names.begin(), names.end()};
        const auto pool = choosePool("workspace", all);
        const auto leaving = *rc::gen::inRange(0, count);
        auto rest = all;
        rest.erase(rest.begin() + leaving);
        RC_ASSERT(all[static_cast<std::size_t>(leaving)] == pool || choosePool("workspace", rest) == pool);
    });
    CHECK(choosePool("workspace", {}).empty());
}
