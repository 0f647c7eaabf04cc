#ifndef RAGWORTPIN_BENCH_RIGHTS_CONSERVATION_H
#define RAGWORTPIN_BENCH_RIGHTS_CONSERVATION_H

#include "bench/rights/virtual_fleet.h"

#include <cstdint>

namespace ragwortpin::bench {

/** Excess of the rights in use, summed over all nodes, over the limits of the configurations in use. Zero or less: no excess. */
struct conservation_excess
{
    /** Excess of the refill rate, in tokens per second. */
    double rate{0.0};
    /** Excess of the tokens that are held or can be obtained without a refill over time. */
    double cap{0.0};
    /** Loans in use whose lender has not restarted and does not exclude the lent rights from its own use. */
    std::uint64_t unmatchedLoans{0};
    /** Batches in use whose pool has not restarted and counts fewer tokens as outstanding than the holder has. */
    std::uint64_t unmatchedBatches{0};
};

/** Sums the rights that all live nodes may use at the current time. A paused node counts as if it resumed now. */
[[nodiscard]] conservation_excess checkConservation(const virtual_fleet &fleet);

/** Returns the current time by the node's own clock, with its offset and drift. */
[[nodiscard]] time_point localTime(const virtual_fleet &fleet, const virtual_node &node);

/** Sets the rate and the burst of each audit to the maximum over the configuration revisions that may still be in use. */
void updateLimits(virtual_fleet &fleet);

} // namespace ragwortpin::bench

#endif
