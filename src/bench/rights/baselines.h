#ifndef RAGWORTPIN_BENCH_RIGHTS_BASELINES_H
#define RAGWORTPIN_BENCH_RIGHTS_BASELINES_H

#include "ragwortpin/core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ragwortpin::bench {

/** A plain token bucket. */
struct plain_bucket
{
    double rate{0.0};
    double burst{0.0};
    double level{0.0};
    time_point updatedAt;
};

/** Takes a token; false when there is none. */
[[nodiscard]] bool take(plain_bucket &bucket, time_point now);

/** Each node has an equal part of rate and burst, fixed. */
struct static_shares
{
    std::vector<plain_bucket> nodes;
};

[[nodiscard]] static_shares makeStaticShares(double rate, double burst, std::size_t nodes);
[[nodiscard]] bool take(static_shares &limiter, std::size_t node, time_point now);

/** Each node counts in a whole bucket and subtracts what the others report at each exchange, where they can reach it. */
struct gossiped_counter
{
    std::vector<plain_bucket> nodes;
    std::vector<std::size_t> sides;
    std::vector<std::uint32_t> unreported;
    duration interval{milliseconds{200}};
    time_point exchangedAt;
};

[[nodiscard]] gossiped_counter makeGossipedCounter(double rate, double burst, std::size_t nodes);
[[nodiscard]] bool take(gossiped_counter &limiter, std::size_t node, time_point now);

} // namespace ragwortpin::bench

#endif
