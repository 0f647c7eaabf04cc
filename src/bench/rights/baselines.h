#ifndef RAGWORTPIN_BENCH_RIGHTS_BASELINES_H
#define RAGWORTPIN_BENCH_RIGHTS_BASELINES_H

#include "ragwortpin/core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ragwortpin::bench {

/** A token bucket without any exchange between nodes. */
struct plain_bucket
{
    double rate{0.0};
    double burst{0.0};
    double level{0.0};
    time_point updatedAt;
};

/** Refills the bucket and removes one token. Returns false if it holds less than one token. */
[[nodiscard]] bool tryTake(plain_bucket &bucket, time_point now);

/** Limiter that gives each node a fixed, equal part of the rate and the burst. */
struct static_shares
{
    std::vector<plain_bucket> nodes;
};

[[nodiscard]] static_shares makeStaticShares(double rate, double burst, std::size_t nodes);
[[nodiscard]] bool tryTake(static_shares &limiter, std::size_t node, time_point now);

/**
 * Limiter in which each node has a bucket of the full rate and burst. At each exchange a node subtracts the tokens that the
 * other nodes of its network partition have spent since the exchange before.
 */
struct gossiped_counter
{
    std::vector<plain_bucket> nodes;
    /** Network partition of each node; reports are exchanged only within a partition. */
    std::vector<std::size_t> partitionIds;
    /** Tokens that each node has spent since the last exchange. */
    std::vector<std::uint32_t> unreportedTokens;
    duration interval{milliseconds{200}};
    time_point lastExchangeAt;
};

[[nodiscard]] gossiped_counter makeGossipedCounter(double rate, double burst, std::size_t nodes);
[[nodiscard]] bool tryTake(gossiped_counter &limiter, std::size_t node, time_point now);

} // namespace ragwortpin::bench

#endif
