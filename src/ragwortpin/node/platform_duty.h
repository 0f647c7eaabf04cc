#ifndef RAGWORTPIN_NODE_PLATFORM_DUTY_H
#define RAGWORTPIN_NODE_PLATFORM_DUTY_H

#include "ragwortpin/node/events.h"
#include "ragwortpin/platform/store.h"
#include "ragwortpin/runtime/mailbox.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/spread/state.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <thread>

namespace ragwortpin {

/** Asks for the store's head, and its content if its revision is higher. */
struct read_head_event
{
    std::uint64_t revisionInForce{0};
};

/** Where the duty's answers go; called on its thread. */
struct platform_duty_outputs
{
    std::function<void(head_reply)> headRead;
    std::function<void(rate_reply_event)> rateReply;
};

/** Reads the head of the configurations, and its content if it is newer than the given revision. */
[[nodiscard]] head_reply readHead(const store_call &call, std::uint64_t revisionInForce);

/** Thread that makes the blocking store calls of the spread of configurations and of the workspace rates. */
class platform_duty
{
public:
    platform_duty(store_call call, platform_duty_outputs outputs, metrics_registry &metrics);
    platform_duty(const platform_duty &) = delete;
    platform_duty &operator=(const platform_duty &) = delete;
    ~platform_duty();

    void start();

    /** Ends the thread after the call under way. */
    void stop();

private:
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    store_call m_call;
    platform_duty_outputs m_outputs;
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
