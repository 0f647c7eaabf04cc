#ifndef RAGWORTPIN_BENCH_FLEET_EVENT_QUEUE_H
#define RAGWORTPIN_BENCH_FLEET_EVENT_QUEUE_H

#include "ragwortpin/core/time.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace ragwortpin::fleet_bench {

/** Actions in order of virtual time; those of the same instant in the order in which they were added. */
class event_queue
{
public:
    [[nodiscard]] time_point now() const noexcept
    {
        return m_now;
    }

    /** Adds an action; one of the past runs next. */
    void add(time_point when, std::function<void()> action);

    /** Runs all actions up to an instant, which becomes the present. */
    void runUntil(time_point end);

private:
    struct event
    {
        time_point when;
        std::uint64_t order{0};
        std::function<void()> action;
    };

    /** Whether an event is due after another; orders a heap with the next event on top. */
    [[nodiscard]] static bool isLater(const event &left, const event &right) noexcept;

    time_point m_now{};
    std::uint64_t m_lastOrder{0};
    std::vector<event> m_heap;
};

} // namespace ragwortpin::fleet_bench

#endif
