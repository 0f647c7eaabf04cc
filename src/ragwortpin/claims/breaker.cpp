#include "ragwortpin/claims/breaker.h"

#include <algorithm>

namespace ragwortpin {

namespace {

constexpr duration ShortestRetry{milliseconds{100}};

[[nodiscard]] duration waitOf(const store_breaker &breaker) noexcept
{
    constexpr std::uint32_t MaxDoublings{8};
    const auto doublings = std::min(breaker.failures - BreakerFailures, MaxDoublings);
    return std::min<duration>(BreakerFirstWait * (1U << doublings), BreakerLongestWait);
}

} // namespace

bool allowCall(store_breaker &breaker, time_point now) noexcept
{
    if (breaker.failures < BreakerFailures) {
        return true;
    }
    if (now < breaker.openUntil) {
        return false;
    }
    breaker.openUntil = now + waitOf(breaker);
    return true;
}

void noteCall(store_breaker &breaker, bool succeeded, time_point now) noexcept
{
    if (succeeded) {
        breaker = {};
        return;
    }
    if (++breaker.failures >= BreakerFailures) {
        breaker.openUntil = now + waitOf(breaker);
    }
}

duration retryAfter(const store_breaker &breaker, time_point now) noexcept
{
    return std::max<duration>(breaker.openUntil - now, ShortestRetry);
}

} // namespace ragwortpin
