#ifndef RAGWORTPIN_NODE_RATE_DRIVER_H
#define RAGWORTPIN_NODE_RATE_DRIVER_H

#include "ragwortpin/callers/caller_gateway.h"
#include "ragwortpin/rights/rights.h"
#include "ragwortpin/runtime/async_signal.h"
#include "ragwortpin/runtime/metrics.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ragwortpin {

/** What the rate limiter sends through. Neither may block; a message or call that cannot be sent is lost. */
struct rate_driver_outputs
{
    std::function<void(const instance_record &to, std::string payload)> sendMessage;
    std::function<void(rights_store_call)> callStore;
};

/** Runs the workspace rate limiter on the data thread: feeds it messages, replies and time, and lets requests wait for tokens. */
class rate_driver
{
public:
    rate_driver(boost::asio::io_context &context,
                const rights_settings &settings,
                const rights_identity &self,
                rate_driver_outputs outputs,
                metrics_registry &metrics);

    /** Puts a configuration in force. */
    void updateConfiguration(std::shared_ptr<const configuration> value);

    /** Takes over a membership snapshot. */
    void updateMembers(std::shared_ptr<const membership_view> view);

    /** Handles the payload of a loans datagram whose signature was checked. The sender must be who the message says. */
    void receive(std::string_view sender, std::string_view payload);

    /** Handles the reply to a store call. */
    void receiveReply(std::uint64_t token, const store_reply &reply);

    /** To be called every TickInterval. */
    void tick();

    /** Begins to give back everything that this node holds. */
    void leave();

    /** Whether everything was given back. */
    [[nodiscard]] bool left() const;

    /** Takes one token of a workspace; waits a short time for it. */
    [[nodiscard]] boost::asio::awaitable<rate_answer> take(std::string workspace, std::shared_ptr<call_control> control);

    static constexpr milliseconds TickInterval{20};

private:
    void flush();

    async_signal m_changed;
    rights_state m_state;
    rate_driver_outputs m_outputs;
    std::shared_ptr<const membership_view> m_members;
    counter &m_malformed;
};

} // namespace ragwortpin

#endif
