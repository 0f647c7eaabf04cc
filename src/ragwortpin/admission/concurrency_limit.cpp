#include "ragwortpin/admission/concurrency_limit.h"

#include <algorithm>
#include <utility>

namespace ragwortpin {

namespace internal {

namespace {

/** Fraction of a window's completions refused by the target above which the limit is reduced. */
constexpr double RejectionThreshold{0.05};

/** Fraction of the limit that must have been in use in a window for slow responses to reduce the limit. */
constexpr double MinUsedFraction{0.8};

/** Fraction of the limit by which a window without contention raises it. */
constexpr double GrowthFraction{0.05};

void clampLimit(concurrency_limit &state) noexcept
{
    const double bound{static_cast<double>(state.bound)};
    state.limit = std::clamp(state.limit, std::min(1.0, bound), bound);
}

void updateBaseline(concurrency_limit &state, double mean, double elapsedSeconds) noexcept
{
    if (state.baseline <= 0.0) {
        state.baseline = mean;
        return;
    }
    state.baseline *= 1.0 + state.options.baselineRise * elapsedSeconds;
    if (mean < state.baseline) {
        state.baseline = (state.baseline + mean) / 2.0;
    }
}

void growLimit(concurrency_limit &state) noexcept
{
    state.limit += std::max(1.0, GrowthFraction * state.limit);
}

void advanceSlowStart(concurrency_limit &state, bool contended) noexcept
{
    state.limit = contended ? state.limit * state.options.reductionFactor
                            : std::max(state.limit + 1.0, state.limit * state.options.slowStartGrowthFactor);
    state.slowStart = !contended && state.limit < state.bound;
}

/** Weight of one window in the baseline of refusals. */
constexpr double RejectionBaselineGain{0.25};

/** Reverts a reduction that did not shorten the service time, since concurrency is then not the cause of the slowness. */
void revertReduction(concurrency_limit &state, double mean) noexcept
{
    state.limit /= state.options.reductionFactor;
    state.baseline = mean;
    state.meanBeforeReduction = 0.0;
}

void reduceLimit(concurrency_limit &state, double mean) noexcept
{
    state.limit *= state.options.reductionFactor;
    state.meanBeforeReduction = mean;
}

[[nodiscard]] bool reductionWasIneffective(const concurrency_limit &state, double mean) noexcept
{
    const double requiredImprovement{(1.0 - state.options.reductionFactor) / 2.0};
    return state.meanBeforeReduction > 0.0 && mean > state.meanBeforeReduction * (1.0 - requiredImprovement);
}

/**
 * Returns whether a reduction did not lower the part of refused completions by at least half of what it would if the target refused
 * all above a fixed number.
 */
[[nodiscard]] bool rejectionsRemained(const concurrency_limit &state, double before, double now) noexcept
{
    const double expected{1.0 - (1.0 - before) / state.options.reductionFactor};
    return now >= (before + expected) / 2.0;
}

/** Adjusts the limit to the refusals of the target. Returns whether they account for the window. */
[[nodiscard]] bool adjustToRejections(concurrency_limit &state, double rejections) noexcept
{
    if (std::exchange(state.reductionIsSettling, false)) {
        return true;
    }
    const auto before = std::exchange(state.rejectionsBeforeReduction, std::nullopt);
    if (before && rejectionsRemained(state, *before, rejections)) {
        state.limit /= state.options.reductionFactor;
        state.rejectionBaseline = rejections;
        return true;
    }
    const bool isRejecting{rejections > RejectionThreshold + state.rejectionBaseline};
    if (isRejecting) {
        reduceLimit(state, 0.0);
        state.rejectionsBeforeReduction = rejections;
        state.reductionIsSettling = true;
    } else {
        state.rejectionBaseline -= RejectionBaselineGain * std::max(0.0, state.rejectionBaseline - rejections);
    }
    return isRejecting;
}

void adjustToServiceTime(concurrency_limit &state, double mean) noexcept
{
    const bool contended{mean > state.options.contentionRatio * state.baseline};
    const bool limitWasUsed{state.windowPeakRunning >= MinUsedFraction * state.limit};
    if (reductionWasIneffective(state, mean)) {
        revertReduction(state, mean);
    } else if (contended && limitWasUsed) {
        reduceLimit(state, mean);
    } else if (!contended) {
        state.meanBeforeReduction = 0.0;
        growLimit(state);
    }
}

void adjustLimit(concurrency_limit &state, double mean, double rejections) noexcept
{
    if (state.slowStart) {
        const bool contended{rejections > RejectionThreshold || mean > state.options.contentionRatio * state.baseline};
        advanceSlowStart(state, state.options.adapts && contended);
    } else if (!state.options.adapts) {
        state.limit = state.bound;
    } else if (!adjustToRejections(state, rejections)) {
        adjustToServiceTime(state, mean);
    }
}

void closeWindow(concurrency_limit &state, time_point now) noexcept
{
    const std::uint32_t served{state.windowCount - state.windowRejections};
    const double mean{served > 0 ? state.windowServiceTime / served : state.lastMeanServiceTime};
    if (served > 0) {
        updateBaseline(state, mean, toSeconds(now - state.windowStart));
    }
    adjustLimit(state, mean, static_cast<double>(state.windowRejections) / state.windowCount);
    clampLimit(state);
    state.lastMeanServiceTime = mean;
    state.windowStart = now;
    state.windowServiceTime = 0.0;
    state.windowCount = 0;
    state.windowRejections = 0;
    state.windowPeakRunning = 0;
}

} // namespace

} // namespace internal

void setBound(concurrency_limit &state, std::uint32_t slots, std::uint32_t connections) noexcept
{
    const bool wasFull{!state.slowStart && state.limit >= state.bound};
    state.bound = std::min(slots, connections);
    if (wasFull) {
        state.limit = state.bound;
    }
    internal::clampLimit(state);
}

void beginSlowStart(concurrency_limit &state, time_point now) noexcept
{
    state.slowStart = true;
    state.limit = state.options.initialFraction * state.bound;
    internal::clampLimit(state);
    state.baseline = 0.0;
    state.meanBeforeReduction = 0.0;
    state.rejectionBaseline = 0.0;
    state.rejectionsBeforeReduction.reset();
    state.reductionIsSettling = false;
    state.windowStart = now;
    state.windowServiceTime = 0.0;
    state.windowCount = 0;
    state.windowRejections = 0;
    state.windowPeakRunning = 0;
}

void observeServiceTime(concurrency_limit &state, duration serviceTime, std::uint32_t running, bool rejected, time_point now) noexcept
{
    state.windowServiceTime += rejected ? 0.0 : static_cast<double>(serviceTime.count());
    state.windowCount += 1;
    state.windowRejections += rejected ? 1 : 0;
    state.windowPeakRunning = std::max(state.windowPeakRunning, running);
    const std::uint32_t requiredSamples{std::min(state.options.minSamples, currentLimit(state))};
    if (state.windowCount >= requiredSamples && now - state.windowStart >= state.options.window) {
        internal::closeWindow(state, now);
    }
}

std::uint32_t currentLimit(const concurrency_limit &state) noexcept
{
    const auto whole = static_cast<std::uint32_t>(state.limit);
    return std::min(state.bound, std::max(std::uint32_t{1}, whole));
}

} // namespace ragwortpin
