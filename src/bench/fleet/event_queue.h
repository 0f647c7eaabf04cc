#ifndef RAGWORTPIN_BENCH_FLEET_EVENT_QUEUE_H
#define RAGWORTPIN_BENCH_FLEET_EVENT_QUEUE_H

#include "ragwortpin/core/time.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace ragwortpin::fleet_bench {

/** Queue of actions ordered by virtual time. Actions due at the same time run in the order in which they were added. */
class event_queue
{
public:
    [[nodiscard]] time_point now() const noexcept
    {
        return m_now;
    }

    /** Adds an action. A time in the past counts as the current time. */
    void add(time_point when, std::function<void()> action);

    /** Runs all actions due up to and including the given time and advances the current time to it. */
    void runUntil(time_point end);

private:
    struct event
    {
        time_point when;
        std::uint64_t order{0};
        std::function<void()> action;
    };

    /** Returns whether the left event is due after the right one. As a heap comparison it puts the next event on top. */
    [[nodiscard]] static bool isLater(const event &left, const event &right) noexcept;

    time_point m_now{};
    std::uint64_t m_lastOrder{0};
    std::vector<event> m_heap;
};

} // namespace ragwortpin::fleet_bench

#endif
