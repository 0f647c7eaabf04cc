#ifndef RAGWORTPIN_BENCH_OVERLOAD_BASELINE_H
#define RAGWORTPIN_BENCH_OVERLOAD_BASELINE_H

#include "bench/overload/scenario.h"
#include "ragwortpin/admission/admission.h"

#include <deque>
#include <optional>
#include <unordered_set>

namespace ragwortpin::bench {

/** A request in the queue of a baseline limiter. */
struct baseline_entry
{
    request_id id{0};
    time_point queuedAt{};
};

/** Concurrency limiter of one target under a baseline policy. */
struct baseline_limiter
{
    control_policy policy{control_policy::None};
    std::size_t slots{0};
    std::size_t connections{0};
    std::unordered_set<request_id> running;
    std::deque<baseline_entry> queue;
    /** Time since which the queue delay has been above the CoDel target; unset while it is below. */
    std::optional<time_point> aboveTargetSince;
};

/** Starts, queues or refuses a request. */
[[nodiscard]] admission_decision offer(baseline_limiter &limiter, request_id id, time_point now);

/** Releases the slot of a request; returns the queued requests that started, and those that the queue dropped as `expired`. */
[[nodiscard]] admission_changes complete(baseline_limiter &limiter, request_id id, time_point now);

} // namespace ragwortpin::bench

#endif
