#include "bench/rights/baselines.h"

#include <algorithm>

namespace ragwortpin::bench {

namespace {

void refill(plain_bucket &bucket, time_point now)
{
    bucket.level = std::min(bucket.burst, bucket.level + bucket.rate * toSeconds(now - bucket.updatedAt));
    bucket.updatedAt = now;
}

void exchange(gossiped_counter &limiter, time_point now)
{
    if (now < limiter.exchangedAt + limiter.interval) {
        return;
    }
    limiter.exchangedAt = now;
    for (std::size_t from{0}; from < limiter.nodes.size(); ++from) {
        for (std::size_t to{0}; to < limiter.nodes.size(); ++to) {
            if (from != to && limiter.sides[from] == limiter.sides[to]) {
                refill(limiter.nodes[to], now);
                limiter.nodes[to].level -= limiter.unreported[from];
            }
        }
        limiter.unreported[from] = 0;
    }
}

} // namespace

bool take(plain_bucket &bucket, time_point now)
{
    refill(bucket, now);
    if (bucket.level < 1.0) {
        return false;
    }
    bucket.level -= 1.0;
    return true;
}

static_shares makeStaticShares(double rate, double burst, std::size_t nodes)
{
    const auto share = 1.0 / static_cast<double>(nodes);
    return {std::vector<plain_bucket>(nodes, {rate * share, burst * share, burst * share, {}})};
}

bool take(static_shares &limiter, std::size_t node, time_point now)
{
    return take(limiter.nodes[node], now);
}

gossiped_counter makeGossipedCounter(double rate, double burst, std::size_t nodes)
{
    gossiped_counter limiter;
    limiter.nodes.assign(nodes, {rate, burst, burst, {}});
    limiter.sides.assign(nodes, 0);
    limiter.unreported.assign(nodes, 0);
    return limiter;
}

bool take(gossiped_counter &limiter, std::size_t node, time_point now)
{
    exchange(limiter, now);
    if (!take(limiter.nodes[node], now)) {
        return false;
    }
    ++limiter.unreported[node];
    return true;
}

} // namespace ragwortpin::bench
