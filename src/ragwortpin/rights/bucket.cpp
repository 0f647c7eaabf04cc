#include "ragwortpin/rights/bucket.h"

#include "ragwortpin/rights/settings.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace {

/** A clock that runs fast by the bound still adds no more than the rate. */
constexpr double RateScale{1.0 / (1.0 + ClockDriftBound)};

[[nodiscard]] double rateUntil(const token_bucket &bucket, time_point until)
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

void applyCap(token_bucket &bucket)
{
    double cap{0.0};
    for (const auto &right : bucket.rights) {
        cap += right.cap;
    }
    const auto room = std::max(cap - capOut(bucket), 0.0);
    bucket.level = std::min(bucket.level, room);
}

} // namespace

std::size_t updateBucket(token_bucket &bucket, time_point now)
{
    if (now > bucket.updatedAt) {
        // A right that ended in between adds nothing for the whole span, and a loan's rate comes back only from now on.
        bucket.level += rateUntil(bucket, now) * RateScale * toSeconds(now - bucket.updatedAt);
        bucket.updatedAt = now;
    }
    const auto expired = std::erase_if(bucket.rights, [now](const held_right &right) {
        return right.usableUntil <= now;
    });
    // The cap is applied with the loans and batches that were out during the span, before their room comes back.
    applyCap(bucket);
    std::erase_if(bucket.loans, [now](const given_loan &loan) {
        return loan.abstainUntil <= now;
    });
    std::erase_if(bucket.batches, [now](const given_batch &batch) {
        return batch.abstainUntil <= now;
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

std::uint32_t capUntil(const token_bucket &bucket, time_point until)
{
    std::uint32_t sum{0};
    for (const auto &right : bucket.rights) {
        sum += right.usableUntil >= until ? right.cap : 0;
    }
    return sum;
}

std::uint32_t capOut(const token_bucket &bucket)
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

double netRate(const token_bucket &bucket)
{
    return rateUntil(bucket, bucket.updatedAt) * RateScale;
}

std::uint32_t grantableTokens(const token_bucket &bucket, time_point until)
{
    const auto cap = capUntil(bucket, until);
    const auto out = capOut(bucket);
    const auto room = cap > out ? cap - out : 0;
    return std::min(room, static_cast<std::uint32_t>(std::max(bucket.level, 0.0)));
}

std::optional<duration> timeToToken(const token_bucket &bucket)
{
    if (bucket.level >= 1.0) {
        return duration::zero();
    }
    const auto rate = netRate(bucket);
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
