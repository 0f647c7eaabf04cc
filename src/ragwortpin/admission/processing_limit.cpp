#include "ragwortpin/admission/processing_limit.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace {

constexpr double MicrosecondsPerSecond{1e6};

/** Utilisation below which the load says nothing about the capacity. */
constexpr double MinUtilisation{0.05};

/** Returns the mean number of requests in slots since the latest observation: by Little's law, their rate times their slot time. */
double meanConcurrency(const processing_limit &state, const admission_state &admission, time_point now)
{
    const double elapsed{toSeconds(now - state.observedAt)};
    const double started{static_cast<double>(admission.counters.started - state.startedCount)};
    return elapsed > 0.0 ? started / elapsed * admission.averageWork / MicrosecondsPerSecond : 0.0;
}

/** Returns the concurrency at which the event loop would be busy for the targeted part of the time. */
double sustainableConcurrency(const processing_limit &state, const admission_state &admission, time_point now)
{
    const duration excess{std::max(duration::zero(), state.load.delay - state.options.saturatedDelay)};
    const double target{state.options.targetUtilisation / (1.0 + toSeconds(excess) / toSeconds(state.options.halfTargetDelay))};
    const double scale{target / std::max(MinUtilisation, state.load.utilisation)};
    const double least{state.options.minFraction * currentLimit(admission.limit)};
    return std::max(least, scale * meanConcurrency(state, admission, now));
}

void updateLimit(processing_limit &state, const admission_state &admission, time_point now)
{
    const double sustainable{sustainableConcurrency(state, admission, now)};
    if (!state.limit) {
        const bool isSaturated{state.saturatedSince && now - *state.saturatedSince >= state.options.saturatedInterval};
        if (isSaturated && sustainable < currentLimit(admission.limit)) {
            state.limit = sustainable;
        }
        return;
    }
    *state.limit += state.options.gain * (sustainable - *state.limit);
    if (*state.limit >= currentLimit(admission.limit)) {
        state.limit.reset();
    }
}

} // namespace

void observeLoop(processing_limit &state, const loop_load &load, const admission_state &admission, time_point now)
{
    state.load = load;
    if (load.delay < state.options.saturatedDelay) {
        state.saturatedSince.reset();
    } else if (!state.saturatedSince) {
        state.saturatedSince = now;
    }
    updateLimit(state, admission, now);
    state.observedAt = now;
    state.startedCount = admission.counters.started;
}

std::uint32_t sustainableLimit(const processing_limit &state, const admission_state &admission) noexcept
{
    const auto targetLimit = currentLimit(admission.limit);
    if (!state.limit || targetLimit == 0) {
        return targetLimit;
    }
    return std::clamp(static_cast<std::uint32_t>(*state.limit), 1U, targetLimit);
}

std::uint32_t waitingRequests(const processing_limit &state, const admission_state &admission) noexcept
{
    const auto queued = static_cast<std::uint32_t>(admission.queue.size());
    if (!state.limit) {
        return queued;
    }
    const double limit{static_cast<double>(sustainableLimit(state, admission))};
    const double unread{limit * toSeconds(state.load.delay) / toSeconds(state.options.fullQueueDelay)};
    const bool isUnderused{state.load.utilisation < state.options.underusedBelow};
    const double least{isUnderused ? 0.0 : state.options.minQueueDeviations * std::sqrt(limit)};
    return queued + static_cast<std::uint32_t>(std::max(least, unread));
}

} // namespace ragwortpin
