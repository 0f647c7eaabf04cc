#ifndef RAGWORTPIN_CLAIMS_BREAKER_H
#define RAGWORTPIN_CLAIMS_BREAKER_H

#include "ragwortpin/claims/fwd.h"
#include "ragwortpin/core/time.h"

#include <cstdint>

namespace ragwortpin {

/** Circuit breaker of the store: after failures in a row it lets only one attempt through at a time, at growing intervals. */
struct store_breaker
{
    std::uint32_t failures{0};
    time_point openUntil;

    bool operator==(const store_breaker &) const = default;
};

/** Failures in a row that open the breaker. */
inline constexpr std::uint32_t BreakerFailures{2};
/** Time for which it first stays open; doubles with each further failure. */
inline constexpr duration BreakerFirstWait{milliseconds{500}};
/** Longest time for which it stays open. */
inline constexpr duration BreakerLongestWait{seconds{4}};

/** Whether a call may be made now. An attempt after the wait keeps others back until it is answered or another wait is over. */
[[nodiscard]] bool allowCall(store_breaker &breaker, time_point now) noexcept;

/** Notes the result of a call. */
void noteCall(store_breaker &breaker, bool succeeded, time_point now) noexcept;

/** Time until the next attempt, for Retry-After. */
[[nodiscard]] duration retryAfter(const store_breaker &breaker, time_point now) noexcept;

} // namespace ragwortpin

#endif
