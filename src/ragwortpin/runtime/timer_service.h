#ifndef RAGWORTPIN_RUNTIME_TIMER_SERVICE_H
#define RAGWORTPIN_RUNTIME_TIMER_SERVICE_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/runtime/fwd.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace ragwortpin {

/** Identifier of one subscription to a timer_service. */
enum class timer_id : std::uint64_t {};

/**
 * Runs periodic and one-shot callbacks at their due times. Owns no thread and reads no clock: its owner passes the time to
 * advance(), which lets tests use arbitrary times. Not thread-safe: each thread needs its own.
 */
class timer_service
{
public:
    using callback = std::function<void(time_point)>;

    /** Runs the callback once every period, first at start + period. The period must be positive. */
    timer_id subscribe(time_point start, duration period, callback function);

    /** Runs the callback once, at the given time. */
    timer_id subscribeOnce(time_point due, callback function);

    /** Removes a subscription; an unknown id is ignored. May be called from within a callback. */
    void unsubscribe(timer_id id);

    /** Runs all callbacks due at or before the given time, in order of due time. Missed periods of one callback run once. */
    void advance(time_point now);

    /** Returns the due time of the next callback, or nullopt if there are no subscriptions. */
    [[nodiscard]] std::optional<time_point> nextDue() const;

private:
    struct subscription
    {
        duration period;
        callback function;
    };
    using due_key = std::pair<time_point, timer_id>;

    timer_id add(time_point due, duration period, callback function);

    std::map<due_key, subscription> m_subscriptions;
    std::map<timer_id, time_point> m_dueTimes;
    std::uint64_t m_lastId{0};
};

} // namespace ragwortpin

#endif
