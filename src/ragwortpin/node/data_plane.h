#ifndef RAGWORTPIN_NODE_DATA_PLANE_H
#define RAGWORTPIN_NODE_DATA_PLANE_H

#include "ragwortpin/callers/caller_gateway.h"
#include "ragwortpin/dispatch/dispatcher.h"
#include "ragwortpin/http/client_pool.h"
#include "ragwortpin/http/server.h"
#include "ragwortpin/node/events.h"
#include "ragwortpin/node/fleet_driver.h"
#include "ragwortpin/node/once_gateway.h"
#include "ragwortpin/node/rate_driver.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/peers/control_rpc_jsonrpc.h"
#include "ragwortpin/peers/datagram.h"
#include "ragwortpin/peers/forward_gateway.h"
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

/** What the data path uses of the other duties. Each function may be called from the data thread and does not block. */
struct data_plane_services
{
    /** Announces the node's own record; false when it has to be tried again. */
    std::function<bool(const instance_record &)> announceSelf;
    rate_driver_outputs rates;
    peer_sender sendDigest;
    claim_sender claims;
    span_sink spans;
    /** Age of the proof that the configuration in force is the newest; nothing where none is asked for. */
    std::function<std::optional<duration>()> proofAge;
    /** Methods behind the control calls of peers. */
    std::function<control_methods()> controlMethods;
    /** Called on the data thread when a graceful shutdown is complete. */
    std::function<void()> finished;
};

/** Everything that runs on the data thread: listeners, gateways, admission, routing and the workspace rates. */
class data_plane
{
public:
    data_plane(const node_settings &settings,
               const signing_keys &keys,
               const snapshot<configuration_index> &configuration,
               metrics_registry &metrics,
               data_plane_services services);

    /** Binds all listeners. Returns the address in words and the error of the first one that cannot be bound. */
    [[nodiscard]] std::string listen();

    /** Runs until stop(). */
    void run();

    /** Ends run(). Any thread. */
    void stop();

    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return m_context;
    }

    /** Mailboxes to the data thread; one producer thread each. */
    mailbox<control_event> fromControl;
    mailbox<operator_event> fromOperators;
    mailbox<rate_reply_event> fromPlatform;
    mailbox<claim_reply> fromClaims;

    /** State that the node announces. Any thread. */
    [[nodiscard]] instance_state state() const noexcept
    {
        return m_state.load();
    }

    /** Whether a graceful shutdown began. Any thread. */
    [[nodiscard]] bool isStopping() const noexcept
    {
        return m_stopping.load();
    }

private:
    void handle(control_event event);
    void handle(operator_event event);
    [[nodiscard]] repeat_budget sharedRepeats();
    void receiveLoan(const loan_event &loan);
    [[nodiscard]] boost::asio::awaitable<rate_answer> takeToken(std::string workspace, std::shared_ptr<call_control> control);
    void handleAnnouncement(const target_announcement &announcement);
    void handleDeparture(const target_departure &departure);
    void startDraining(std::string_view reason);
    [[nodiscard]] std::uint32_t connectionsOf(const std::string &service) const;
    [[nodiscard]] std::string ownService() const;
    void subscribeTimers();
    void armTimer();
    void updateOwnRecord();
    void startShutdown();
    [[nodiscard]] bool isEnding(time_point now) const;
    void advanceShutdown(time_point now);
    [[nodiscard]] std::size_t requestsInFlight() const;
    [[nodiscard]] boost::asio::awaitable<call_answer> runLocally(inbound_call call);
    [[nodiscard]] boost::asio::awaitable<http_response> servePeer(http_request request, std::shared_ptr<call_control> control);

    const node_settings &m_settings;
    const signing_keys &m_keys;
    const snapshot<configuration_index> &m_configuration;
    data_plane_services m_services;
    boost::asio::io_context m_context{1};
    boost::asio::steady_timer m_timer;
    timer_service m_timers;
    http_client_pool m_client;
    instance_directory m_directory;
    target_gateway m_target;
    dispatcher m_dispatcher;
    rate_driver m_rates;
    fleet_driver m_fleet;
    once_gateway m_once;
    caller_services m_callerServices;
    caller_gateway m_callers;
    egress_gateway m_egress;
    forward_gateway m_forward;
    http_server m_callerServer;
    http_server m_egressServer;
    http_server m_peerServer;
    std::atomic<instance_state> m_state{instance_state::Starting};
    std::atomic<bool> m_stopping{false};
    std::optional<instance_record> m_announced;
    announcement_history m_targetHistory;
    bool m_targetDraining{false};
    std::optional<time_point> m_shutdownStarted;
    bool m_listenersClosed{false};
    bool m_finished{false};
};

} // namespace ragwortpin

#endif
