#ifndef RAGWORTPIN_BENCH_OVERLOAD_WORLD_H
#define RAGWORTPIN_BENCH_OVERLOAD_WORLD_H

#include "bench/overload/scenario.h"

#include <cstdint>
#include <vector>

namespace ragwortpin::bench {

/** Length of one window of the counts over time. */
inline constexpr duration WindowLength{milliseconds{250}};

/** Request counts of one window or group. */
struct request_counts
{
    std::uint64_t arrived{0};
    /** Requests answered completely and in time, counted at the time of arrival. */
    std::uint64_t answered{0};
    /** Requests answered completely and in time, counted at the time of the answer. */
    std::uint64_t completed{0};
};

/** Results of one run. A request is a user request; client retries belong to the request that they repeat and are not counted again. */
struct run_result
{
    /** Counts per window, warm-up included. */
    std::vector<request_counts> windows;
    /** Counts without the warm-up. */
    request_counts total;
    std::vector<request_counts> byRank;
    std::vector<request_counts> byWorkspace;
    /** Service time spent on client attempts that were answered. */
    double usefulWorkSeconds{0.0};
    /** Service time spent on client attempts that were not answered. */
    double wastedWorkSeconds{0.0};
    /** Client attempts admitted at the first hop after the warm-up. */
    std::uint64_t admittedClientAttempts{0};
    /** Attempts that reached the deepest service, for the admitted client attempts. */
    std::uint64_t deepestAttempts{0};
    /** Largest number of attempts at the deepest service for one client attempt. */
    std::uint64_t maxDeepestAttempts{0};
    /** Requests in flight at a target when its drain began that got no complete answer. */
    std::uint64_t lostToDrain{0};
    /** Length of the measured period: the run without the warm-up. */
    double measuredSeconds{0.0};
};

/** Runs a scenario in virtual time and returns its results. */
[[nodiscard]] run_result run(const scenario &plan);

} // namespace ragwortpin::bench

#endif
