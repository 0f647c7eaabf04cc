#ifndef RAGWORTPIN_NODE_FLEET_DRIVER_H
#define RAGWORTPIN_NODE_FLEET_DRIVER_H

#include "ragwortpin/callers/caller_gateway.h"
#include "ragwortpin/digest/digest.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/overload/repeats.h"
#include "ragwortpin/rates/room_loan.h"
#include "ragwortpin/rates/shared_rates.h"
#include "ragwortpin/runtime/async_signal.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/targets/target_gateway.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace ragwortpin {

/** Sends a datagram to the node of an instance; it may be lost. */
using peer_sender = std::function<void(const instance_record &to, std::string payload)>;

/** Ways of a fleet driver to its peers. */
struct fleet_outputs
{
    peer_sender sendDigest;
    peer_sender sendLoan;
};

/**
 * What a node tells the fleet and hears from it several times a second, and the workspace rates that follow from it. Data thread
 * only.
 */
class fleet_driver
{
public:
    fleet_driver(boost::asio::io_context &context, const node_settings &settings, fleet_outputs outputs, metrics_registry &metrics);

    /** Puts a configuration in force. */
    void updateConfiguration(std::shared_ptr<const configuration_index> index);

    /** Decides at the first hop whether a request may pass, by what the services behind it can do. */
    [[nodiscard]] bool admit(std::string_view route, unsigned rank);

    /** Takes over a membership snapshot. */
    void updateMembers(std::shared_ptr<const membership_view> view);

    /** Handles the payload of a digest datagram whose signature was checked. */
    void receive(std::string_view sender, std::string_view payload);

    /** Handles the payload of a loan datagram whose signature was checked. */
    void receiveLoan(std::string_view sender, std::string_view payload);

    /** Makes one round; to be called every roundInterval(). */
    void tick(target_gateway &target);

    /** Takes one token of a workspace; asks a peer for room and waits for the next round where that may help. */
    [[nodiscard]] boost::asio::awaitable<rate_answer> take(std::string workspace, std::shared_ptr<call_control> control);

    /** Takes what sending a request again costs from the fleet's budgets, at every service that it and its calls arrive at. */
    [[nodiscard]] boost::asio::awaitable<bool> takeRepeat(repeat_request request, std::shared_ptr<call_control> control);

    /** What the plan says of a route and rank, in words for a log line. */
    [[nodiscard]] std::string describePlan(std::string_view route, unsigned rank) const;

    /** Gives the token of a request back that was refused for another reason. */
    void giveBack(std::string_view workspace)
    {
        returnToken(m_rates, workspace);
    }

    [[nodiscard]] duration roundInterval() const noexcept
    {
        return m_digests.options.interval;
    }

private:
    /** Requests of one route and rank that arrived at this node. */
    struct arrivals
    {
        std::uint32_t count{0};
        double perSecond{0.0};
    };

    /** Asks a peer, one of the own availability zone if there is any. Returns whether an answer may come. */
    bool askPeerForRoom(std::uint32_t workspace);
    [[nodiscard]] node_digest ownDigest(target_gateway &target);
    [[nodiscard]] std::string describeRate(std::string_view workspace) const;
    void smoothDemands(double elapsed);
    void plan(const node_digest &own);
    void logPlan(const admission_plan &before, const load_picture &picture) const;

    async_signal m_changed;
    digest_state m_digests;
    shared_rates m_rates;
    std::shared_ptr<const configuration_index> m_index;
    std::map<admission_plan::key, arrivals> m_arrivals;
    plan_state m_plan;
    load_picture m_picture;
    repeat_limits m_repeatLimits;
    time_point m_lastTick{};
    fleet_outputs m_outputs;
    std::shared_ptr<const membership_view> m_members;
    room_questions m_questions;
    std::minstd_rand m_random;
    std::uint64_t m_rounds{0};
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence{0};
    counter &m_malformed;
    counter &m_shed;
    counter &m_waited;
    counter &m_repeatsGranted;
    counter &m_repeatsRefused;
    counter &m_roomAsked;
    counter &m_roomBorrowed;
};

} // namespace ragwortpin

#endif
