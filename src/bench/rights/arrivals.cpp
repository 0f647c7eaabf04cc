#include "bench/rights/arrivals.h"

#include <random>

namespace ragwortpin::bench {

namespace {

constexpr duration MoveInterval{seconds{2}};

[[nodiscard]] std::size_t drawNode(caller_place place, duration at, std::size_t zones, std::size_t nodesPerZone, std::mt19937_64 &random)
{
    const auto nodes = zones * nodesPerZone;
    switch (place) {
    case caller_place::Spread:
        return random() % nodes;
    case caller_place::OneZone:
        return random() % nodesPerZone;
    case caller_place::OneNode:
        return 0;
    case caller_place::Moving:
        break;
    }
    std::mt19937_64 choice{static_cast<std::uint64_t>(at / MoveInterval)};
    return choice() % nodes;
}

} // namespace

std::string_view toText(caller_place place) noexcept
{
    switch (place) {
    case caller_place::Spread:
        return "spread";
    case caller_place::OneZone:
        return "one zone";
    case caller_place::OneNode:
        return "one node";
    case caller_place::Moving:
        break;
    }
    return "moving";
}

std::vector<arrival>
drawArrivals(caller_place place, double rate, duration span, std::size_t zones, std::size_t nodesPerZone, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::exponential_distribution<double> gap{rate};
    std::vector<arrival> arrivals;
    for (auto at = fromSeconds(gap(random)); at < span; at += fromSeconds(gap(random))) {
        arrivals.push_back({at, drawNode(place, at, zones, nodesPerZone, random)});
    }
    return arrivals;
}

} // namespace ragwortpin::bench
