#include "ragwortpin/retries/retries.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <random>
#include <rapidcheck/catch.h>
#include <string>

using namespace ragwortpin;

namespace {

/** A failed attempt and the expected verdict. */
struct verdict_case
{
    const char *name;
    failed_attempt attempt;
    retry_verdict verdict;
};

failed_attempt failedWith(outcome result, std::optional<refusal_kind> refusal, bool retryable, bool once)
{
    failed_attempt attempt;
    attempt.result = result;
    attempt.refusal = refusal;
    attempt.retryable = retryable;
    attempt.once = once;
    attempt.remaining = milliseconds{100};
    attempt.expected = milliseconds{10};
    return attempt;
}

failed_attempt with(failed_attempt attempt, const std::function<void(failed_attempt &)> &change)
{
    change(attempt);
    return attempt;
}

const std::vector<verdict_case> &verdictCases()
{
    const failed_attempt overloaded{failedWith(outcome::NotRun, refusal_kind::Overloaded, false, false)};
    const auto failedBehindCallee = [](failed_attempt &attempt) {
        attempt.failedAtCallee = false;
    };
    const auto refusedBefore = [](failed_attempt &attempt) {
        attempt.earlierOverloadRefusals = 1;
    };
    const auto nearDeadline = [](failed_attempt &attempt) {
        attempt.remaining = milliseconds{10};
    };
    const auto failedAtTarget = [](failed_attempt &attempt) {
        attempt.failedAtTarget = true;
    };
    static const std::vector<verdict_case> cases{
        {"failed at the target, on a retryable route",
         with(failedWith(outcome::Ran, {}, true, false), failedAtTarget),
         retry_verdict::Retry},
        {"failed at the target, on a route that runs once",
         with(failedWith(outcome::Ran, {}, true, true), failedAtTarget),
         retry_verdict::OutcomeForbids},
        {"failed at the target, on a route that forbids retries",
         with(failedWith(outcome::Ran, {}, false, false), failedAtTarget),
         retry_verdict::OutcomeForbids},
        {"connection refused", failedWith(outcome::NotRun, {}, false, true), retry_verdict::Retry},
        {"draining", failedWith(outcome::NotRun, refusal_kind::Draining, false, true), retry_verdict::Retry},
        {"lost answer of a retryable route", failedWith(outcome::Unknown, refusal_kind::AnswerLost, true, false), retry_verdict::Retry},
        {"lost answer of another route",
         failedWith(outcome::Unknown, refusal_kind::AnswerLost, false, false),
         retry_verdict::OutcomeForbids},
        {"lost answer of a once route", failedWith(outcome::Unknown, {}, true, true), retry_verdict::OutcomeForbids},
        {"ran", failedWith(outcome::Ran, {}, true, false), retry_verdict::OutcomeForbids},
        {"unreachable instance", failedWith(outcome::NotRun, refusal_kind::NoInstance, false, true), retry_verdict::Retry},
        {"rate", failedWith(outcome::NotRun, refusal_kind::RateExceeded, true, false), retry_verdict::RefusalIsFinal},
        {"deadline", failedWith(outcome::NotRun, refusal_kind::DeadlineExceeded, true, false), retry_verdict::RefusalIsFinal},
        {"failed behind the callee", with(overloaded, failedBehindCallee), retry_verdict::NotNextToFailure},
        {"first overload", overloaded, retry_verdict::Retry},
        {"second overload", with(overloaded, refusedBefore), retry_verdict::OverloadedTwice},
        {"no time left", with(overloaded, nearDeadline), retry_verdict::DeadlineTooNear},
    };
    return cases;
}

/** Random call tree in which each hop uses the escrow as a node does. Counts the retries made in the whole tree. */
class call_tree
{
public:
    explicit call_tree(std::uint64_t seed)
        : m_random{seed}
    { }

    /** Simulates a call with an allowance. Returns the unused allowance, or nothing if the answer is lost. */
    std::optional<unsigned> call(unsigned allowance, unsigned depth)
    {
        retry_allowance escrow{makeAllowance(allowance)};
        const unsigned children{depth == 0 ? 0 : draw(3)};
        for (unsigned child{0}; child < children; ++child) {
            callChild(escrow, depth);
            RC_ASSERT(escrow.available + escrow.granted + escrow.spent == allowance);
        }
        return draw(4) == 0 ? std::nullopt : std::optional{unusedAllowance(escrow)};
    }

    [[nodiscard]] unsigned retries() const noexcept
    {
        return m_retries;
    }

private:
    [[nodiscard]] unsigned draw(unsigned bound)
    {
        return static_cast<unsigned>(m_random() % bound);
    }

    void callChild(retry_allowance &escrow, unsigned depth)
    {
        retry_budget budget{makeBudget(0.1)};
        for (;;) {
            const unsigned grant{draw(2) == 0 ? grantToCallee(escrow) : grantToCallee(escrow, draw(3))};
            const auto unused = call(grant, depth - 1);
            if (unused) {
                settleGrant(escrow, grant, *unused);
            } else {
                forfeitGrant(escrow, grant);
            }
            const failed_attempt attempt{failedWith(unused ? outcome::NotRun : outcome::Unknown, {}, true, false)};
            if (draw(2) == 0 || acquireRetry(attempt, escrow, budget) != retry_verdict::Retry) {
                return;
            }
            ++m_retries;
        }
    }

    std::mt19937_64 m_random;
    unsigned m_retries{0};
};

} // namespace

TEST_CASE("the rules that permit or forbid a retry")
{
    for (const auto &wanted : verdictCases()) {
        CAPTURE(wanted.name);
        retry_allowance escrow{makeAllowance(1)};
        retry_budget budget{makeBudget(0.1)};
        CHECK(acquireRetry(wanted.attempt, escrow, budget) == wanted.verdict);
        CHECK(escrow.spent == (wanted.verdict == retry_verdict::Retry ? 1U : 0U));
        CHECK(budget.tokens == (wanted.verdict == retry_verdict::Retry ? 9.0 : 10.0));
    }
}

TEST_CASE("an exhausted allowance or budget forbids retries")
{
    const failed_attempt attempt{failedWith(outcome::NotRun, {}, false, false)};
    retry_allowance escrow{makeAllowance(1)};
    retry_budget budget{makeBudget(0.1)};
    CHECK(acquireRetry(attempt, escrow, budget) == retry_verdict::Retry);
    CHECK(acquireRetry(attempt, escrow, budget) == retry_verdict::AllowanceSpent);
    escrow = makeAllowance(100);
    for (int retry{0}; retry < 9; ++retry) {
        CHECK(acquireRetry(attempt, escrow, budget) == retry_verdict::Retry);
    }
    CHECK(acquireRetry(attempt, escrow, budget) == retry_verdict::BudgetSpent);
    CHECK(escrow.available == 91);
    for (int first{0}; first < 11; ++first) {
        observeFirstAttempt(budget);
    }
    CHECK(acquireRetry(attempt, escrow, budget) == retry_verdict::Retry);
}

TEST_CASE("retries in a whole call tree never exceed the allowance of the first hop")
{
    rc::prop("random trees with lost answers and retries at every hop", [](std::uint64_t seed) {
        const auto treeAllowance = *rc::gen::inRange(0U, 8U);
        call_tree tree{seed};
        static_cast<void>(tree.call(treeAllowance, *rc::gen::inRange(1U, 7U)));
        RC_ASSERT(tree.retries() <= treeAllowance);
    });
}

TEST_CASE("a hop keeps one retry for a lost answer of a retryable route")
{
    CHECK(grantFor(makeAllowance(3), true) == 2);
    CHECK(grantFor(makeAllowance(1), true) == 1);
    CHECK(grantFor(makeAllowance(3), false) == 3);
    CHECK(grantFor(makeAllowance(0), true) == 0);
    auto escrow = makeAllowance(2);
    forfeitGrant(escrow, grantToCallee(escrow, grantFor(escrow, true)));
    CHECK(spendRetry(escrow));
    CHECK_FALSE(spendRetry(escrow));
}

TEST_CASE("a callee cannot return more than it was granted")
{
    rc::prop("for any reported number", [](unsigned unused) {
        retry_allowance escrow{makeAllowance(3)};
        const unsigned grant{grantToCallee(escrow, 2)};
        settleGrant(escrow, grant, unused);
        RC_ASSERT(escrow.available <= 3U);
        RC_ASSERT(escrow.available + escrow.granted + escrow.spent == 3U);
    });
}
