#include "ragwortpin/node/data_plane.h"

#include "ragwortpin/http/address.h"
#include "ragwortpin/peers/control_server.h"
#include "ragwortpin/peers/signature.h"
#include "ragwortpin/runtime/guard.h"
#include "ragwortpin/runtime/logging.h"
#include "ragwortpin/targets/departure_record.h"

#include <array>
#include <limits>
#include <random>

namespace ragwortpin {

namespace {

constexpr std::size_t ControlMailboxCapacity{4096};
constexpr std::size_t OperatorMailboxCapacity{64};
constexpr std::size_t StoreMailboxCapacity{256};
constexpr milliseconds QueueCheckInterval{20};
constexpr milliseconds StateUpdateInterval{100};
constexpr milliseconds LoopProbeInterval{100};
constexpr milliseconds LoopCheckInterval{250};
/** Delays of the event loop at which it is logged as delayed, and as no longer delayed. */
constexpr milliseconds LoopDelayedThreshold{50};
constexpr milliseconds LoopRecoveredThreshold{10};
/** Short because the target runs on the same machine. */
constexpr milliseconds TargetConnectTimeout{1000};
/** Some hundred times the network latency between availability zones. A peer that takes longer is partitioned or overloaded. */
constexpr milliseconds PeerConnectTimeout{400};
/**
 * Idle time after which a connection to the target is not reused for requests of at-most-once routes. A target may close an idle
 * connection without notice, and a request written to such a connection counts as sent.
 */
constexpr seconds OnceMaxIdleTime{4};
constexpr seconds CleanupInterval{5};

rights_settings toRightsSettings(const node_settings &settings)
{
    rights_settings result;
    result.slotsPerZone = settings.rateSlots;
    result.slotLapse = settings.rateSlotLapse;
    return result;
}

target_options toTargetOptions(const node_settings &settings, std::function<void(const std::string &)> refuted)
{
    target_options options;
    options.headers = settings.headers;
    options.refuted = std::move(refuted);
    options.startsCold = settings.overload.coldStart;
    options.usableSlotFraction = settings.overload.usableSlotFraction;
    options.admission.maxQueueDrainTime = settings.overload.maxQueueDelay;
    options.admission.limit.adapts = settings.overload.adaptiveLimit;
    options.exchange.requestIdField = settings.headers.requestId;
    options.exchange.acceptCloseDelimited = true;
    options.exchange.connectTimeout = TargetConnectTimeout;
    options.maxIdleNonRetryable = OnceMaxIdleTime;
    return options;
}

dispatch_options toDispatchOptions(const node_settings &settings)
{
    return {.connectTimeout = PeerConnectTimeout,
            .allowsRepeats = settings.overload.allowsRepeats,
            .shedsByLevel = settings.overload.shedsByLevel};
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

rights_identity toRightsIdentity(const node_settings &settings)
{
    const auto &peers = settings.addresses.peers;
    return {
        .name = settings.instance, .availabilityZone = settings.availabilityZone, .address = toText(peers), .incarnation = randomSeed()};
}

} // namespace

data_plane::data_plane(const node_settings &settings,
                       const signing_keys &keys,
                       const snapshot<configuration_index> &configuration,
                       metrics_registry &metrics,
                       data_plane_services services)
    : fromControl{m_context,
                  ControlMailboxCapacity,
                  [this](const control_event &event) {
                      handle(event);
                  }}
    , fromOperators{m_context,
                    OperatorMailboxCapacity,
                    [this](const operator_event &event) {
                        handle(event);
                    }}
    , fromStore{m_context,
                StoreMailboxCapacity,
                [this](const store_event &event) {
                    handle(event);
                }}
    , fromClaims{m_context,
                 StoreMailboxCapacity,
                 [this](claim_reply &&reply) {
                     m_once.receive(std::move(reply));
                 }}
    , m_settings{settings}
    , m_keys{keys}
    , m_configuration{configuration}
    , m_services{std::move(services)}
    , m_timer{m_context}
    , m_loopProbe{m_context}
    , m_loopMeter{monotonicNow()}
    , m_loopDelay{metrics.distributionFor("ragwortpin_event_loop_delay_seconds")}
    , m_memory{messageMemory(settings.memoryBytes)}
    , m_memoryWatch{metrics}
    , m_client{m_context, settings.limits, m_memory}
    , m_directory{settings.availabilityZone}
    , m_target{m_context,
               m_client,
               metrics,
               m_services.spans,
               toTargetOptions(settings,
                               [this](const std::string &incarnation) {
                                   handleRefutation(incarnation);
                               })}
    , m_dispatcher{{settings.instance, keys},
                   m_client,
                   m_directory,
                   metrics,
                   [this](inbound_call call) {
                       return runLocally(std::move(call));
                   },
                   randomSeed(),
                   toDispatchOptions(settings),
                   makeFleetRepeatBudget()}
    , m_rates{m_context, toRightsSettings(settings), toRightsIdentity(settings), m_services.rates, metrics}
    , m_fleet{m_context, settings, {m_services.sendDigests, m_services.rates.sendMessage}, metrics}
    , m_once{m_context, m_dispatcher, m_services.claims, metrics}
    , m_callerServices{configuration,
                       m_dispatcher,
                       [this](std::string workspace, std::shared_ptr<call_control> control) {
                           return takeToken(std::move(workspace), std::move(control));
                       },
                       [this](inbound_call call) {
                           return m_once.run(std::move(call));
                       },
                       m_services.spans,
                       settings.headers,
                       m_services.proofAge,
                       settings.configuration.maxProofAge,
                       [this] {
                           return ownService();
                       },
                       [this](std::string_view route, unsigned rank) {
                           return !m_settings.overload.plansAdmission || m_fleet.admit(route, rank);
                       },
                       [this](std::string_view route, unsigned rank) {
                           return m_fleet.describePlan(route, rank);
                       },
                       [this](const std::string &workspace) {
                           m_fleet.refundToken(workspace);
                       },
                       [this] {
                           return isAnnouncePeriodOver(m_shutdown, m_settings.shutdown, monotonicNow());
                       },
                       [this](std::string_view route, time_point deadline) {
                           return m_target.attributeTargetCall(route, deadline);
                       },
                       [this](time_point deadline) {
                           return m_target.mayBeTargetCall(deadline);
                       }}
    , m_callers{m_callerServices, metrics, settings.sampleRatio, randomSeed()}
    , m_egress{m_callerServices, m_callers, m_target.inFlight(), metrics}
    , m_forward{{settings.instance, keys},
                [this](inbound_call call) {
                    return runLocally(std::move(call));
                },
                settings.headers.requestId,
                metrics}
    , m_callerServer{m_context,
                     settings.limits,
                     [this](http_request request, std::shared_ptr<call_control> control) {
                         return m_callers.serve(std::move(request), std::move(control));
                     },
                     [this](refusal_kind kind) {
                         m_callers.observeRefusal(kind);
                     },
                     observeAbandoned("callers", metrics),
                     m_memory}
    , m_egressServer{m_context,
                     settings.limits,
                     [this](http_request request, std::shared_ptr<call_control> control) {
                         return m_egress.serve(std::move(request), std::move(control));
                     },
                     [this](refusal_kind kind) {
                         m_callers.observeRefusal(kind);
                     },
                     observeAbandoned("egress", metrics),
                     m_memory}
    , m_peerServer{m_context,
                   settings.limits,
                   [this](http_request request, std::shared_ptr<call_control> control) {
                       return servePeer(std::move(request), std::move(control));
                   },
                   [](refusal_kind) {},
                   observeAbandoned("peers", metrics),
                   m_memory}
{
    m_announcementHistory.awaitsRestore = static_cast<bool>(m_services.storeDepartures);
    metrics.gauge("ragwortpin_mailbox_rejected", [this] {
        return static_cast<double>(fromControl.rejected() + fromOperators.rejected() + fromStore.rejected() + fromClaims.rejected());
    });
}

/** Returns an observer that counts and logs the requests of a listener whose clients disconnected before they were read. */
abandon_observer data_plane::observeAbandoned(std::string listener, metrics_registry &metrics) const
{
    auto &abandoned = metrics.counterFor("ragwortpin_requests_abandoned_total{listener=\"" + listener + "\"}");
    return [this, listener = std::move(listener), &abandoned](const http_request &request) {
        abandoned.add();
        logDecision(log_weight::Ordinary,
                    "request_abandoned",
                    {{"id", std::string{request[m_settings.headers.requestId]}}, {"listener", listener}, {"outcome", "not_run"}});
    };
}

std::string data_plane::listen()
{
    struct listener
    {
        const char *name;
        http_server &server;
        const endpoint &address;
    };
    const auto &addresses = m_settings.addresses;
    const std::array listeners{listener{"callers", m_callerServer, addresses.callers},
                               listener{"egress", m_egressServer, addresses.egress},
                               listener{"peers", m_peerServer, addresses.peers}};
    for (const auto &entry : listeners) {
        const auto error = entry.server.listen(entry.address);
        if (error) {
            return std::string{entry.name} + ' ' + toText(entry.address) + ": " + error.message();
        }
    }
    return {};
}

void data_plane::run()
{
    subscribeTimers();
    armTimer();
    while (!runGuarded("data", [this] {
        m_loopMeter.run(m_context);
    })) { }
}

void data_plane::stop()
{
    m_context.stop();
}

/** Passes on the newest configuration and membership unless that is done already. */
void data_plane::applySnapshots()
{
    if (auto index = m_configuration.load(); index != m_appliedConfiguration) {
        m_appliedConfiguration = index;
        m_directory.updateConfiguration(index->value);
        m_rates.updateConfiguration({index, &index->value});
        m_fleet.updateConfiguration(std::move(index));
        updateOwnRecord();
    }
    if (auto view = m_services.membership(); view != m_appliedMembers) {
        m_appliedMembers = view;
        m_directory.updateMembers(*view, monotonicNow());
        m_rates.updateMembers(view);
        m_fleet.updateMembers(std::move(view));
    }
}

void data_plane::handle(const control_event &event)
{
    applySnapshots();
    if (const auto *loan = std::get_if<loan_event>(&event)) {
        receiveLoan(*loan);
    } else if (const auto *digest = std::get_if<digest_event>(&event)) {
        m_fleet.receive(digest->sender, digest->payload);
    }
}

void data_plane::receiveLoan(const loan_event &loan)
{
    if (m_settings.rateMethod == rate_method::Shared) {
        m_fleet.receiveLoan(loan.sender, loan.payload);
    } else {
        m_rates.receive(loan.sender, loan.payload);
    }
}

void data_plane::handle(const operator_event &event)
{
    if (const auto *assignment = std::get_if<target_assignment>(&event)) {
        handleAssignment(*assignment);
    } else if (const auto *announcement = std::get_if<target_announcement>(&event)) {
        handleAnnouncement(*announcement);
    } else if (const auto *departure = std::get_if<target_departure>(&event)) {
        handleDeparture(*departure);
    } else if (const auto *confirm = std::get_if<confirm_departures_event>(&event)) {
        m_unsentDepartures.confirmation = confirm->number;
        sendDepartures();
    } else if (std::holds_alternative<drain_event>(event)) {
        startDraining("drain");
    } else if (std::holds_alternative<shutdown_event>(event)) {
        startShutdown();
    }
}

/** Returns the fleet-wide budget for retries of requests that may have reached a target; empty if each node keeps a budget of its own. */
repeat_budget data_plane::makeFleetRepeatBudget()
{
    const bool isLimited{m_settings.overload.fleetRepeats != repeat_limits{}};
    if (m_settings.rateMethod != rate_method::Shared || !isLimited) {
        return {};
    }
    return [this](repeat_request request, std::shared_ptr<call_control> control) {
        return m_fleet.tryChargeRepeat(std::move(request), std::move(control));
    };
}

boost::asio::awaitable<rate_limit_result> data_plane::takeToken(std::string workspace, std::shared_ptr<call_control> control)
{
    if (m_settings.rateMethod == rate_method::Shared) {
        co_return co_await m_fleet.take(std::move(workspace), std::move(control));
    }
    co_return co_await m_rates.take(std::move(workspace), std::move(control));
}

/** Takes over what the settings say of the target. A target that they no longer name gets no more requests. */
void data_plane::handleAssignment(const target_assignment &assignment)
{
    m_assignment = assignment;
    const auto &announced = m_target.announced();
    const bool isOther{announced
                       && ((!assignment.service.empty() && announced->service != assignment.service)
                           || (assignment.address && announced->address != *assignment.address))};
    if (isOther) {
        m_announcementHistory.latest.reset();
        m_announcementHistory.rival.reset();
        startDraining("reassigned");
    }
}

void data_plane::handleAnnouncement(const target_announcement &announcement)
{
    const auto verdict = recordAnnouncement(m_announcementHistory, announcement, monotonicNow());
    if (verdict == announcement_verdict::Deferred) {
        return;
    }
    if (verdict == announcement_verdict::Stale) {
        logForeign(log_level::Warning,
                   "announcement_stale",
                   {{"incarnation", announcement.incarnation}, {"sequence", std::to_string(announcement.sequence)}});
        return;
    }
    applyAnnouncement(announcement);
}

void data_plane::applyAnnouncement(const target_announcement &announcement)
{
    const bool isNew{!m_target.announced() || m_target.announced()->incarnation != announcement.incarnation};
    if (isNew) {
        logForeign(
            log_level::Info,
            "target_announced",
            {{"incarnation", announcement.incarnation}, {"service", announcement.service}, {"slots", std::to_string(announcement.slots)}});
    }
    auto effective = announcement;
    effective.connections = effective.connections > 0 ? effective.connections : connectionLimit(effective.service);
    m_target.announce(effective, monotonicNow());
    if (announcement.draining) {
        storeDrain(*m_announcementHistory.latest);
        startDraining("announced");
        return;
    }
    m_storedDrain.reset();
    if (m_targetDraining && !m_shutdown.startedAt) {
        m_targetDraining = false;
        m_target.stopDraining();
    }
    updateOwnRecord();
}

/** Returns to the target that the refuted incarnation had displaced, if that one still announces itself. */
void data_plane::handleRefutation(const std::string &incarnation)
{
    logForeign(log_level::Warning, "target_refuted", {{"incarnation", incarnation}});
    if (refuteIncarnation(m_announcementHistory, incarnation, monotonicNow()) && m_announcementHistory.latest) {
        const auto previous = *m_announcementHistory.latest;
        applyAnnouncement(previous);
    }
}

void data_plane::handleDeparture(const target_departure &departure)
{
    if (recordDeparture(m_announcementHistory, departure)) {
        const auto &latest = *m_announcementHistory.latest;
        storeDeparture({latest.incarnation, latest.startedAt, latest.sequence, true});
        startDraining("departed");
    } else {
        storeDeparture({departure.incarnation, departure.receivedAt, 0, true});
    }
}

/** Stores that the target drains, once for each drain: the sequence number of the first announcement is above all from before it. */
void data_plane::storeDrain(const target_announcement &announcement)
{
    const target_start start{announcement.incarnation, announcement.startedAt};
    if (m_storedDrain != start) {
        m_storedDrain = start;
        storeDeparture({announcement.incarnation, announcement.startedAt, announcement.sequence, false});
    }
}

/** Stores that a start of the target drains or has ended, so that this node does not use it again after a restart. */
void data_plane::storeDeparture(const departure_record &record)
{
    if (m_services.storeDepartures) {
        m_unsentDepartures.records = mergeDepartures(std::move(m_unsentDepartures.records), {record});
        sendDepartures();
    }
}

/** Passes on what the store thread was not told of yet. If its mailbox is full, the next timer does. */
void data_plane::sendDepartures()
{
    if (m_unsentDepartures != departure_update{} && m_services.storeDepartures(m_unsentDepartures)) {
        m_unsentDepartures = {};
    }
}

/** Returns whether a restart of the node would forget a departure. */
bool data_plane::holdsDepartures() const
{
    return m_services.storeDepartures && (m_unsentDepartures != departure_update{} || m_services.hasUnstoredDepartures());
}

void data_plane::handle(const store_event &event)
{
    if (const auto *reply = std::get_if<rate_reply_event>(&event)) {
        m_rates.receiveReply(reply->token, reply->reply);
    } else if (const auto *stored = std::get_if<restore_event>(&event)) {
        restore(*stored);
    }
}

/** Applies the departures that were stored before this process started, and the announcement that waited for them. */
void data_plane::restore(const restore_event &event)
{
    const auto deferred = restoreDepartures(m_announcementHistory, event.records, monotonicNow());
    for (const auto &record : event.records) {
        logEvent(
            log_level::Info, "departure_restored", {{"incarnation", record.incarnation}, {"ended", record.hasEnded ? "true" : "false"}});
    }
    if (isLatestDeparted(m_announcementHistory, monotonicNow())) {
        startDraining("restored");
    }
    if (deferred) {
        handleAnnouncement(*deferred);
    }
}

void data_plane::startDraining(std::string_view reason)
{
    if (!m_targetDraining) {
        logEvent(log_level::Info, "target_draining", {{"reason", std::string{reason}}});
    }
    m_targetDraining = true;
    m_target.startDraining();
    updateOwnRecord();
}

/**
 * Returns the number of connections that the configuration allows to a target of the service; unlimited, so that only the slots
 * apply, if it sets none.
 */
std::uint32_t data_plane::connectionLimit(const std::string &service) const
{
    constexpr std::uint32_t Unlimited{std::numeric_limits<std::uint32_t>::max()};
    const auto index = m_configuration.load();
    const auto *found = index ? findService(*index, service) : nullptr;
    return found != nullptr && found->connections > 0 ? found->connections : Unlimited;
}

std::string data_plane::ownService() const
{
    if (!m_assignment.service.empty()) {
        return m_assignment.service;
    }
    const auto &announced = m_target.announced();
    return announced ? announced->service : std::string{};
}

void data_plane::subscribeTimers()
{
    const auto now = monotonicNow();
    m_timers.subscribe(now, QueueCheckInterval, [this](time_point at) {
        m_target.expireQueued(at);
    });
    if (m_settings.rateMethod == rate_method::Slots) {
        m_timers.subscribe(now, rate_driver::TickInterval, [this](time_point) {
            m_rates.tick();
        });
    } else {
        m_timers.subscribe(now, m_fleet.tickInterval(), [this](time_point) {
            m_fleet.tick(m_target);
        });
    }
    m_timers.subscribe(now, StateUpdateInterval, [this](time_point at) {
        applySnapshots();
        updateOwnRecord();
        sendDepartures();
        m_once.wakePendingCalls();
        advanceShutdown(at);
    });
    m_timers.subscribe(now, LoopProbeInterval, [this](time_point at) {
        m_loopProbe.send(at);
    });
    m_timers.subscribe(now, LoopCheckInterval, [this](time_point at) {
        const loop_load load{m_loopProbe.takeDelay(at), m_loopMeter.takeUtilisation(at)};
        observeLoopDelay(load.delay);
        m_memoryWatch.observe(m_memory, m_callerServer.evictions() + m_egressServer.evictions() + m_peerServer.evictions(), at);
        m_target.observeNodeLoad(load, at);
    });
    m_timers.subscribe(now, CleanupInterval, [this](time_point at) {
        m_dispatcher.removeExpiredShedLevels(at);
        m_client.closeExpired();
    });
}

void data_plane::armTimer()
{
    m_timer.expires_after(QueueCheckInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            runGuarded("timers", [this] {
                m_timers.advance(monotonicNow());
            });
            armTimer();
        }
    });
}

/** Records the delay of the event loop, and logs when connections begin or cease to wait for the processor. */
void data_plane::observeLoopDelay(duration delay)
{
    m_loopDelay.record(delay);
    const bool isDelayed{delay >= (m_isLoopDelayed ? LoopRecoveredThreshold : LoopDelayedThreshold)};
    if (isDelayed == m_isLoopDelayed) {
        return;
    }
    m_isLoopDelayed = isDelayed;
    logEvent(isDelayed ? log_level::Warning : log_level::Info,
             isDelayed ? "event_loop_delayed" : "event_loop_recovered",
             {{"delay_ms", std::to_string(std::chrono::duration_cast<milliseconds>(delay).count())},
              {"connections", std::to_string(m_callerServer.connections() + m_egressServer.connections() + m_peerServer.connections())},
              {"requests", std::to_string(requestsInFlight())},
              {"at_target", std::to_string(m_target.requests())}});
}

void data_plane::updateOwnRecord()
{
    const auto &announced = m_target.announced();
    instance_state state{instance_state::Starting};
    if (m_shutdown.isComplete) {
        state = instance_state::Gone;
    } else if (m_targetDraining || m_shutdown.startedAt) {
        state = instance_state::Draining;
    } else if (announced && m_configuration.load()) {
        state = instance_state::Ready;
    }
    m_state.store(state);
    instance_record record{.name = m_settings.instance,
                           .availabilityZone = m_settings.availabilityZone,
                           .service = announced ? announced->service : std::string{},
                           .address = m_settings.addresses.peers.address,
                           .peersPort = m_settings.addresses.peers.port,
                           .gossipPort = m_settings.addresses.gossip.port,
                           .state = state,
                           .slots = announced ? announced->slots : 0,
                           .connections = announced ? announced->connections : 0};
    if (record != m_announcedRecord && m_services.announceOwnRecord(record)) {
        m_announcedRecord = std::move(record);
    }
}

void data_plane::startShutdown()
{
    if (m_shutdown.startedAt) {
        return;
    }
    m_shutdown.startedAt = monotonicNow();
    m_stopping.store(true);
    m_target.startDraining();
    m_callerServer.startDraining();
    m_egressServer.startDraining();
    m_peerServer.startDraining();
    if (m_settings.rateMethod == rate_method::Slots) {
        m_rates.startRelease();
    }
    updateOwnRecord();
}

void data_plane::advanceShutdown(time_point now)
{
    if (!isAnnouncePeriodOver(m_shutdown, m_settings.shutdown, now)) {
        return;
    }
    const std::array servers{&m_callerServer, &m_egressServer, &m_peerServer};
    remaining_work work{.requests = requestsInFlight(),
                        .unreadConnections = 0,
                        .holdsRates = m_settings.rateMethod == rate_method::Slots && !m_rates.isReleased(),
                        .holdsDepartures = holdsDepartures()};
    for (const auto *server : servers) {
        work.unreadConnections += server->unreadConnections();
    }
    switch (ragwortpin::advanceShutdown(m_shutdown, work, m_settings.shutdown, now)) {
    case shutdown_step::Wait:
        break;
    case shutdown_step::CloseListeners:
    case shutdown_step::CloseIdleConnections:
        for (auto *server : servers) {
            server->closeIdleConnections();
        }
        break;
    case shutdown_step::Finish:
        updateOwnRecord();
        m_services.shutdownComplete();
        break;
    }
}

std::size_t data_plane::requestsInFlight() const
{
    return m_callerServer.requestsInFlight() + m_egressServer.requestsInFlight() + m_peerServer.requestsInFlight() + m_target.requests();
}

boost::asio::awaitable<call_answer> data_plane::runLocally(inbound_call call)
{
    const auto index = m_configuration.load();
    const auto *workspace = index ? findWorkspace(*index, call.context.workspace) : nullptr;
    return m_target.run(std::move(call), workspace == nullptr ? 1.0 : workspace->weight);
}

boost::asio::awaitable<http_response> data_plane::servePeer(http_request request, std::shared_ptr<call_control> control)
{
    if (request.method() != http::verb::post || toStd(request.target()) != ControlPath || request.count(toBeast(field::Context)) > 0) {
        co_return co_await m_forward.serve(std::move(request), std::move(control));
    }
    const datagram_secrets secrets{m_keys.secrets.front(), m_keys.secrets.size() > 1 ? m_keys.secrets[1] : std::string{}};
    const auto answer
        = answerControlCall(m_services.controlMethods(), secrets, request.body(), toStd(request[toBeast(ControlSignatureHeader)]));
    auto response = makeResponse(static_cast<http::status>(answer.httpStatus), "application/json", answer.body);
    response.set(toBeast(ControlSignatureHeader), answer.signature);
    co_return response;
}

} // namespace ragwortpin
