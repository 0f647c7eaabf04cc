#ifndef RAGWORTPIN_ADMISSION_CONCURRENCY_LIMIT_H
#define RAGWORTPIN_ADMISSION_CONCURRENCY_LIMIT_H

#include "ragwortpin/admission/fwd.h"
#include "ragwortpin/core/time.h"

#include <cstdint>
#include <optional>

namespace ragwortpin {

/** Settings of an adaptive concurrency limit. */
struct concurrency_limit_options
{
    /** Whether the limit follows service times and refusals of the target. Otherwise it is the bound, except during a slow start. */
    bool adapts{true};
    /** Initial limit after a cold start, as a fraction of the bound. */
    double initialFraction{0.2};
    /** Factor by which the limit grows in each window of a slow start. */
    double slowStartGrowthFactor{1.25};
    /** Minimum time between two changes of the limit. */
    duration window{milliseconds{100}};
    /** Minimum number of completions before a window is evaluated, unless the limit is lower than this number. */
    std::uint32_t minSamples{30};
    /** Ratio of the mean service time to its baseline above which the limit is reduced. */
    double contentionRatio{1.6};
    /** Factor by which one reduction multiplies the limit. */
    double reductionFactor{0.85};
    /** Fraction by which the baseline service time rises per second. */
    double baselineRise{0.02};

    bool operator==(const concurrency_limit_options &) const = default;
};

/**
 * Limit on the requests that a target runs concurrently. A reduction that does not shorten the service time, or that does not make
 * the target refuse fewer requests, is reverted: concurrency is then not the cause. Only the functions below modify it.
 */
struct concurrency_limit
{
    concurrency_limit_options options;
    /** Upper bound of the limit: the smaller of the announced slots and connections. */
    std::uint32_t bound{0};
    double limit{0.0};
    bool slowStart{true};
    /** Estimated service time without contention, in microseconds; 0 before the first window. */
    double baseline{0.0};
    /** Mean service time of the last completed window, in microseconds. */
    double lastMeanServiceTime{0.0};
    /** Mean service time before the last reduction, in microseconds; 0 if there is no reduction whose effect has to be checked. */
    double meanBeforeReduction{0.0};
    /** Fraction of the completions that the target refuses for another reason than concurrency. */
    double rejectionBaseline{0.0};
    /** Fraction of refused completions before the last reduction because of refusals, while its effect has to be checked. */
    std::optional<double> rejectionsBeforeReduction;
    /** Whether the window still contains requests that started before that reduction. */
    bool reductionIsSettling{false};
    time_point windowStart{};
    double windowServiceTime{0.0};
    std::uint32_t windowCount{0};
    /** Completions in the window for which the target itself refused the request. */
    std::uint32_t windowRejections{0};
    /** Largest number of requests that ran concurrently in the window. */
    std::uint32_t windowPeakRunning{0};

    bool operator==(const concurrency_limit &) const = default;
};

/**
 * Sets the bound from the announced slots and connections. A limit above the new bound is lowered immediately. Outside a slow
 * start, a limit that was at the old bound moves to the new one.
 */
void setBound(concurrency_limit &state, std::uint32_t slots, std::uint32_t connections) noexcept;

/** Resets the measurements and begins a slow start, as after a cold start of the target. */
void beginSlowStart(concurrency_limit &state, time_point now) noexcept;

/**
 * Records one completion. The service time excludes waits in queues and for callees, running is the number of requests that
 * ran concurrently before the completion, and rejected tells whether the target itself refused the request because of overload.
 */
void observeServiceTime(concurrency_limit &state, duration serviceTime, std::uint32_t running, bool rejected, time_point now) noexcept;

/** Returns how many requests may run concurrently: at least 1 and at most the bound, or 0 if the bound is 0. */
[[nodiscard]] std::uint32_t currentLimit(const concurrency_limit &state) noexcept;

} // namespace ragwortpin

#endif
