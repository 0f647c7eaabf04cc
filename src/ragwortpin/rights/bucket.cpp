#include "ragwortpin/rights/bucket.h"

#include "ragwortpin/rights/settings.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace {

/** Scales the refill rate down so that a clock that runs fast by ClockDriftBound does not exceed the rate. */
constexpr double DriftRateFactor{1.0 / (1.0 + ClockDriftBound)};

/** Returns the sum of the rates of rights that are usable until the given time, less the rates lent; at least zero. */
[[nodiscard]] double netRateUsableUntil(const token_bucket &bucket, time_point until)
{
    double sum{0.0};
    for (const auto &right : bucket.rights) {
        sum += right.usableUntil >= until ? right.rate : 0.0;
    }
    for (const auto &loan : bucket.loans) {
        sum -= loan.rate;
    }
    return std::max(sum, 0.0);
}

/** Limits the tokens to the cap of the rights held, less the caps lent and the tokens granted in batches. */
void applyCap(token_bucket &bucket)
{
    double cap{0.0};
    for (const auto &right : bucket.rights) {
        cap += right.cap;
    }
    const auto available = std::max(cap - committedCap(bucket), 0.0);
    bucket.level = std::min(bucket.level, available);
}

} // namespace

std::size_t updateBucket(token_bucket &bucket, time_point now)
{
    if (now > bucket.updatedAt) {
        // A right that expired within the interval adds nothing for the whole interval, and a loan that expired within it still
        // reduces the rate for the whole interval.
        bucket.level += netRateUsableUntil(bucket, now) * DriftRateFactor * toSeconds(now - bucket.updatedAt);
        bucket.updatedAt = now;
    }
    const auto expired = std::erase_if(bucket.rights, [now](const held_right &right) {
        return right.usableUntil <= now;
    });
    // The cap is applied before expired loans and batches are removed, because they were still in use during the interval.
    applyCap(bucket);
    std::erase_if(bucket.loans, [now](const granted_loan &loan) {
        return loan.reservedUntil <= now;
    });
    std::erase_if(bucket.batches, [now](const granted_batch &batch) {
        return batch.reservedUntil <= now;
    });
    return expired;
}

bool takeFromBucket(token_bucket &bucket, time_point now)
{
    updateBucket(bucket, now);
    if (bucket.level < 1.0) {
        return false;
    }
    bucket.level -= 1.0;
    return true;
}

std::uint32_t capUsableUntil(const token_bucket &bucket, time_point until)
{
    std::uint32_t sum{0};
    for (const auto &right : bucket.rights) {
        sum += right.usableUntil >= until ? right.cap : 0;
    }
    return sum;
}

std::uint32_t committedCap(const token_bucket &bucket)
{
    std::uint32_t sum{0};
    for (const auto &loan : bucket.loans) {
        sum += loan.cap;
    }
    for (const auto &batch : bucket.batches) {
        sum += batch.outstanding;
    }
    return sum;
}

double refillRate(const token_bucket &bucket)
{
    return netRateUsableUntil(bucket, bucket.updatedAt) * DriftRateFactor;
}

std::uint32_t grantableTokens(const token_bucket &bucket, time_point until)
{
    const auto cap = capUsableUntil(bucket, until);
    const auto committed = committedCap(bucket);
    const auto available = cap > committed ? cap - committed : 0;
    return std::min(available, static_cast<std::uint32_t>(std::max(bucket.level, 0.0)));
}

std::optional<duration> timeUntilToken(const token_bucket &bucket)
{
    if (bucket.level >= 1.0) {
        return duration::zero();
    }
    const auto rate = refillRate(bucket);
    std::uint32_t cap{0};
    for (const auto &right : bucket.rights) {
        cap += right.cap;
    }
    if (rate <= 0.0 || cap == 0) {
        return std::nullopt;
    }
    return fromSeconds((1.0 - bucket.level) / rate);
}

} // namespace ragwortpin
