#ifndef RAGWORTPIN_BENCH_RIGHTS_CONSERVATION_H
#define RAGWORTPIN_BENCH_RIGHTS_CONSERVATION_H

#include "bench/rights/virtual_fleet.h"

#include <cstdint>

namespace ragwortpin::bench {

/** How far the rights in use over all nodes exceed what the configurations in force allow; zero or less when they do not. */
struct conservation_excess
{
    /** Tokens a second. */
    double rate{0.0};
    /** Tokens that exist or may come to exist without time passing. */
    double cap{0.0};
    /** Loans in use whose lender, still the same process, does not abstain. */
    std::uint64_t unmatchedLoans{0};
    /** Batches in use of which the pool, still the same process, does not count every token. */
    std::uint64_t unmatchedBatches{0};
};

/** Adds up what all nodes may use at this moment, paused ones as if they resumed now. */
[[nodiscard]] conservation_excess checkConservation(const virtual_fleet &fleet);

/** Time of a node's own clock. */
[[nodiscard]] time_point localTime(const virtual_fleet &fleet, const virtual_node &node);

/** Sets each audit's rate and burst to the largest of the revisions that may be in use. */
void updateLimits(virtual_fleet &fleet);

} // namespace ragwortpin::bench

#endif
