#ifndef RAGWORTPIN_NODE_STORE_DUTY_H
#define RAGWORTPIN_NODE_STORE_DUTY_H

#include "ragwortpin/discovery/discovery.h"
#include "ragwortpin/node/events.h"
#include "ragwortpin/runtime/mailbox.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/spread/state.h"
#include "ragwortpin/store/store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <random>
#include <thread>

namespace ragwortpin {

/** Asks for the store's head, and its content if its revision is higher. */
struct read_head_event
{
    std::uint64_t revisionInForce{0};
};

/** Where the duty's answers go; called on its thread. */
struct store_duty_outputs
{
    std::function<void(head_reply)> headRead;
    std::function<void(rate_reply_event)> rateReply;
    /** Told of each step of discovery. */
    std::function<void(const discovery_result &)> discovered;
};

/** Reads the newest configuration, with its content if it is newer than the given revision. Called on the duty's thread only. */
using head_reader = std::function<head_reply(const store_call &, std::uint64_t revisionInForce)>;

/** What the duty does besides the calls of others. */
struct store_duty_settings
{
    /** An empty prefix turns discovery off. */
    discovery_settings discovery;
    /** Time from one step of discovery to the next at first, and once it succeeded some times. */
    duration firstDiscovery{milliseconds{700}};
    duration laterDiscovery{seconds{20}};
    std::uint64_t randomSeed{0};
};

/** Reads the head of the configurations, and its content if it is newer than the given revision. */
[[nodiscard]] head_reply readHead(const store_call &call, std::uint64_t revisionInForce);

/** Thread that makes the blocking store calls of the spread of configurations and of the workspace rates. */
class store_duty
{
public:
    store_duty(store_call call, head_reader reader, store_duty_settings settings, store_duty_outputs outputs, metrics_registry &metrics);
    store_duty(const store_duty &) = delete;
    store_duty &operator=(const store_duty &) = delete;
    ~store_duty();

    void start();

    /** Ends the thread after the call under way. */
    void stop();

    /** Store revision of the last answer; 0 before the first. Any thread. */
    [[nodiscard]] std::int64_t lastRevision() const noexcept
    {
        return m_lastRevision.load();
    }

private:
    void scheduleDiscovery(duration delay);
    void stepDiscovery();

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_discoveryTimer;
    store_call m_call;
    head_reader m_reader;
    store_duty_settings m_settings;
    std::mt19937_64 m_random;
    unsigned m_discoveries{0};
    std::atomic<std::int64_t> m_lastRevision{0};
    store_duty_outputs m_outputs;
    counter &m_calls;
    counter &m_failures;
    std::thread m_thread;

public:
    /** Mailboxes to the duty; one producer thread each. */
    mailbox<read_head_event> fromControl;
    mailbox<rights_store_call> fromData;
};

} // namespace ragwortpin

#endif
