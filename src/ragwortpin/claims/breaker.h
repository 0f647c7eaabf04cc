#ifndef RAGWORTPIN_CLAIMS_BREAKER_H
#define RAGWORTPIN_CLAIMS_BREAKER_H

#include "ragwortpin/claims/fwd.h"
#include "ragwortpin/core/time.h"

#include <cstdint>

namespace ragwortpin {

/**
 * Circuit breaker for store calls. After BreakerFailureThreshold consecutive failures it allows one attempt at a time, at intervals that
 * double with each further failure.
 */
struct store_breaker
{
    std::uint32_t consecutiveFailures{0};
    time_point openUntil;

    bool operator==(const store_breaker &) const = default;
};

/** Number of consecutive failures that opens the breaker. */
inline constexpr std::uint32_t BreakerFailureThreshold{2};
/** Time for which the breaker stays open at first. Doubles with each further failure. */
inline constexpr duration BreakerInitialOpenTime{milliseconds{500}};
/** Maximum time for which the breaker stays open. */
inline constexpr duration BreakerMaxOpenTime{seconds{4}};

/**
 * Returns whether a call may be made now. An attempt that is allowed after the breaker was open blocks other calls until its result is
 * recorded or the breaker has been open for the same time again.
 */
[[nodiscard]] bool allowCall(store_breaker &breaker, time_point now) noexcept;

/** Records the result of a call. A success closes the breaker. */
void recordCallResult(store_breaker &breaker, bool succeeded, time_point now) noexcept;

/** Returns the time until the next attempt is allowed, at least 100 ms, for use in Retry-After. */
[[nodiscard]] duration retryAfter(const store_breaker &breaker, time_point now) noexcept;

} // namespace ragwortpin

#endif
