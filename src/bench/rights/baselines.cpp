#include "bench/rights/baselines.h"

#include <algorithm>

namespace ragwortpin::bench {

namespace {

void refill(plain_bucket &bucket, time_point now)
{
    bucket.level = std::min(bucket.burst, bucket.level + bucket.rate * toSeconds(now - bucket.updatedAt));
    bucket.updatedAt = now;
}

void exchangeReports(gossiped_counter &limiter, time_point now)
{
    if (now < limiter.lastExchangeAt + limiter.interval) {
        return;
    }
    limiter.lastExchangeAt = now;
    for (std::size_t from{0}; from < limiter.nodes.size(); ++from) {
        for (std::size_t to{0}; to < limiter.nodes.size(); ++to) {
            if (from != to && limiter.partitionIds[from] == limiter.partitionIds[to]) {
                refill(limiter.nodes[to], now);
                limiter.nodes[to].level -= limiter.unreportedTokens[from];
            }
        }
        limiter.unreportedTokens[from] = 0;
    }
}

} // namespace

bool tryTake(plain_bucket &bucket, time_point now)
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

bool tryTake(static_shares &limiter, std::size_t node, time_point now)
{
    return tryTake(limiter.nodes[node], now);
}

gossiped_counter makeGossipedCounter(double rate, double burst, std::size_t nodes)
{
    gossiped_counter limiter;
    limiter.nodes.assign(nodes, {rate, burst, burst, {}});
    limiter.partitionIds.assign(nodes, 0);
    limiter.unreportedTokens.assign(nodes, 0);
    return limiter;
}

bool tryTake(gossiped_counter &limiter, std::size_t node, time_point now)
{
    exchangeReports(limiter, now);
    if (!tryTake(limiter.nodes[node], now)) {
        return false;
    }
    ++limiter.unreportedTokens[node];
    return true;
}

} // namespace ragwortpin::bench
