#ifndef RAGWORTPIN_RETRIES_RETRIES_H
#define RAGWORTPIN_RETRIES_RETRIES_H

#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/retries/allowance.h"
#include "ragwortpin/retries/fwd.h"

#include <limits>
#include <optional>
#include <string_view>

namespace ragwortpin {

/** Limits the retries to one service to a fraction of its first attempts: a token bucket that first attempts refill. */
struct retry_budget
{
    /** Tokens added for each first attempt. */
    double ratio{0.1};
    /** Maximum number of tokens. */
    double capacity{10.0};
    double tokens{10.0};

    bool operator==(const retry_budget &) const = default;
};

/** Maximum number of tokens of a budget if the settings do not specify one. */
inline constexpr double DefaultBudgetCapacity{10.0};

/** Creates a full budget with the retry ratio of a service. */
[[nodiscard]] constexpr retry_budget makeBudget(double ratio, double capacity = DefaultBudgetCapacity) noexcept
{
    return retry_budget{ratio, capacity, capacity};
}

/** Records a first attempt at the service. */
void observeFirstAttempt(retry_budget &budget) noexcept;

/** A failed attempt from the point of view of the calling hop. */
struct failed_attempt
{
    outcome result{outcome::Unknown};
    /** Reason of the refusal, if a node refused the request. */
    std::optional<refusal_kind> refusal;
    /** Whether the instance that was called failed, and not a hop behind it. */
    bool failedAtCallee{true};
    /** Whether the target ran the request and answered that it failed. */
    bool failedAtTarget{false};
    /** Whether the route allows retries of requests whose outcome is unknown. */
    bool retryable{false};
    /** Whether the route runs a request at most once. */
    bool once{false};
    /** Number of targets that this and earlier attempts of the hop may have arrived at. */
    unsigned arrivals{1};
    /** Maximum number of targets that the request may be sent to. */
    unsigned maxArrivals{std::numeric_limits<unsigned>::max()};
    /** Number of earlier attempts of this hop for this request that were refused because of overload. */
    unsigned earlierOverloadRefusals{0};
    /** Time until the deadline. */
    duration remaining{0};
    /** Estimate of the least time that another attempt takes. */
    duration expected{0};

    bool operator==(const failed_attempt &) const = default;
};

/** Decision to retry, or the rule that forbids it. */
enum class retry_verdict : unsigned char {
    Retry,
    /** The request ran, or may have run on a route that forbids another run. */
    OutcomeForbids,
    /** The refusal would be the same at every instance. */
    RefusalIsFinal,
    /** Only the hop next to the failure may retry. */
    NotNextToFailure,
    /** Another instance was already tried after an overload refusal, and refused as well. */
    OverloadedTwice,
    /** The time until the deadline does not exceed the expected time of another attempt. */
    DeadlineTooNear,
    /** The request was sent to as many targets as its route allows. */
    AttemptsSpent,
    /** The hop has no retry left of the request tree's allowance. */
    AllowanceSpent,
    /** The budget of the service has no token left. */
    BudgetSpent,
};

/** Returns the name of a verdict for logs. */
[[nodiscard]] std::string_view name(retry_verdict verdict) noexcept;

/** Decides whether the rules permit another attempt, regardless of budget and allowance. */
[[nodiscard]] retry_verdict checkRetryRules(const failed_attempt &attempt) noexcept;

/**
 * Decides whether to retry. If the result is `Retry`, one retry of the escrow and one token of the budget are spent. After an attempt
 * that arrived at no target the retry costs no token, since it is the first request that reaches a target.
 */
[[nodiscard]] retry_verdict acquireRetry(const failed_attempt &attempt, retry_allowance &escrow, retry_budget &budget) noexcept;

} // namespace ragwortpin

#endif
