#include "ragwortpin/runtime/timer_service.h"

namespace ragwortpin {

timer_id timer_service::subscribe(time_point start, duration period, callback function)
{
    return add(start + period, period, std::move(function));
}

timer_id timer_service::subscribeOnce(time_point due, callback function)
{
    return add(due, duration::zero(), std::move(function));
}

void timer_service::unsubscribe(timer_id id)
{
    const auto due = m_dueTimes.find(id);
    if (due == m_dueTimes.end()) {
        return;
    }
    m_subscriptions.erase({due->second, id});
    m_dueTimes.erase(due);
}

void timer_service::advance(time_point now)
{
    while (!m_subscriptions.empty() && m_subscriptions.begin()->first.first <= now) {
        auto node = m_subscriptions.extract(m_subscriptions.begin());
        const auto id = node.key().second;
        const auto function = node.mapped().function;
        if (node.mapped().period > duration::zero()) {
            const auto due = now + node.mapped().period;
            node.key() = {due, id};
            m_dueTimes[id] = due;
            m_subscriptions.insert(std::move(node));
        } else {
            m_dueTimes.erase(id);
        }
        function(now);
    }
}

std::optional<time_point> timer_service::nextDue() const
{
    if (m_subscriptions.empty()) {
        return std::nullopt;
    }
    return m_subscriptions.begin()->first.first;
}

timer_id timer_service::add(time_point due, duration period, callback function)
{
    const timer_id id{++m_lastId};
    m_subscriptions.emplace(due_key{due, id}, subscription{period, std::move(function)});
    m_dueTimes.emplace(id, due);
    return id;
}

} // namespace ragwortpin
