#ifndef RAGWORTPIN_NODE_HEAD_DUTY_H
#define RAGWORTPIN_NODE_HEAD_DUTY_H

#include "ragwortpin/runtime/mailbox.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/spread/state.h"
#include "ragwortpin/store/store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>

namespace ragwortpin {

/** Requests a read of the newest revision in the store, and of its content if it is newer than the revision in force. */
struct read_head_request
{
    std::uint64_t revisionInForce{0};
};

/**
 * Reads the newest configuration revision, and its content if it is newer than the given revision. Called on the thread of
 * head_duty only.
 */
using head_reader = std::function<head_reply(const store_call &, std::uint64_t revisionInForce)>;

/** Default head_reader: reads the published head revision, and its content if it is newer than the given revision. */
[[nodiscard]] head_reply readHead(const store_call &call, std::uint64_t revisionInForce);

/** Worker thread that reads the newest configuration from the store, so that no other store call delays it. */
class head_duty
{
public:
    /** @param reply called on the worker's thread with the result of each read, and again with the same one while it returns false */
    head_duty(store_call call, head_reader reader, std::function<bool(const head_reply &)> reply, metrics_registry &metrics);
    head_duty(const head_duty &) = delete;
    head_duty &operator=(const head_duty &) = delete;
    ~head_duty();

    void start();

    /** Waits for the store call in progress, then ends the thread. Pending requests and a reply that was not accepted are discarded. */
    void stop();

    /** Returns the store revision of the last successful reply; 0 before the first. May be called from any thread. */
    [[nodiscard]] std::int64_t lastRevision() const noexcept
    {
        return m_lastRevision.load();
    }

private:
    void read(const read_head_request &request);
    void deliver(const head_reply &reply);

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    store_call m_call;
    head_reader m_reader;
    std::function<bool(const head_reply &)> m_reply;
    std::atomic<std::int64_t> m_lastRevision{0};
    counter &m_calls;
    counter &m_failures;
    std::thread m_thread;

public:
    /** Requests from the control thread. */
    mailbox<read_head_request> fromControl;
};

} // namespace ragwortpin

#endif
