#include "ragwortpin/admission/concurrency_limit.h"

#include <algorithm>

namespace ragwortpin {

namespace internal {

namespace {

/** Part of a window's completions that the target must refuse for the limit to fall. */
constexpr double RejectedFraction{0.05};

/** Part of the limit that must have been in use for a window to say anything about the limit. */
constexpr double BindingFraction{0.8};

/** Part of the limit that a window without contention adds. */
constexpr double GrowthFraction{0.05};

void clampLimit(concurrency_limit &state) noexcept
{
    const double bound{static_cast<double>(state.bound)};
    state.limit = std::clamp(state.limit, std::min(1.0, bound), bound);
}

void updateFloor(concurrency_limit &state, double mean, double elapsedSeconds) noexcept
{
    if (state.floor <= 0.0) {
        state.floor = mean;
        return;
    }
    state.floor *= 1.0 + state.options.floorRise * elapsedSeconds;
    if (mean < state.floor) {
        state.floor = (state.floor + mean) / 2.0;
    }
}

void growSlowly(concurrency_limit &state) noexcept
{
    state.limit += std::max(1.0, GrowthFraction * state.limit);
}

void advanceSlowStart(concurrency_limit &state, bool contended) noexcept
{
    state.limit = contended ? state.limit * state.options.cut : std::max(state.limit + 1.0, state.limit * state.options.slowStartGrowth);
    state.slowStart = !contended && state.limit < state.bound;
}

/** Undoes a cut that did not shorten the service time: the slowness has another cause than concurrency. */
void undoUselessCut(concurrency_limit &state, double mean) noexcept
{
    state.limit /= state.options.cut;
    state.floor = mean;
    state.meanBeforeCut = 0.0;
}

void cutFurther(concurrency_limit &state, double mean) noexcept
{
    state.limit *= state.options.cut;
    state.meanBeforeCut = mean;
}

[[nodiscard]] bool cutWasUseless(const concurrency_limit &state, double mean) noexcept
{
    const double expectedGain{(1.0 - state.options.cut) / 2.0};
    return state.meanBeforeCut > 0.0 && mean > state.meanBeforeCut * (1.0 - expectedGain);
}

void adjust(concurrency_limit &state, double mean) noexcept
{
    const bool rejecting{state.windowRejections > RejectedFraction * state.windowCount};
    const bool contended{rejecting || mean > state.options.tolerance * state.floor};
    const bool binding{state.windowPeak >= BindingFraction * state.limit};
    if (state.slowStart) {
        advanceSlowStart(state, contended);
    } else if (rejecting) {
        cutFurther(state, 0.0);
    } else if (cutWasUseless(state, mean)) {
        undoUselessCut(state, mean);
    } else if (contended && binding) {
        cutFurther(state, mean);
    } else if (!contended) {
        state.meanBeforeCut = 0.0;
        growSlowly(state);
    }
}

void closeWindow(concurrency_limit &state, time_point now) noexcept
{
    const double mean{state.windowSum / state.windowCount};
    updateFloor(state, mean, toSeconds(now - state.windowStart));
    adjust(state, mean);
    clampLimit(state);
    state.lastMean = mean;
    state.windowStart = now;
    state.windowSum = 0.0;
    state.windowCount = 0;
    state.windowRejections = 0;
    state.windowPeak = 0;
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

void startCold(concurrency_limit &state, time_point now) noexcept
{
    state.slowStart = true;
    state.limit = state.options.initialFraction * state.bound;
    internal::clampLimit(state);
    state.floor = 0.0;
    state.meanBeforeCut = 0.0;
    state.windowStart = now;
    state.windowSum = 0.0;
    state.windowCount = 0;
    state.windowRejections = 0;
    state.windowPeak = 0;
}

void observeServiceTime(concurrency_limit &state, duration serviceTime, std::uint32_t running, bool rejected, time_point now) noexcept
{
    state.windowSum += static_cast<double>(serviceTime.count());
    state.windowCount += 1;
    state.windowRejections += rejected ? 1 : 0;
    state.windowPeak = std::max(state.windowPeak, running);
    if (state.windowCount >= state.options.minimumSamples && now - state.windowStart >= state.options.window) {
        internal::closeWindow(state, now);
    }
}

std::uint32_t currentLimit(const concurrency_limit &state) noexcept
{
    const auto whole = static_cast<std::uint32_t>(state.limit);
    return std::min(state.bound, std::max(std::uint32_t{1}, whole));
}

} // namespace ragwortpin
