#include "ragwortpin/claims/breaker.h"

#include <algorithm>

namespace ragwortpin {

namespace {

constexpr duration MinRetryAfter{milliseconds{100}};

/** Returns the time for which the breaker stays open after its present number of consecutive failures. */
[[nodiscard]] duration currentOpenTime(const store_breaker &breaker) noexcept
{
    constexpr std::uint32_t MaxDoublings{8};
    const auto doublings = std::min(breaker.consecutiveFailures - BreakerFailureThreshold, MaxDoublings);
    return std::min<duration>(BreakerInitialOpenTime * (1U << doublings), BreakerMaxOpenTime);
}

} // namespace

bool allowCall(store_breaker &breaker, time_point now) noexcept
{
    if (breaker.consecutiveFailures < BreakerFailureThreshold) {
        return true;
    }
    if (now < breaker.openUntil) {
        return false;
    }
    breaker.openUntil = now + currentOpenTime(breaker);
    return true;
}

void recordCallResult(store_breaker &breaker, bool succeeded, time_point now) noexcept
{
    if (succeeded) {
        breaker = {};
        return;
    }
    if (++breaker.consecutiveFailures >= BreakerFailureThreshold) {
        breaker.openUntil = now + currentOpenTime(breaker);
    }
}

duration retryAfter(const store_breaker &breaker, time_point now) noexcept
{
    return std::max<duration>(breaker.openUntil - now, MinRetryAfter);
}

} // namespace ragwortpin
