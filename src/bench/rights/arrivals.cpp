#include "bench/rights/arrivals.h"

#include <random>

namespace ragwortpin::bench {

namespace {

constexpr duration MoveInterval{seconds{2}};

[[nodiscard]] std::size_t
drawNode(caller_placement placement, duration at, std::size_t zones, std::size_t nodesPerZone, std::mt19937_64 &random)
{
    const auto nodes = zones * nodesPerZone;
    switch (placement) {
    case caller_placement::Spread:
        return random() % nodes;
    case caller_placement::OneZone:
        return random() % nodesPerZone;
    case caller_placement::OneNode:
        return 0;
    case caller_placement::Moving:
        break;
    }
    std::mt19937_64 nodeGenerator{static_cast<std::uint64_t>(at / MoveInterval)};
    return nodeGenerator() % nodes;
}

} // namespace

std::string_view toText(caller_placement placement) noexcept
{
    switch (placement) {
    case caller_placement::Spread:
        return "spread";
    case caller_placement::OneZone:
        return "one zone";
    case caller_placement::OneNode:
        return "one node";
    case caller_placement::Moving:
        break;
    }
    return "moving";
}

std::vector<arrival>
drawArrivals(caller_placement placement, double rate, duration span, std::size_t zones, std::size_t nodesPerZone, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::exponential_distribution<double> gap{rate};
    std::vector<arrival> arrivals;
    for (auto at = fromSeconds(gap(random)); at < span; at += fromSeconds(gap(random))) {
        arrivals.push_back({at, drawNode(placement, at, zones, nodesPerZone, random)});
    }
    return arrivals;
}

} // namespace ragwortpin::bench
