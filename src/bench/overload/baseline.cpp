#include "bench/overload/baseline.h"

namespace ragwortpin::bench {

namespace {

/** Queue delay from which on the CoDel-like limiter considers the queue too long. */
constexpr duration CodelTargetDelay{milliseconds{5}};

/** Time that the queue delay has to stay above the target before requests are dropped. */
constexpr duration CodelInterval{milliseconds{100}};

[[nodiscard]] std::size_t queueCapacity(const baseline_limiter &limiter) noexcept
{
    return limiter.policy == control_policy::StaticLimit ? 0 : limiter.connections - limiter.slots;
}

/** Updates the time since which the queue delay is above the target and returns true if the head of the queue has to be dropped. */
[[nodiscard]] bool shouldDropHead(baseline_limiter &limiter, time_point now) noexcept
{
    if (limiter.policy != control_policy::CodelLike) {
        return false;
    }
    if (now - limiter.queue.front().queuedAt < CodelTargetDelay) {
        limiter.aboveTargetSince.reset();
        return false;
    }
    if (!limiter.aboveTargetSince) {
        limiter.aboveTargetSince = now;
    }
    return now - *limiter.aboveTargetSince >= CodelInterval;
}

} // namespace

admission_decision offer(baseline_limiter &limiter, request_id id, time_point now)
{
    if (limiter.running.size() < limiter.slots) {
        limiter.running.insert(id);
        return admission_decision{admission_verdict::Started, refusal_kind::Overloaded, {}, {}};
    }
    if (limiter.queue.size() >= queueCapacity(limiter)) {
        return admission_decision{};
    }
    limiter.queue.push_back(baseline_entry{id, now});
    return admission_decision{admission_verdict::Queued, refusal_kind::Overloaded, {}, {}};
}

admission_changes complete(baseline_limiter &limiter, request_id id, time_point now)
{
    admission_changes changes;
    limiter.running.erase(id);
    while (!limiter.queue.empty() && limiter.running.size() < limiter.slots) {
        const request_id next{limiter.queue.front().id};
        const bool dropHead{shouldDropHead(limiter, now)};
        limiter.queue.pop_front();
        if (dropHead) {
            changes.expired.push_back(next);
        } else {
            limiter.running.insert(next);
            changes.started.push_back(next);
        }
    }
    if (limiter.queue.empty()) {
        limiter.aboveTargetSince.reset();
    }
    return changes;
}

} // namespace ragwortpin::bench
