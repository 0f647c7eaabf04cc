#include "bench/fleet/event_queue.h"

#include <algorithm>
#include <utility>

namespace ragwortpin::fleet_bench {

void event_queue::add(time_point when, std::function<void()> action)
{
    m_heap.push_back({std::max(when, m_now), ++m_lastOrder, std::move(action)});
    std::push_heap(m_heap.begin(), m_heap.end(), isLater);
}

void event_queue::runUntil(time_point end)
{
    while (!m_heap.empty() && m_heap.front().when <= end) {
        std::pop_heap(m_heap.begin(), m_heap.end(), isLater);
        const auto next = std::move(m_heap.back());
        m_heap.pop_back();
        m_now = next.when;
        next.action();
    }
    m_now = std::max(m_now, end);
}

bool event_queue::isLater(const event &left, const event &right) noexcept
{
    return left.when != right.when ? left.when > right.when : left.order > right.order;
}

} // namespace ragwortpin::fleet_bench
