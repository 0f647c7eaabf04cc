#ifndef RAGWORTPIN_BENCH_RIGHTS_ARRIVALS_H
#define RAGWORTPIN_BENCH_RIGHTS_ARRIVALS_H

#include "ragwortpin/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace ragwortpin::bench {

/** Distribution of the callers of a workspace over the nodes. */
enum class caller_placement : unsigned char {
    Spread,
    OneZone,
    OneNode,
    /** All callers use the same node, which is chosen anew every two seconds. */
    Moving,
};

/** Returns the name used in the result tables. */
[[nodiscard]] std::string_view toText(caller_placement placement) noexcept;

/** A request: its arrival time since the start of the measurement and the node that receives it. */
struct arrival
{
    duration at{0};
    std::size_t node{0};
};

/**
 * Returns Poisson arrivals with the given mean rate in requests per second, in order of time, up to `span`. The nodes are
 * numbered zone by zone: the first `nodesPerZone` nodes belong to the first availability zone.
 */
[[nodiscard]] std::vector<arrival>
drawArrivals(caller_placement placement, double rate, duration span, std::size_t zones, std::size_t nodesPerZone, std::uint64_t seed);

} // namespace ragwortpin::bench

#endif
