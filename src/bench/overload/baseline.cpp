#include "bench/overload/baseline.h"

namespace ragwortpin::bench {

namespace {

/** Queue delay that the CoDel-like gate lets stand, and for how long. */
constexpr duration CodelTarget{milliseconds{5}};
constexpr duration CodelInterval{milliseconds{100}};

[[nodiscard]] std::size_t queueCapacity(const baseline_gate &gate) noexcept
{
    return gate.policy == control_policy::StaticLimit ? 0 : gate.connections - gate.slots;
}

[[nodiscard]] bool dropsHead(baseline_gate &gate, time_point now) noexcept
{
    if (gate.policy != control_policy::CodelLike) {
        return false;
    }
    if (now - gate.queue.front().queuedAt < CodelTarget) {
        gate.delayedSince.reset();
        return false;
    }
    if (!gate.delayedSince) {
        gate.delayedSince = now;
    }
    return now - *gate.delayedSince >= CodelInterval;
}

} // namespace

admission_decision offer(baseline_gate &gate, request_id id, time_point now)
{
    if (gate.running.size() < gate.slots) {
        gate.running.insert(id);
        return admission_decision{admission_verdict::Started, refusal_kind::Overloaded, {}, {}};
    }
    if (gate.queue.size() >= queueCapacity(gate)) {
        return admission_decision{};
    }
    gate.queue.push_back(baseline_entry{id, now});
    return admission_decision{admission_verdict::Queued, refusal_kind::Overloaded, {}, {}};
}

admission_changes complete(baseline_gate &gate, request_id id, time_point now)
{
    admission_changes changes;
    gate.running.erase(id);
    while (!gate.queue.empty() && gate.running.size() < gate.slots) {
        const request_id next{gate.queue.front().id};
        const bool drops{dropsHead(gate, now)};
        gate.queue.pop_front();
        if (drops) {
            changes.expired.push_back(next);
        } else {
            gate.running.insert(next);
            changes.started.push_back(next);
        }
    }
    if (gate.queue.empty()) {
        gate.delayedSince.reset();
    }
    return changes;
}

} // namespace ragwortpin::bench
