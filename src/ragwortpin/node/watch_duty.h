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

/** Settings of the watch for configuration changes. */
struct watch_settings
{
    /** Prefix of the configuration keys. */
    std::string prefix;
    /** Longest time that one watch call blocks. */
    milliseconds maxWait{seconds{20}};
    /** Delay before the next call after a failure, or before checking again while this node does not watch. */
    duration retryDelay{milliseconds{500}};
};

/** Functions of the node that the watch uses. Called on the watch thread. */
struct watch_outputs
{
    /** Returns the store revision of the last read of the head; 0 before the first. Later changes are those to wait for. */
    std::function<std::int64_t()> lastKnownRevision;
    /** Returns whether this node has to watch now. Only a few nodes of each availability zone do. */
    std::function<bool()> isWatcher;
    /** Called after a change, and after a failed call, which may have missed a change. */
    std::function<void()> handleChange;
};

/**
 * Worker thread that watches the store for configuration changes. A notification is only a hint to read the head revision
 * immediately. The absence of notifications does not mean that nothing changed.
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
     * Stops the watch without waiting for a call in progress, so that the call does not delay the end of the process. None of the
     * outputs is called afterwards.
     */
    void stop();

private:
    struct shared_state;

    /** Shared with the detached thread, which may outlive this object until its call in progress ends. */
    std::shared_ptr<shared_state> m_state;
};

} // namespace ragwortpin

#endif
