#ifndef RAGWORTPIN_BENCH_OVERLOAD_WORLD_H
#define RAGWORTPIN_BENCH_OVERLOAD_WORLD_H

#include "bench/overload/scenario.h"

#include <cstdint>
#include <vector>

namespace ragwortpin::bench {

/** Span over which counts are kept apart. */
inline constexpr duration WindowLength{milliseconds{250}};

/** Counts of requests. */
struct tally
{
    std::uint64_t arrived{0};
    /** Answered whole and in time, by the instant of arrival. */
    std::uint64_t answered{0};
    /** Answered whole and in time, by the instant of the answer. */
    std::uint64_t finished{0};
};

/** Figures of one run. Requests are those of users; a client's retries count for the request that they are for. */
struct run_result
{
    /** By window, warm-up included. */
    std::vector<tally> windows;
    /** Without the warm-up. */
    tally total;
    std::vector<tally> byRank;
    std::vector<tally> byTenant;
    /** Service time in seconds spent on client attempts that were answered, and on those that were not. */
    double usefulWork{0.0};
    double wastedWork{0.0};
    /** Attempts of clients that passed the first hop, and attempts that reached the deepest service. */
    std::uint64_t roots{0};
    std::uint64_t deepestAttempts{0};
    /** Most attempts at the deepest service for one client attempt. */
    std::uint64_t mostDeepestAttempts{0};
    /** Requests that were in flight at a target when its drain began and got no whole answer. */
    std::uint64_t cutByDrain{0};
    /** Seconds that figures were counted for. */
    double measuredSeconds{0.0};
};

/** Runs a scenario in virtual time. */
[[nodiscard]] run_result run(const scenario &plan);

} // namespace ragwortpin::bench

#endif
