#include "ragwortpin/retries/retries.h"

#include <algorithm>

namespace ragwortpin {

namespace internal {

namespace {

/** Returns whether another instance may accept a request that was refused for this reason. */
[[nodiscard]] constexpr bool mayDifferAtOtherInstance(refusal_kind refusal) noexcept
{
    switch (refusal) {
    case refusal_kind::Overloaded:
    case refusal_kind::Draining:
    case refusal_kind::NotReady:
    case refusal_kind::NoInstance:
    case refusal_kind::AnswerLost:
    case refusal_kind::ContextInvalid:
    case refusal_kind::MemoryShort:
        return true;
    default:
        return false;
    }
}

[[nodiscard]] constexpr bool outcomeForbidsRetry(const failed_attempt &attempt) noexcept
{
    if (attempt.result == outcome::NotRun) {
        return false;
    }
    const bool succeeded{attempt.result == outcome::Ran && !attempt.failedAtTarget};
    return succeeded || attempt.once || !attempt.retryable;
}

[[nodiscard]] constexpr retry_verdict checkAttempt(const failed_attempt &attempt) noexcept
{
    if (outcomeForbidsRetry(attempt)) {
        return retry_verdict::OutcomeForbids;
    }
    if (!attempt.failedAtCallee) {
        return retry_verdict::NotNextToFailure;
    }
    if (attempt.refusal && !mayDifferAtOtherInstance(*attempt.refusal)) {
        return retry_verdict::RefusalIsFinal;
    }
    if (attempt.refusal == refusal_kind::Overloaded && attempt.earlierOverloadRefusals > 0) {
        return retry_verdict::OverloadedTwice;
    }
    if (attempt.arrivals >= attempt.maxArrivals) {
        return retry_verdict::AttemptsSpent;
    }
    return attempt.remaining > attempt.expected ? retry_verdict::Retry : retry_verdict::DeadlineTooNear;
}

} // namespace

} // namespace internal

unsigned grantToCallee(retry_allowance &escrow) noexcept
{
    return grantToCallee(escrow, escrow.available);
}

unsigned grantToCallee(retry_allowance &escrow, unsigned most) noexcept
{
    const unsigned grant{std::min(most, escrow.available)};
    escrow.available -= grant;
    escrow.granted += grant;
    return grant;
}

void settleGrant(retry_allowance &escrow, unsigned grant, unsigned unused) noexcept
{
    const unsigned settled{std::min(grant, escrow.granted)};
    const unsigned returned{std::min(unused, settled)};
    escrow.granted -= settled;
    escrow.available += returned;
    escrow.spent += settled - returned;
}

void forfeitGrant(retry_allowance &escrow, unsigned grant) noexcept
{
    settleGrant(escrow, grant, 0);
}

bool spendRetry(retry_allowance &escrow) noexcept
{
    if (escrow.available == 0) {
        return false;
    }
    escrow.available -= 1;
    escrow.spent += 1;
    return true;
}

void observeFirstAttempt(retry_budget &budget) noexcept
{
    budget.tokens = std::min(budget.capacity, budget.tokens + budget.ratio);
}

std::string_view name(retry_verdict verdict) noexcept
{
    switch (verdict) {
    case retry_verdict::Retry:
        return "retry";
    case retry_verdict::OutcomeForbids:
        return "outcome_forbids";
    case retry_verdict::RefusalIsFinal:
        return "refusal_is_final";
    case retry_verdict::NotNextToFailure:
        return "not_next_to_failure";
    case retry_verdict::OverloadedTwice:
        return "overloaded_twice";
    case retry_verdict::DeadlineTooNear:
        return "deadline_too_near";
    case retry_verdict::AttemptsSpent:
        return "attempts_spent";
    case retry_verdict::AllowanceSpent:
        return "allowance_spent";
    case retry_verdict::BudgetSpent:
        return "budget_spent";
    }
    return "unknown";
}

retry_verdict checkRetryRules(const failed_attempt &attempt) noexcept
{
    return internal::checkAttempt(attempt);
}

retry_verdict acquireRetry(const failed_attempt &attempt, retry_allowance &escrow, retry_budget &budget) noexcept
{
    const retry_verdict verdict{internal::checkAttempt(attempt)};
    if (verdict != retry_verdict::Retry) {
        return verdict;
    }
    const double tokenCost{attempt.arrivals == 0 ? 0.0 : 1.0};
    if (budget.tokens < tokenCost) {
        return retry_verdict::BudgetSpent;
    }
    if (!spendRetry(escrow)) {
        return retry_verdict::AllowanceSpent;
    }
    budget.tokens -= tokenCost;
    return retry_verdict::Retry;
}

} // namespace ragwortpin
