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

/** Identifies one subscription to a timer_service. */
enum class timer_id : std::uint64_t {};

/**
 * Calls subscribers when their time comes. It owns no thread and reads no clock: the thread of a duty drives it with
 * advance(), a test with any times it likes. Not thread-safe; each duty has its own.
 */
class timer_service
{
public:
    using callback = std::function<void(time_point)>;

    /** Calls back every period, first one period after start. The period must be positive. */
    timer_id subscribe(time_point start, duration period, callback function);

    /** Calls back once, at the given time. */
    timer_id subscribeOnce(time_point due, callback function);

    /** Ends a subscription; an unknown one is ignored. Allowed from within a callback. */
    void unsubscribe(timer_id id);

    /** Runs every callback that is due at the given time, in order of due time. A periodic one runs once however late. */
    void advance(time_point now);

    /** When the next callback is due, or nothing without subscriptions. */
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
