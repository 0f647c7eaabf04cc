#include "ragwortpin/node/watch_duty.h"

#include "ragwortpin/runtime/guard.h"
#include "ragwortpin/runtime/logging.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace ragwortpin {

/** State shared between a watch_duty and its detached thread. */
struct watch_duty::shared_state
{
    store_call call;
    watch_settings settings;
    watch_outputs outputs;
    counter &calls;
    counter &failures;
    std::int64_t afterRevision{0};
    /** Era of the store in the last reply; 0 before the first one. */
    std::uint64_t era{0};
    std::mutex mutex{};
    std::condition_variable stopped{};
    bool isStopping{false};
    /** The members below are used on the watch thread only. */
    bool isWatching{false};
    /** Time of the first of the failed calls; empty while calls succeed. */
    std::optional<time_point> failingSince{};
    unsigned failuresInRow{0};

    void run()
    {
        while (waitUnlessStopped(duration::zero())) {
            if (!prepareWatch()) {
                static_cast<void>(waitUnlessStopped(settings.retryDelay));
                continue;
            }
            bool isWatched{false};
            runGuarded("watch", [this, &isWatched] {
                isWatched = watchOnce();
            });
            if (!isWatched) {
                static_cast<void>(waitUnlessStopped(settings.retryDelay));
            }
        }
    }

    /** Determines the revision to watch from. Returns false if this node need not watch now or no revision is known. */
    bool prepareWatch()
    {
        const std::lock_guard lock{mutex};
        if (isStopping) {
            return false;
        }
        const bool isWatcher{outputs.isWatcher()};
        if (!isWatcher) {
            logWatching(false);
            return false;
        }
        afterRevision = afterRevision > 0 ? afterRevision : outputs.lastKnownRevision();
        if (afterRevision > 0) {
            logWatching(true);
        }
        return afterRevision > 0;
    }

    /** Logs whether this node watches the store, if that has changed. */
    void logWatching(bool isWatchingNow)
    {
        if (std::exchange(isWatching, isWatchingNow) != isWatchingNow) {
            logEvent(log_level::Info, isWatchingNow ? "watch_started" : "watch_ended", {{"after_revision", std::to_string(afterRevision)}});
        }
    }

    /** Logs the first failed call, and the first one that succeeds again. */
    void logResult(std::error_code error, time_point calledAt)
    {
        const auto now = monotonicNow();
        if (error && !failingSince) {
            logEvent(log_level::Warning, "watch_failing", {{"error", error.message()}, {"waited_ms", toMilliseconds(now - calledAt)}});
            failingSince = now;
        } else if (!error && failingSince) {
            logEvent(log_level::Info,
                     "watch_recovered",
                     {{"failed_for_ms", toMilliseconds(now - *failingSince)}, {"failures", std::to_string(failuresInRow)}});
            failingSince.reset();
        }
        failuresInRow = error ? failuresInRow + 1 : 0;
    }

    /** Makes one watch call. Returns false if the call failed or the watch was stopped. */
    bool watchOnce()
    {
        const auto calledAt = monotonicNow();
        const auto reply = call(store_watch{settings.prefix, afterRevision, settings.maxWait});
        const std::lock_guard lock{mutex};
        if (isStopping) {
            return false;
        }
        calls.add();
        logResult(reply.error, calledAt);
        // Changes of another era may have had revisions at or below the one that was watched from.
        const bool isSameEra{reply.era == era};
        if (reply.error) {
            failures.add();
            afterRevision = 0;
        } else {
            afterRevision = isSameEra ? std::max(afterRevision, reply.revision) : reply.revision;
            era = reply.era;
        }
        if (reply.error || reply.succeeded || !isSameEra) {
            outputs.handleChange();
        }
        return !reply.error;
    }

    /** Waits for the period or until the watch is stopped. Returns false if it was stopped. */
    bool waitUnlessStopped(duration period)
    {
        std::unique_lock lock{mutex};
        stopped.wait_for(lock, period, [this] {
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
