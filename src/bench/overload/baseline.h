#ifndef RAGWORTPIN_BENCH_OVERLOAD_BASELINE_H
#define RAGWORTPIN_BENCH_OVERLOAD_BASELINE_H

#include "bench/overload/scenario.h"
#include "ragwortpin/admission/admission.h"

#include <deque>
#include <optional>
#include <unordered_set>

namespace ragwortpin::bench {

/** A request in the queue of a baseline. */
struct baseline_entry
{
    request_id id{0};
    time_point queuedAt{};
};

/** Gate of one target under a baseline policy. */
struct baseline_gate
{
    control_policy policy{control_policy::None};
    std::size_t slots{0};
    std::size_t connections{0};
    std::unordered_set<request_id> running;
    std::deque<baseline_entry> queue;
    std::optional<time_point> delayedSince;
};

/** Offers a request to the gate. */
[[nodiscard]] admission_decision offer(baseline_gate &gate, request_id id, time_point now);

/** Gives a slot back; returns what started, and as expired what the queue dropped. */
[[nodiscard]] admission_changes complete(baseline_gate &gate, request_id id, time_point now);

} // namespace ragwortpin::bench

#endif
