#ifndef RAGWORTPIN_NODE_DATA_PLANE_H
#define RAGWORTPIN_NODE_DATA_PLANE_H

#include "ragwortpin/callers/caller_gateway.h"
#include "ragwortpin/config/lookup.h"
#include "ragwortpin/dispatch/dispatcher.h"
#include "ragwortpin/http/client_pool.h"
#include "ragwortpin/http/server.h"
#include "ragwortpin/membership/view.h"
#include "ragwortpin/node/events.h"
#include "ragwortpin/node/fleet_driver.h"
#include "ragwortpin/node/memory_watch.h"
#include "ragwortpin/node/once_gateway.h"
#include "ragwortpin/node/rate_driver.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/node/shutdown.h"
#include "ragwortpin/peers/control_rpc_jsonrpc.h"
#include "ragwortpin/peers/datagram.h"
#include "ragwortpin/peers/forward_gateway.h"
#include "ragwortpin/runtime/loop_meter.h"
#include "ragwortpin/runtime/loop_probe.h"
#include "ragwortpin/runtime/mailbox.h"
#include "ragwortpin/runtime/timer_service.h"
#include "ragwortpin/targets/egress_gateway.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <system_error>

namespace ragwortpin {

/** Functions of the other threads that the data plane uses. Each is called on the data thread and does not block. */
struct data_plane_services
{
    /** Announces the node's own membership record. Returns false if the caller has to retry. */
    std::function<bool(const instance_record &)> announceOwnRecord;
    rate_driver_outputs rates;
    /** Returns the newest membership snapshot; never null. */
    std::function<std::shared_ptr<const membership_view>()> membership;
    /**
     * Stores departures of the target. Returns false, and leaves the argument as it is, if the caller has to retry. Empty if departures
     * are not stored.
     */
    std::function<bool(departure_update &)> storeDepartures{};
    /** Returns whether departures that were passed to storeDepartures are not stored yet. Set if that is. */
    std::function<bool()> hasUnstoredDepartures{};
    digest_sender sendDigests;
    claim_sender claims;
    span_sink spans;
    /** Returns the age of the latest proof that the configuration in force is the newest; nothing if no proof is required. */
    std::function<std::optional<duration>()> proofAge;
    /** Returns the methods that serve the control calls of peers. */
    std::function<control_methods()> controlMethods;
    /** Called on the data thread when a graceful shutdown is complete. */
    std::function<void()> shutdownComplete;
};

/** Components that run on the data thread: listeners, gateways, admission, routing and the workspace rate limiters. */
class data_plane
{
public:
    data_plane(const node_settings &settings,
               const signing_keys &keys,
               const snapshot<configuration_index> &configuration,
               metrics_registry &metrics,
               data_plane_services services);

    /** Binds all listeners. Returns the name, address and error of the first listener that cannot be bound; empty on success. */
    [[nodiscard]] std::string listen();

    /** Runs the event loop until stop() is called. */
    void run();

    /** Makes run() return. May be called from any thread. */
    void stop();

    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return m_context;
    }

    /** Mailboxes of the data thread. Each has exactly one producer thread. */
    mailbox<control_event> fromControl;
    mailbox<operator_event> fromOperators;
    mailbox<store_event> fromStore;
    mailbox<claim_reply> fromClaims;

    /** Returns the state that the node announces to its peers. May be called from any thread. */
    [[nodiscard]] instance_state state() const noexcept
    {
        return m_state.load();
    }

    /** Returns whether a graceful shutdown has begun. May be called from any thread. */
    [[nodiscard]] bool isStopping() const noexcept
    {
        return m_stopping.load();
    }

private:
    void applySnapshots();
    void handle(const control_event &event);
    void handle(const operator_event &event);
    [[nodiscard]] abandon_observer observeAbandoned(std::string listener, metrics_registry &metrics) const;
    [[nodiscard]] repeat_budget makeFleetRepeatBudget();
    void receiveLoan(const loan_event &loan);
    [[nodiscard]] boost::asio::awaitable<rate_limit_result> takeToken(std::string workspace, std::shared_ptr<call_control> control);
    void handleAssignment(const target_assignment &assignment);
    void handleAnnouncement(const target_announcement &announcement);
    void applyAnnouncement(const target_announcement &announcement);
    void handleRefutation(const std::string &incarnation);
    void handleDeparture(const target_departure &departure);
    void handle(const store_event &event);
    void restore(const restore_event &event);
    void storeDrain(const target_announcement &announcement);
    void storeDeparture(const departure_record &record);
    void sendDepartures();
    [[nodiscard]] bool holdsDepartures() const;
    void startDraining(std::string_view reason);
    [[nodiscard]] std::uint32_t connectionLimit(const std::string &service) const;
    [[nodiscard]] std::string ownService() const;
    void subscribeTimers();
    void armTimer();
    void observeLoopDelay(duration delay);
    void updateOwnRecord();
    void startShutdown();
    void advanceShutdown(time_point now);
    [[nodiscard]] std::size_t requestsInFlight() const;
    [[nodiscard]] boost::asio::awaitable<call_answer> runLocally(inbound_call call);
    [[nodiscard]] boost::asio::awaitable<http_response> servePeer(http_request request, std::shared_ptr<call_control> control);

    const node_settings &m_settings;
    const signing_keys &m_keys;
    const snapshot<configuration_index> &m_configuration;
    data_plane_services m_services;
    /** Snapshots that the components below have; null before the first. */
    std::shared_ptr<const configuration_index> m_appliedConfiguration;
    std::shared_ptr<const membership_view> m_appliedMembers;
    boost::asio::io_context m_context{1};
    boost::asio::steady_timer m_timer;
    timer_service m_timers;
    loop_probe m_loopProbe;
    loop_meter m_loopMeter;
    distribution &m_loopDelay;
    bool m_isLoopDelayed{false};
    memory_budget m_memory;
    memory_watch m_memoryWatch;
    http_client_pool m_client;
    instance_directory m_directory;
    target_gateway m_target;
    dispatcher m_dispatcher;
    rate_driver m_rates;
    fleet_driver m_fleet;
    once_gateway m_once;
    caller_gateway_dependencies m_callerServices;
    caller_gateway m_callers;
    egress_gateway m_egress;
    forward_gateway m_forward;
    http_server m_callerServer;
    http_server m_egressServer;
    http_server m_peerServer;
    std::atomic<instance_state> m_state{instance_state::Starting};
    std::atomic<bool> m_stopping{false};
    std::optional<instance_record> m_announcedRecord;
    target_assignment m_assignment{m_settings.target};
    announcement_history m_announcementHistory;
    /** Start whose drain was passed on to be stored. */
    std::optional<target_start> m_storedDrain;
    /** Departures that the store thread was not told of yet. */
    departure_update m_unsentDepartures;
    bool m_targetDraining{false};
    shutdown_progress m_shutdown;
};

} // namespace ragwortpin

#endif
