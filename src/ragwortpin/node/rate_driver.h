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

/** Functions through which the rate limiter sends. They must not block; messages and calls that cannot be sent are dropped. */
struct rate_driver_outputs
{
    std::function<void(const instance_record &to, std::string payload)> sendMessage;
    std::function<void(rights_store_call)> callStore;
};

/**
 * Runs the workspace rate limiter on the data thread: passes messages, store replies and ticks to it, and makes requests wait for
 * tokens.
 */
class rate_driver
{
public:
    rate_driver(boost::asio::io_context &context,
                const rights_settings &settings,
                const rights_identity &self,
                rate_driver_outputs outputs,
                metrics_registry &metrics);

    /** Applies a configuration. */
    void updateConfiguration(std::shared_ptr<const configuration> value);

    /** Applies a membership snapshot. */
    void updateMembers(std::shared_ptr<const membership_view> view);

    /** Handles the payload of a Loans datagram whose signature was verified. Messages that name another sender are counted as malformed. */
    void receive(std::string_view sender, std::string_view payload);

    /** Handles the reply to a store call. */
    void receiveReply(std::uint64_t token, const store_reply &reply);

    /** Advances the rate limiter. Has to be called every TickInterval. */
    void tick();

    /** Begins to release all slots and loans that this node holds. */
    void startRelease();

    /** Returns whether everything has been released. */
    [[nodiscard]] bool isReleased() const;

    /** Takes one token of a workspace. Waits for a short time if none is available. */
    [[nodiscard]] boost::asio::awaitable<rate_limit_result> take(std::string workspace, std::shared_ptr<call_control> control);

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
