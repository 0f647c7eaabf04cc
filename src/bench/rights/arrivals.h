#ifndef RAGWORTPIN_BENCH_RIGHTS_ARRIVALS_H
#define RAGWORTPIN_BENCH_RIGHTS_ARRIVALS_H

#include "ragwortpin/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace ragwortpin::bench {

/** Where the callers of a workspace are. */
enum class caller_place : unsigned char {
    Spread,
    OneZone,
    OneNode,
    /** All at one node, another one every two seconds. */
    Moving,
};

[[nodiscard]] std::string_view toText(caller_place place) noexcept;

/** A request's time since the start of the measurement and its first node. */
struct arrival
{
    duration at{0};
    std::size_t node{0};
};

/** Draws Poisson arrivals of a mean rate. Nodes are numbered zone by zone. */
[[nodiscard]] std::vector<arrival>
drawArrivals(caller_place place, double rate, duration span, std::size_t zones, std::size_t nodesPerZone, std::uint64_t seed);

} // namespace ragwortpin::bench

#endif
