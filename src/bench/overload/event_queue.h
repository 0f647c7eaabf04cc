#ifndef RAGWORTPIN_BENCH_OVERLOAD_EVENT_QUEUE_H
#define RAGWORTPIN_BENCH_OVERLOAD_EVENT_QUEUE_H

#include "ragwortpin/core/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace ragwortpin::bench {

/** Event queue in virtual time. Events due at the same time run in the order in which they were scheduled. */
class event_queue
{
public:
    /** Schedules an action to run after a delay. */
    void after(duration delay, std::function<void()> action)
    {
        m_events.push_back(event{m_now + delay, m_sequence++, std::move(action)});
        std::push_heap(m_events.begin(), m_events.end());
    }

    /** Runs all events due up to and including `end`, then sets the virtual time to `end`. */
    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.front().at <= end) {
            std::pop_heap(m_events.begin(), m_events.end());
            const event next{std::move(m_events.back())};
            m_events.pop_back();
            m_now = next.at;
            next.action();
        }
        m_now = end;
    }

    /** Returns the current virtual time. */
    [[nodiscard]] time_point now() const noexcept
    {
        return m_now;
    }

private:
    struct event
    {
        time_point at{};
        std::uint64_t sequence{0};
        std::function<void()> action;

        [[nodiscard]] bool operator<(const event &other) const noexcept
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    time_point m_now{};
    std::uint64_t m_sequence{0};
    std::vector<event> m_events;
};

} // namespace ragwortpin::bench

#endif
