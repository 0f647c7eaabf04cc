#ifndef RAGWORTPIN_NODE_FLEET_DRIVER_H
#define RAGWORTPIN_NODE_FLEET_DRIVER_H

#include "ragwortpin/callers/caller_gateway.h"
#include "ragwortpin/digest/digest.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/rates/shared_rates.h"
#include "ragwortpin/runtime/async_signal.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/targets/target_gateway.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ragwortpin {

/** Sends a datagram to the node of an instance; it may be lost. */
using digest_sender = std::function<void(const instance_record &to, std::string payload)>;

/**
 * What a node tells the fleet and hears from it several times a second, and the workspace rates that follow from it. Data thread
 * only.
 */
class fleet_driver
{
public:
    fleet_driver(boost::asio::io_context &context, const node_settings &settings, digest_sender send, metrics_registry &metrics);

    /** Puts a configuration in force. */
    void updateConfiguration(const configuration &value);

    /** Takes over a membership snapshot. */
    void updateMembers(std::shared_ptr<const membership_view> view);

    /** Handles the payload of a digest datagram whose signature was checked. */
    void receive(std::string_view sender, std::string_view payload);

    /** Makes one round; to be called every roundInterval(). */
    void tick(const target_gateway &target);

    /** Takes one token of a workspace; waits for the next round where that may help. */
    [[nodiscard]] boost::asio::awaitable<rate_answer> take(std::string workspace, std::shared_ptr<call_control> control);

    [[nodiscard]] duration roundInterval() const noexcept
    {
        return m_digests.options.interval;
    }

private:
    [[nodiscard]] node_digest ownDigest(const target_gateway &target);

    async_signal m_ticked;
    digest_state m_digests;
    shared_rates m_rates;
    digest_sender m_send;
    std::shared_ptr<const membership_view> m_members;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence{0};
    counter &m_malformed;
    counter &m_waited;
};

} // namespace ragwortpin

#endif
