#include "ragwortpin/node/watch_duty.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace ragwortpin {

/** What the thread works with. */
struct watch_duty::shared_state
{
    store_call call;
    watch_settings settings;
    watch_outputs outputs;
    counter &calls;
    counter &failures;
    std::int64_t after{0};
    std::mutex mutex{};
    std::condition_variable stopped{};
    bool isStopping{false};

    void run()
    {
        while (pause(duration::zero())) {
            if (!prepare()) {
                static_cast<void>(pause(settings.pause));
                continue;
            }
            if (!step()) {
                static_cast<void>(pause(settings.pause));
            }
        }
    }

    /** Finds out where to watch from; false when there is nothing to do now. */
    bool prepare()
    {
        const std::lock_guard lock{mutex};
        if (isStopping || !outputs.isWatcher()) {
            return false;
        }
        after = after > 0 ? after : outputs.knownRevision();
        return after > 0;
    }

    /** Makes one call; false when it failed. */
    bool step()
    {
        const auto reply = call(store_watch{settings.prefix, after, settings.wait});
        const std::lock_guard lock{mutex};
        if (isStopping) {
            return false;
        }
        calls.add();
        if (reply.error) {
            failures.add();
            after = 0;
        } else {
            after = std::max(after, reply.revision);
        }
        if (reply.error || reply.succeeded) {
            outputs.changed();
        }
        return !reply.error;
    }

    /** Waits; false when the thread has to end. */
    bool pause(duration span)
    {
        std::unique_lock lock{mutex};
        stopped.wait_for(lock, span, [this] {
            return isStopping;
        });
        return !isStopping;
    }
};

watch_duty::watch_duty(store_call call, watch_settings settings, watch_outputs outputs, metrics_registry &metrics)
    : m_state{new shared_state{.call = std::move(call),
                               .settings = std::move(settings),
                               .outputs = std::move(outputs),
                               .calls = metrics.counterFor("ragwortpin_store_watches_total"),
                               .failures = metrics.counterFor("ragwortpin_store_watch_failures_total")}}
{ }

watch_duty::~watch_duty()
{
    stop();
}

void watch_duty::start()
{
    std::thread{[state = m_state] {
        state->run();
    }}.detach();
}

void watch_duty::stop()
{
    {
        const std::lock_guard lock{m_state->mutex};
        m_state->isStopping = true;
    }
    m_state->stopped.notify_all();
}

} // namespace ragwortpin
