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

/** Retries towards one service as a part of its first attempts: a token bucket that first attempts fill. */
struct retry_budget
{
    /** Retries allowed for each first attempt. */
    double ratio{0.1};
    /** Most retries that can be saved up. */
    double capacity{10.0};
    double tokens{10.0};

    bool operator==(const retry_budget &) const = default;
};

/** Most retries that a node saves up for a service where the settings do not say. */
inline constexpr double DefaultBudgetCapacity{10.0};

/** Makes a full budget with the ratio of the service. */
[[nodiscard]] constexpr retry_budget makeBudget(double ratio, double capacity = DefaultBudgetCapacity) noexcept
{
    return retry_budget{ratio, capacity, capacity};
}

/** Records a first attempt at the service. */
void observeFirstAttempt(retry_budget &budget) noexcept;

/** An attempt that failed, as the calling hop sees it. */
struct failed_attempt
{
    outcome result{outcome::Unknown};
    /** Reason, if a node of the system refused. */
    std::optional<refusal_kind> refusal;
    /** Whether the failure is one of the instance that was called, not of a hop behind it. */
    bool failedAtCallee{true};
    /** Whether the target ran the request and answered that it failed. */
    bool failedAtTarget{false};
    /** Whether the route allows retries of requests whose outcome is unknown. */
    bool retryable{false};
    /** Whether the route runs a request at most once. */
    bool once{false};
    /** Targets that this and earlier attempts of the hop may have arrived at. */
    unsigned arrivals{1};
    /** Most targets that the request may be sent to. */
    unsigned mostArrivals{std::numeric_limits<unsigned>::max()};
    /** Overload refusals that earlier attempts of this hop for this request met. */
    unsigned earlierOverloads{0};
    /** Time until the deadline. */
    duration remaining{0};
    /** Least time that another attempt is thought to take. */
    duration expected{0};

    bool operator==(const failed_attempt &) const = default;
};

/** Whether to retry, and if not, the rule that forbids it. */
enum class retry_verdict : unsigned char {
    Retry,
    /** The request ran, or may have run on a route that forbids another run. */
    OutcomeForbids,
    /** The refusal would be the same at every instance. */
    RefusalIsFinal,
    /** The hop next to the failure decides. */
    NotNextToFailure,
    /** One other instance was tried after an overload refusal already. */
    OverloadedTwice,
    DeadlineTooNear,
    /** The request was sent to as many targets as its route allows. */
    AttemptsSpent,
    AllowanceSpent,
    BudgetSpent,
};

/** Name of a verdict, for logs. */
[[nodiscard]] std::string_view name(retry_verdict verdict) noexcept;

/** Decides whether another attempt may be made at all, budgets and allowances apart. */
[[nodiscard]] retry_verdict judgeAttempt(const failed_attempt &attempt) noexcept;

/**
 * Decides on a retry; on Retry, one retry of the escrow and one token of the budget are spent. An attempt that arrived at no
 * target costs no token, since the target gets the retry as its first.
 */
[[nodiscard]] retry_verdict mayRetry(const failed_attempt &attempt, retry_escrow &escrow, retry_budget &budget) noexcept;

} // namespace ragwortpin

#endif
