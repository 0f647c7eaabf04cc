#include "ragwortpin/node/memory_watch.h"

#include "ragwortpin/runtime/logging.h"

#include <string>
#include <utility>

namespace ragwortpin {

memory_watch::memory_watch(metrics_registry &metrics)
    : m_denied{metrics.counterFor("ragwortpin_message_memory_denied_total")}
    , m_evicted{metrics.counterFor("ragwortpin_message_memory_evicted_total")}
{
    metrics.gauge("ragwortpin_message_memory_bytes", [this] {
        return static_cast<double>(m_reserved.load());
    });
}

void memory_watch::observe(const memory_budget &budget, std::uint64_t evictions, time_point now)
{
    m_reserved.store(budget.usage().reserved);
    m_denied.add(budget.denied() - std::exchange(m_deniedBefore, budget.denied()));
    m_evicted.add(evictions - std::exchange(m_evictedBefore, evictions));
    if (budget.isShort(now) == m_isShort) {
        return;
    }
    m_isShort = !m_isShort;
    logEvent(m_isShort ? log_level::Warning : log_level::Info,
             m_isShort ? "message_memory_short" : "message_memory_recovered",
             {{"reserved_bytes", std::to_string(budget.usage().reserved)},
              {"limit_bytes", std::to_string(budget.usage().limit)},
              {"denied", std::to_string(budget.denied())},
              {"evicted", std::to_string(evictions)}});
}

} // namespace ragwortpin
