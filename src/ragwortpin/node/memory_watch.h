#ifndef RAGWORTPIN_NODE_MEMORY_WATCH_H
#define RAGWORTPIN_NODE_MEMORY_WATCH_H

#include "ragwortpin/memory/budget.h"
#include "ragwortpin/runtime/metrics.h"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace ragwortpin {

/** Exports the memory that messages use, and logs when it begins and ceases to be short. */
class memory_watch
{
public:
    explicit memory_watch(metrics_registry &metrics);

    /** Records the state of the budget. To be called several times a second, with the number of transfers ended since the start. */
    void observe(const memory_budget &budget, std::uint64_t evictions, time_point now);

private:
    std::atomic<std::size_t> m_reserved{0};
    counter &m_denied;
    counter &m_evicted;
    std::uint64_t m_deniedBefore{0};
    std::uint64_t m_evictedBefore{0};
    bool m_isShort{false};
};

} // namespace ragwortpin

#endif
