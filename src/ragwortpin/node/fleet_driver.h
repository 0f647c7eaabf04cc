#ifndef RAGWORTPIN_NODE_FLEET_DRIVER_H
#define RAGWORTPIN_NODE_FLEET_DRIVER_H

#include "ragwortpin/callers/caller_gateway.h"
#include "ragwortpin/digest/digest.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/overload/repeats.h"
#include "ragwortpin/rates/headroom_loan.h"
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

/** Sends a datagram to the node of an instance. Delivery is not guaranteed. */
using peer_sender = std::function<void(const instance_record &to, std::string payload)>;

/** Sends each of several datagrams to each of several nodes. Delivery is not guaranteed. */
using digest_sender = std::function<void(digest_output output)>;

/** Functions through which a fleet driver sends datagrams to its peers. */
struct fleet_driver_outputs
{
    digest_sender sendDigests;
    peer_sender sendLoan;
};

/**
 * Exchanges load digests with the other nodes several times a second. Derives from them the fleet-wide workspace rates, the
 * admission plan of the first hop and the budgets for repeated requests. Data thread only.
 *
 * A repeat is a retry of a request that may already have reached a target. Headroom is a number of requests that a node may admit
 * beyond its own part of a rate because a peer lent them.
 */
class fleet_driver
{
public:
    fleet_driver(boost::asio::io_context &context, const node_settings &settings, fleet_driver_outputs outputs, metrics_registry &metrics);

    /** Applies a configuration. */
    void updateConfiguration(std::shared_ptr<const configuration_index> index);

    /** Returns whether the admission plan lets a request of the route and rank pass the first hop, and counts its arrival. */
    [[nodiscard]] bool admit(std::string_view route, unsigned rank);

    /** Applies a membership snapshot. */
    void updateMembers(std::shared_ptr<const membership_view> view);

    /** Handles the payload of a Digest datagram whose signature was verified. */
    void receive(std::string_view sender, std::string_view payload);

    /** Handles the payload of a Loans datagram whose signature was verified. */
    void receiveLoan(std::string_view sender, std::string_view payload);

    /** Updates the workspace rates and the admission plan and sends digests to peers. Has to be called every tickInterval(). */
    void tick(target_gateway &target);

    /**
     * Takes one token of a workspace. If none is available, requests headroom from a peer or waits for the next tick, provided that
     * this may yield a token.
     */
    [[nodiscard]] boost::asio::awaitable<rate_limit_result> take(std::string workspace, std::shared_ptr<call_control> control);

    /**
     * Charges a repeat to the fleet's budgets of all services that the request and the calls behind it arrive at. Returns false,
     * with nothing charged, if a budget lacks tokens or the costs are not known.
     */
    [[nodiscard]] boost::asio::awaitable<bool> tryChargeRepeat(repeat_request request, std::shared_ptr<call_control> control);

    /** Describes what the admission plan decides for a route and rank, for a log line. */
    [[nodiscard]] std::string describePlan(std::string_view route, unsigned rank) const;

    /** Returns the token of a request that was admitted by its rate and then refused for another reason. */
    void refundToken(std::string_view workspace)
    {
        returnToken(m_rates, workspace);
    }

    [[nodiscard]] duration tickInterval() const noexcept
    {
        return m_digests.options.interval;
    }

private:
    /** Arrivals of one route and rank at this node: the count since the last tick and the smoothed rate. */
    struct arrival_rate
    {
        std::uint32_t count{0};
        double requestsPerSecond{0.0};
    };

    /**
     * Requests headroom for a workspace from a random peer, of the own availability zone if it is preferred and has any. Returns whether a
     * request was sent.
     */
    bool requestHeadroomFromPeer(std::uint32_t workspace, bool prefersOwnZone);
    [[nodiscard]] node_digest ownDigest(target_gateway &target);
    [[nodiscard]] std::string describeRate(std::string_view workspace) const;
    void smoothDemands(double elapsed);
    void updateAdmissionPlan(const node_digest &own);
    void logPlan(const admission_plan &before, const fleet_load &fleetLoad) const;

    async_signal m_changed;
    digest_state m_digests;
    shared_rates m_rates;
    std::shared_ptr<const configuration_index> m_index;
    std::map<admission_plan::key, arrival_rate> m_arrivals;
    plan_state m_plan;
    fleet_load m_fleetLoad;
    /** Profiles of the own target, also in the rounds whose digest has none. */
    std::vector<route_profile> m_ownProfiles;
    repeat_limits m_repeatLimits;
    time_point m_lastTick{};
    fleet_driver_outputs m_outputs;
    std::shared_ptr<const membership_view> m_members;
    pending_headroom_requests m_pendingHeadroomRequests;
    std::minstd_rand m_random;
    std::uint64_t m_tickCount{0};
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence{0};
    counter &m_malformed;
    counter &m_shedByPlan;
    counter &m_rateWaits;
    counter &m_repeatsGranted;
    counter &m_repeatsRefused;
    counter &m_headroomRequests;
    counter &m_headroomBorrowed;
};

} // namespace ragwortpin

#endif
