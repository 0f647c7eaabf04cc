#ifndef RAGWORTPIN_NODE_WATCH_DUTY_H
#define RAGWORTPIN_NODE_WATCH_DUTY_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/store/store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ragwortpin {

/** Settings of the watch for changes of the configuration. */
struct watch_settings
{
    /** Prefix of the configuration's keys. */
    std::string prefix;
    /** Longest wait of one call. */
    milliseconds wait{seconds{20}};
    /** Pause after a failed call. */
    duration pause{milliseconds{500}};
};

/** What the watch uses of the rest of the node. */
struct watch_outputs
{
    /** Revision of the store that was seen last by another call; 0 before the first. */
    std::function<std::int64_t()> knownRevision;
    /** Whether this node has to watch now; nodes of large zones leave it to a few. */
    std::function<bool()> isWatcher;
    /** Called when something changed or may have. */
    std::function<void()> changed;
};

/**
 * Thread that waits at the store for changes of the configuration. What it sees is a hint to read the head at once; nothing is
 * concluded from its silence.
 */
class watch_duty
{
public:
    watch_duty(store_call call, watch_settings settings, watch_outputs outputs, metrics_registry &metrics);
    watch_duty(const watch_duty &) = delete;
    watch_duty &operator=(const watch_duty &) = delete;
    ~watch_duty();

    void start();

    /**
     * Ends the thread. A call under way is left to end by itself, so that it does not hold up the end of the process; none of
     * the outputs is called afterwards.
     */
    void stop();

private:
    struct shared_state;

    /** Outlives the duty until the call under way ends. */
    std::shared_ptr<shared_state> m_state;
};

} // namespace ragwortpin

#endif
