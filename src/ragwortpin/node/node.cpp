#include "ragwortpin/node/node.h"

#include "ragwortpin/config/check.h"
#include "ragwortpin/config/serialise.h"
#include "ragwortpin/node/claims_duty.h"
#include "ragwortpin/node/confirmation_queue.h"
#include "ragwortpin/node/data_plane.h"
#include "ragwortpin/node/head_duty.h"
#include "ragwortpin/node/part_settings.h"
#include "ragwortpin/node/store_duty.h"
#include "ragwortpin/node/watch_duty.h"
#include "ragwortpin/operators/admin_server.h"
#include "ragwortpin/peers/control_duty.h"
#include "ragwortpin/runtime/guard.h"
#include "ragwortpin/store/client.h"
#include "ragwortpin/targets/departure_record.h"
#include "ragwortpin/telemetry/span_exporter.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <random>
#include <thread>
#include <utility>

namespace ragwortpin {

namespace {

constexpr std::size_t SpanCapacity{4096};
constexpr seconds SpanFlushInterval{1};
constexpr seconds SettingsCheckInterval{1};
/** Shortest interval between two checks of the settings file that announcements cause. */
constexpr milliseconds MinSettingsCheckInterval{100};
/** Time for which the response to a target that leaves waits for the store. Targets do not wait for it longer than a second. */
constexpr milliseconds DepartureConfirmationTimeout{750};
/** Time for the last announcement, that of the state Gone, to be sent before the threads stop. */
constexpr milliseconds FinalAnnouncementDelay{300};

using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

std::string describeProblems(const std::vector<config_problem> &problems)
{
    return std::to_string(problems.size()) + " problems; first: " + toText(problems.front());
}

} // namespace

/** The threads of a node and the state that they share. */
class node::impl
{
public:
    impl(node_settings settings, signing_keys keys, node_extensions extensions, settings_source source)
        : m_settings{std::move(settings)}
        , m_source{std::move(source)}
        , m_newestSettings{m_settings}
        , m_keys{std::move(keys)}
        , m_extensions{std::move(extensions)}
        , m_spans{m_telemetryContext,
                  SpanCapacity,
                  [this](span &&value) {
                      if (m_exporter) {
                          m_exporter->add(std::move(value));
                      }
                  }}
        , m_data{m_settings, m_keys, m_configuration, m_metrics, dataServices()}
        , m_head{newStoreCall(),
                 m_extensions.reader,
                 [this](const head_reply &reply) {
                     return m_control.postHeadReply(reply);
                 },
                 m_metrics}
        , m_store{newStoreCall(), storeDutySettings(), storeOutputs(), m_metrics}
        , m_watch{newStoreCall(), {.prefix = m_extensions.watchPrefix}, watchOutputs(), m_metrics}
        , m_claims{toClaimSettings(m_settings),
                   newStoreCall(),
                   [this](claim_reply reply) {
                       if (!m_data.fromClaims.trySend(std::move(reply))) {
                           logEvent(log_level::Warning, "claim_reply_dropped");
                       }
                   },
                   m_metrics}
        , m_control{toControlSettings(m_settings, m_keys), controlCallbacks()}
        , m_admin{m_adminContext, adminServices(), m_metrics}
    {
        if (m_settings.collector) {
            m_exporter = std::make_unique<span_exporter>(m_telemetryContext, *m_settings.collector, m_settings.instance, m_metrics);
        }
        registerGauges();
    }

    ~impl()
    {
        stop();
    }

    impl(const impl &) = delete;
    impl &operator=(const impl &) = delete;

    std::string start()
    {
        if (auto problem = m_data.listen(); !problem.empty()) {
            return "cannot listen on " + problem + "; free the address or change it in the settings";
        }
        if (const auto error = m_admin.listen(m_settings.addresses.admin)) {
            return "cannot listen on the admin address: " + error.message() + "; free the address or change it in the settings";
        }
        if (const auto error = m_control.start()) {
            return "cannot open the gossip socket: " + error.message();
        }
        if (auto problem = addListeners(); !problem.empty()) {
            return problem;
        }
        m_head.start();
        m_store.start();
        if (m_settings.configuration.watch) {
            m_watch.start();
        }
        m_claims.start();
        scheduleSettingsCheck();
        m_adminThread = std::thread{[this] {
            runGuardedLoop("operators", m_adminContext);
        }};
        m_telemetryThread = std::thread{[this] {
            scheduleSpanFlush();
            runGuardedLoop("telemetry", m_telemetryContext);
        }};
        m_dataThread = std::thread{[this] {
            m_data.run();
        }};
        logEvent(log_level::Info, "started", {{"instance", m_settings.instance}, {"availability_zone", m_settings.availabilityZone}});
        return {};
    }

    void reload()
    {
        boost::asio::post(m_adminContext, [this] {
            checkSettings(true);
        });
    }

    void requestShutdown()
    {
        boost::asio::post(m_adminContext, [this] {
            logEvent(log_level::Info, "shutdown_requested", {{"instance", m_settings.instance}});
            if (!m_data.fromOperators.trySend(shutdown_event{})) {
                logEvent(log_level::Warning, "shutdown_not_taken", {{"remedy", "send the signal again"}});
            }
        });
    }

    void wait()
    {
        m_isShutdownComplete.wait(false);
        std::this_thread::sleep_for(FinalAnnouncementDelay);
        stop();
        logEvent(log_level::Info, "stopped", {{"instance", m_settings.instance}});
    }

private:
    data_plane_services dataServices()
    {
        data_plane_services services;
        services.announceOwnRecord = [this](const instance_record &record) {
            return m_control.setOwnRecord(record);
        };
        services.rates.sendMessage = [this](const instance_record &to, std::string payload) {
            m_control.send({{to.address, to.gossipPort}}, datagram_kind::Loans, {std::move(payload)});
        };
        services.membership = [this] {
            return m_control.membership();
        };
        services.sendDigests = [this](digest_output output) {
            std::vector<peer_address> to;
            to.reserve(output.recipients.size());
            for (const auto &recipient : output.recipients) {
                to.push_back({recipient.address, recipient.gossipPort});
            }
            m_control.send(std::move(to), datagram_kind::Digest, std::move(output.payloads));
        };
        services.rates.callStore = [this](rights_store_call call) {
            const auto token = call.token;
            if (!m_store.fromData.trySend(std::move(call))) {
                m_metrics.counterFor("ragwortpin_store_calls_rejected_total").add();
                logEvent(log_level::Warning, "store_call_rejected", {{"token", std::to_string(token)}});
            }
        };
        if (!m_settings.discoveryPrefix.empty()) {
            services.storeDepartures = [this](departure_update &update) {
                return m_store.tryStore(update);
            };
            services.hasUnstoredDepartures = [this] {
                return m_store.hasUnstoredDepartures();
            };
        }
        services.claims = [this](claim_command &&command) {
            return m_claims.fromData.trySend(std::move(command));
        };
        services.spans = [this](span value) {
            if (!m_spans.trySend(std::move(value))) {
                m_metrics.counterFor("ragwortpin_spans_dropped_total").add();
            }
        };
        services.proofAge = [this] {
            return proofAge();
        };
        services.controlMethods = [this] {
            return m_control.methods();
        };
        services.shutdownComplete = [this] {
            m_isShutdownComplete.store(true);
            m_isShutdownComplete.notify_all();
        };
        return services;
    }

    store_duty_outputs storeOutputs()
    {
        return {.handleRateReply =
                    [this](rate_reply_event event) {
                        if (!m_data.fromStore.trySend(std::move(event))) {
                            logEvent(log_level::Warning, "store_reply_dropped");
                        }
                    },
                .handleRestore =
                    [this](restore_event event) {
                        return m_data.fromStore.trySend(std::move(event));
                    },
                .handleDeparturesStored =
                    [this](std::uint64_t confirmation) {
                        boost::asio::post(m_adminContext, [this, confirmation] {
                            m_confirmations.settle(confirmation);
                        });
                    },
                .handleDiscovery =
                    [this](const discovery_result &result) {
                        applyDiscovery(result);
                    }};
    }

    store_call newStoreCall()
    {
        auto made = makeInterruptibleStoreCall({m_settings.platform, m_settings.platformTimeout, m_extensions.protocol});
        m_interruptStoreCalls.push_back(std::move(made.interrupt));
        return made.call;
    }

    store_duty_settings storeDutySettings() const
    {
        store_duty_settings result;
        result.discovery.prefix = m_settings.discoveryPrefix;
        result.discovery.instance = m_settings.instance;
        if (!m_settings.discoveryPrefix.empty()) {
            result.departureKey = std::string{DepartureKeyPrefix} + m_settings.instance;
        }
        result.discovery.self = {m_settings.addresses.gossip.address, m_settings.addresses.gossip.port};
        std::random_device device;
        result.randomSeed = device();
        return result;
    }

    void applyDiscovery(const discovery_result &result)
    {
        if (result.error) {
            logEvent(log_level::Warning, "discovery_failed", {{"error", result.error.message()}});
        }
        if (result.malformed > 0) {
            logEvent(log_level::Warning, "discovery_entries_malformed", {{"count", std::to_string(result.malformed)}});
        }
        if (result.seeds.empty()) {
            return;
        }
        auto seeds = result.seeds;
        const auto configured = toPeerAddresses(m_settings.seeds);
        seeds.insert(seeds.end(), configured.begin(), configured.end());
        if (!m_control.setSeeds(std::move(seeds))) {
            logEvent(log_level::Warning, "seeds_dropped", {{"remedy", "none needed; the next discovery run sets the seeds again"}});
        }
    }

    watch_outputs watchOutputs()
    {
        return {.lastKnownRevision =
                    [this] {
                        return m_head.lastRevision();
                    },
                .isWatcher =
                    [this] {
                        return isWatcher();
                    },
                .handleChange =
                    [this] {
                        m_control.requestPoll();
                    }};
    }

    /**
     * Returns whether this node watches the store for changes. Only the first instances of each availability zone by name do, so
     * that the number of blocked watch calls does not grow with the fleet.
     */
    bool isWatcher() const
    {
        constexpr std::size_t WatchersPerZone{6};
        std::size_t before{0};
        for (const auto &member : m_control.membership()->instances) {
            before += member.availabilityZone == m_settings.availabilityZone && member.name < m_settings.instance ? 1 : 0;
        }
        return before < WatchersPerZone;
    }

    std::string addListeners()
    {
        if (!m_extensions.listen) {
            return {};
        }
        auto added = m_extensions.listen(m_adminContext, adminServices(), m_metrics);
        m_listener = std::move(added.listener);
        return added.problem;
    }

    std::optional<duration> proofAge() const
    {
        if (m_settings.configuration.maxProofAge <= duration::zero()) {
            return std::nullopt;
        }
        const auto provenAt = m_control.provenAt();
        return provenAt ? monotonicNow() - *provenAt : duration::max();
    }

    bool isReady() const
    {
        const auto age = proofAge();
        const bool isProven{!age || *age <= m_settings.configuration.maxProofAge};
        return isProven && m_configuration.load() != nullptr && !m_data.isStopping();
    }

    control_callbacks controlCallbacks()
    {
        control_callbacks callbacks;
        callbacks.applyConfiguration = [this](const configuration_content &content, const configuration_origin &origin) {
            return applyConfiguration(content, origin);
        };
        callbacks.readHead = [this](std::uint64_t revisionInForce) {
            if (!m_head.fromControl.trySend({revisionInForce})) {
                m_control.postHeadReply({std::make_error_code(std::errc::resource_unavailable_try_again), 0, std::nullopt});
            }
        };
        callbacks.handleLoan = [this](const datagram &received, const peer_address &) {
            sendToData(loan_event{received.sender, received.payload});
        };
        callbacks.handleDigest = [this](const datagram &received) {
            sendToData(digest_event{received.sender, received.payload});
        };
        callbacks.membershipChanged = [this](const std::shared_ptr<const membership_view> &) {
            sendToData(snapshot_event{});
        };
        return callbacks;
    }

    admin_callbacks adminServices()
    {
        return {.status =
                    [this] {
                        return status();
                    },
                .announce =
                    [this](target_announcement announcement) {
                        return announce(std::move(announcement));
                    },
                .drain =
                    [this] {
                        return m_data.fromOperators.trySend(drain_event{});
                    },
                .depart =
                    [this](target_departure departure) {
                        return m_data.fromOperators.trySend(std::move(departure));
                    },
                .confirmDepartures =
                    [this] {
                        return confirmDepartures();
                    },
                .isReady =
                    [this] {
                        return isReady();
                    },
                .reportLoad =
                    [this](target_load load) {
                        m_reportedLoad.store(load.inFlight);
                        return true;
                    }};
    }

    /**
     * Queues an announcement that can be one of the target beside this node. An announcement that contradicts the settings may follow a
     * change of the file, which is therefore read first. Called on the admin thread.
     */
    std::error_code announce(target_announcement announcement)
    {
        const auto index = m_configuration.load();
        auto error = checkAnnouncement(announcement, m_newestSettings.target, index.get());
        const auto now = monotonicNow();
        if (error && now - m_settingsCheckedAt >= MinSettingsCheckInterval) {
            checkSettings(false);
            error = checkAnnouncement(announcement, m_newestSettings.target, index.get());
        }
        if (!error && !(sendAssignment() && m_data.fromOperators.trySend(announcement))) {
            error = announcement_errc::NodeBusy;
        }
        if (error) {
            m_refusedAnnouncements.add();
            logForeign(log_level::Warning,
                       "announcement_refused",
                       {{"incarnation", announcement.incarnation},
                        {"service", announcement.service},
                        {"address", toText(announcement.address)},
                        {"assigned_service", m_newestSettings.target.service},
                        {"problem", error.message()}});
        }
        return error;
    }

    /** Waits until the departures that were queued before are stored; see admin_callbacks. Called on the admin thread. */
    boost::asio::awaitable<std::error_code> confirmDepartures()
    {
        if (m_settings.discoveryPrefix.empty()) {
            co_return std::error_code{};
        }
        const auto number = m_confirmations.issue();
        if (!m_data.fromOperators.trySend(confirm_departures_event{number})) {
            co_return announcement_errc::NodeBusy;
        }
        const bool isStored{co_await m_confirmations.wait(number, DepartureConfirmationTimeout)};
        if (!isStored) {
            m_unconfirmedDepartures.add();
            logForeign(log_level::Warning, "departure_unconfirmed", {{"remedy", "none needed; the target sends the message again"}});
            co_return announcement_errc::DepartureNotStored;
        }
        co_return std::error_code{};
    }

    void scheduleSettingsCheck()
    {
        m_settingsTimer.expires_after(SettingsCheckInterval);
        m_settingsTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                scheduleSettingsCheck();
                checkSettings(false);
            }
        });
    }

    /** Reads the settings again and applies what has changed. Called on the admin thread. */
    void checkSettings(bool isRequested)
    {
        m_settingsCheckedAt = monotonicNow();
        auto update = m_source ? m_source() : settings_update{};
        const bool wasUsable{m_areSettingsUsable};
        m_areSettingsUsable = update.state != settings_state::Unusable;
        if (!m_areSettingsUsable) {
            if (wasUsable || isRequested) {
                logEvent(
                    log_level::Error, "reload_refused", {{"remedy", "correct the settings file; the previous settings remain in force"}});
            }
            return;
        }
        if (update.state == settings_state::Changed) {
            m_newestSettings = std::move(update.settings);
        }
        if (update.state == settings_state::Changed || isRequested) {
            applySettings();
        }
        if (!sendAssignment()) {
            logEvent(log_level::Warning, "target_assignment_delayed", {{"remedy", "none needed; it is sent again within a second"}});
        }
    }

    void applySettings()
    {
        auto seeds = toPeerAddresses(m_newestSettings.seeds);
        if (!seeds.empty() && !m_control.setSeeds(std::move(seeds))) {
            logEvent(log_level::Warning, "seeds_dropped", {{"remedy", "reload the settings again"}});
        }
        auto changed = m_newestSettings;
        changed.seeds = m_settings.seeds;
        changed.headers = m_settings.headers;
        changed.target = m_settings.target;
        logEvent(log_level::Info, "reloaded", {{"service", m_newestSettings.target.service}});
        for (const auto &name : changedSettings(m_settings, changed)) {
            logEvent(log_level::Warning, "setting_needs_restart", {{"setting", name}});
        }
    }

    /** Sends the assignment of the target to the data thread if it has changed. Returns false if it could not be queued. */
    bool sendAssignment()
    {
        if (m_newestSettings.target == m_sentAssignment) {
            return true;
        }
        if (!m_data.fromOperators.trySend(m_newestSettings.target)) {
            return false;
        }
        m_sentAssignment = m_newestSettings.target;
        return true;
    }

    bool applyConfiguration(const configuration_content &content, const configuration_origin &origin)
    {
        std::error_code error;
        auto value = decodeConfiguration(content.text, error);
        if (!value || value->revision != content.revision) {
            logForeign(log_level::Error,
                       "configuration_malformed",
                       {{"revision", std::to_string(content.revision)},
                        {"source", std::string{describe(origin.source)}},
                        {"peer", origin.peer},
                        {"problem", error ? error.message() : "the content names another revision"}});
            return false;
        }
        const auto problems = m_extensions.readerChecks ? std::vector<config_problem>{} : checkConfiguration(*value);
        if (!problems.empty()) {
            logForeign(log_level::Error,
                       "configuration_refused",
                       {{"revision", std::to_string(content.revision)},
                        {"source", std::string{describe(origin.source)}},
                        {"peer", origin.peer},
                        {"problems", describeProblems(problems)}});
            return false;
        }
        m_configuration.store(buildIndex(std::move(*value)));
        observeConfigurationEvent(sendToData(snapshot_event{}), content.revision);
        m_configurationDelay.record(origin.heardFor);
        logEvent(log_level::Info,
                 "configuration_in_force",
                 {{"revision", std::to_string(content.revision)},
                  {"source", std::string{describe(origin.source)}},
                  {"peer", origin.peer},
                  {"heard_by", std::string{describe(origin.signal)}},
                  {"heard_for_ms", toMilliseconds(origin.heardFor)},
                  {"proof_age_ms", toMilliseconds(origin.proofAge)}});
        return true;
    }

    /**
     * Sends an event to the data thread. If the mailbox is full, the event is dropped and counted, and false is returned: a message of a
     * peer may be lost on its way as well, and the events that fill the mailbox make the data thread look for new snapshots.
     */
    template<typename Event>
    bool sendToData(Event event)
    {
        const bool isQueued{m_data.fromControl.trySend(std::move(event))};
        if (!isQueued) {
            m_metrics.counterFor("ragwortpin_control_events_dropped_total").add();
        }
        return isQueued;
    }

    /** Logs when the data thread begins to miss configurations, and when it gets one again. Called on the control thread. */
    void observeConfigurationEvent(bool isQueued, std::uint64_t revision)
    {
        if (std::exchange(m_isConfigurationEventDropped, !isQueued) == !isQueued) {
            return;
        }
        logEvent(isQueued ? log_level::Info : log_level::Warning,
                 isQueued ? "configuration_event_sent" : "configuration_event_dropped",
                 {{"revision", std::to_string(revision)}});
    }

    node_status status() const
    {
        const auto index = m_configuration.load();
        return {.instance = m_settings.instance,
                .availabilityZone = m_settings.availabilityZone,
                .service = {},
                .state = m_data.state(),
                .revision = index ? index->value.revision : 0,
                .configuration = std::string{describe(m_control.configurationStatus())},
                .instances = m_control.membership()->instances.size()};
    }

    void registerGauges()
    {
        m_metrics.gauge("ragwortpin_configuration_revision", [this] {
            return static_cast<double>(m_control.revisionInForce());
        });
        m_metrics.gauge("ragwortpin_members_alive", [this] {
            return static_cast<double>(m_control.membership()->instances.size());
        });
        m_metrics.gauge("ragwortpin_target_reported_in_flight", [this] {
            return static_cast<double>(m_reportedLoad.load());
        });
        registerConfigurationGauges();
        m_metrics.gauge("ragwortpin_control_bytes_sent", [this] {
            return static_cast<double>(m_control.counters().bytesSent);
        });
        m_metrics.gauge("ragwortpin_control_bytes_received", [this] {
            return static_cast<double>(m_control.counters().bytesReceived);
        });
        m_metrics.gauge("ragwortpin_datagrams_refused", [this] {
            const auto counters = m_control.counters();
            return static_cast<double>(counters.datagramsRefused + counters.datagramsStale + counters.messagesMalformed);
        });
    }

    void registerConfigurationGauges()
    {
        m_metrics.gauge("ragwortpin_configuration_proof_age_seconds", [this] {
            return toSeconds(monotonicNow() - m_control.provenAt().value_or(m_createdAt));
        });
        const auto registerCount = [this](const std::string &name, std::uint64_t spread_counters::*member) {
            m_metrics.gauge(name, [this, member] {
                return static_cast<double>(m_control.counters().spread.*member);
            });
        };
        registerCount("ragwortpin_configuration_reads", &spread_counters::polls);
        registerCount("ragwortpin_configuration_reads_failed", &spread_counters::pollFailures);
        registerCount("ragwortpin_configuration_pulls", &spread_counters::pulls);
        registerCount("ragwortpin_configuration_pulls_failed", &spread_counters::pullFailures);
        registerCount("ragwortpin_configuration_claims_unproven", &spread_counters::unprovenClaims);
        registerCount("ragwortpin_configurations_applied", &spread_counters::applied);
        registerCount("ragwortpin_configurations_rejected", &spread_counters::rejected);
        m_metrics.gauge("ragwortpin_configuration_read_backoff", [this] {
            return static_cast<double>(m_control.counters().pollBackoff);
        });
        m_metrics.gauge("ragwortpin_configuration_peers_passed_over", [this] {
            return static_cast<double>(m_control.counters().peersPassedOver);
        });
    }

    void scheduleSpanFlush()
    {
        m_spanTimer.expires_after(SpanFlushInterval);
        m_spanTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                scheduleSpanFlush();
                if (m_exporter) {
                    m_exporter->flush();
                }
            }
        });
    }

    void stop()
    {
        // A call that the store does not answer would otherwise hold up the end of the process beyond the grace of its stop.
        for (const auto &interrupt : m_interruptStoreCalls) {
            interrupt();
        }
        m_watch.stop();
        m_control.stop();
        m_head.stop();
        m_store.stop();
        m_claims.stop();
        m_data.stop();
        m_adminContext.stop();
        m_telemetryContext.stop();
        for (auto *thread : {&m_dataThread, &m_adminThread, &m_telemetryThread}) {
            if (thread->joinable()) {
                thread->join();
            }
        }
    }

    node_settings m_settings;
    settings_source m_source;
    /** Settings that were read last, the assignment of the target that the data thread has, and when the file was checked. */
    node_settings m_newestSettings;
    target_assignment m_sentAssignment{m_settings.target};
    time_point m_settingsCheckedAt{monotonicNow()};
    bool m_areSettingsUsable{true};
    signing_keys m_keys;
    node_extensions m_extensions;
    metrics_registry m_metrics;
    snapshot<configuration_index> m_configuration;
    boost::asio::io_context m_adminContext{1};
    work_guard m_adminWork{m_adminContext.get_executor()};
    boost::asio::steady_timer m_settingsTimer{m_adminContext};
    confirmation_queue m_confirmations{m_adminContext};
    distribution &m_configurationDelay{m_metrics.distributionFor("ragwortpin_configuration_delay_seconds")};
    time_point m_createdAt{monotonicNow()};
    /** Whether the data thread missed the last configuration. Used on the control thread only. */
    bool m_isConfigurationEventDropped{false};
    counter &m_unconfirmedDepartures{m_metrics.counterFor("ragwortpin_departures_unconfirmed_total")};
    counter &m_refusedAnnouncements{m_metrics.counterFor("ragwortpin_announcements_refused_total")};
    boost::asio::io_context m_telemetryContext{1};
    boost::asio::steady_timer m_spanTimer{m_telemetryContext};
    std::unique_ptr<span_exporter> m_exporter;
    mailbox<span> m_spans;
    std::vector<std::function<void()>> m_interruptStoreCalls;
    std::atomic<bool> m_isShutdownComplete{false};
    std::atomic<std::uint32_t> m_reportedLoad{0};
    data_plane m_data;
    head_duty m_head;
    store_duty m_store;
    watch_duty m_watch;
    claims_duty m_claims;
    control_duty m_control;
    admin_server m_admin;
    std::shared_ptr<void> m_listener;
    std::thread m_dataThread;
    std::thread m_adminThread;
    std::thread m_telemetryThread;
};

node::node(node_settings settings, signing_keys keys, node_extensions extensions, settings_source source)
    : m_impl{std::make_unique<impl>(std::move(settings), std::move(keys), std::move(extensions), std::move(source))}
{ }

node::~node() = default;

std::string node::start()
{
    return m_impl->start();
}

void node::reload()
{
    m_impl->reload();
}

void node::requestShutdown()
{
    m_impl->requestShutdown();
}

void node::wait()
{
    m_impl->wait();
}

} // namespace ragwortpin
