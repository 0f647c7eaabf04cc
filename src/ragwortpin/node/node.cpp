#include "ragwortpin/node/node.h"

#include "ragwortpin/config/check.h"
#include "ragwortpin/config/serialise.h"
#include "ragwortpin/node/claims_duty.h"
#include "ragwortpin/node/data_plane.h"
#include "ragwortpin/node/platform_duty.h"
#include "ragwortpin/operators/admin_server.h"
#include "ragwortpin/peers/control_duty.h"
#include "ragwortpin/platform/etcd_client.h"
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
/** Time for the last announcement to leave the process. */
constexpr milliseconds FarewellTime{300};

using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

std::vector<peer_address> toPeerAddresses(const std::vector<endpoint> &endpoints)
{
    std::vector<peer_address> addresses;
    addresses.reserve(endpoints.size());
    for (const auto &value : endpoints) {
        addresses.push_back({value.address, value.port});
    }
    return addresses;
}

control_settings toControlSettings(const node_settings &settings, const signing_keys &keys)
{
    control_settings result;
    result.self = {.name = settings.instance,
                   .availabilityZone = settings.availabilityZone,
                   .service = {},
                   .address = settings.addresses.peers.address,
                   .peersPort = settings.addresses.peers.port,
                   .gossipPort = settings.addresses.gossip.port};
    result.seeds = toPeerAddresses(settings.seeds);
    result.secrets = {keys.secrets.front(), keys.secrets.size() > 1 ? keys.secrets[1] : std::string{}};
    std::random_device device;
    result.randomSeed = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return result;
}

claim_settings toClaimSettings(const node_settings &settings)
{
    claim_settings result;
    result.instance = settings.instance;
    return result;
}

std::string describeProblems(const std::vector<config_problem> &problems)
{
    return std::to_string(problems.size()) + " problems, the first: " + toText(problems.front());
}

} // namespace

/** Threads of a node and what they share. */
class node::duties
{
public:
    duties(node_settings settings, signing_keys keys)
        : m_settings{std::move(settings)}
        , m_keys{std::move(keys)}
        , m_spans{m_telemetryContext,
                  SpanCapacity,
                  [this](span value) {
                      if (m_exporter) {
                          m_exporter->add(std::move(value));
                      }
                  }}
        , m_data{m_settings, m_keys, m_configuration, m_metrics, dataServices()}
        , m_platform{makeStoreCall({m_settings.platform, m_settings.platformTimeout}), platformOutputs(), m_metrics}
        , m_claims{toClaimSettings(m_settings),
                   makeStoreCall({m_settings.platform, m_settings.platformTimeout}),
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

    ~duties()
    {
        stop();
    }

    duties(const duties &) = delete;
    duties &operator=(const duties &) = delete;

    std::string start()
    {
        if (auto problem = m_data.listen(); !problem.empty()) {
            return "cannot listen at " + problem + "; free the address or change it in the settings";
        }
        if (const auto error = m_admin.listen(m_settings.addresses.admin)) {
            return "cannot listen at admin: " + error.message() + "; free the address or change it in the settings";
        }
        if (const auto error = m_control.start()) {
            return "cannot open gossip: " + error.message();
        }
        m_platform.start();
        m_claims.start();
        m_adminThread = std::thread{[this] {
            m_adminContext.run();
        }};
        m_telemetryThread = std::thread{[this] {
            scheduleSpanFlush();
            m_telemetryContext.run();
        }};
        m_dataThread = std::thread{[this] {
            m_data.run();
        }};
        logEvent(log_level::Info, "started", {{"instance", m_settings.instance}, {"availability_zone", m_settings.availabilityZone}});
        return {};
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
        m_finished.wait(false);
        std::this_thread::sleep_for(FarewellTime);
        stop();
        logEvent(log_level::Info, "stopped", {{"instance", m_settings.instance}});
    }

private:
    data_plane_services dataServices()
    {
        data_plane_services services;
        services.announceSelf = [this](const instance_record &record) {
            return m_control.setOwnRecord(record);
        };
        services.rates.sendMessage = [this](const instance_record &to, std::string payload) {
            m_control.send({to.address, to.gossipPort}, datagram_kind::Loans, std::move(payload));
        };
        services.rates.callStore = [this](rights_store_call call) {
            const auto token = call.token;
            if (!m_platform.fromData.trySend(std::move(call))) {
                m_metrics.counterFor("ragwortpin_store_calls_rejected_total").add();
                logEvent(log_level::Warning, "store_call_rejected", {{"token", std::to_string(token)}});
            }
        };
        services.claims = [this](claim_command command) {
            return m_claims.fromData.trySend(std::move(command));
        };
        services.spans = [this](span value) {
            if (!m_spans.trySend(std::move(value))) {
                m_metrics.counterFor("ragwortpin_spans_dropped_total").add();
            }
        };
        services.controlMethods = [this] {
            return m_control.methods();
        };
        services.finished = [this] {
            m_finished.store(true);
            m_finished.notify_all();
        };
        return services;
    }

    platform_duty_outputs platformOutputs()
    {
        return {.headRead =
                    [this](head_reply reply) {
                        m_control.postHeadReply(std::move(reply));
                    },
                .rateReply =
                    [this](rate_reply_event event) {
                        if (!m_data.fromPlatform.trySend(std::move(event))) {
                            logEvent(log_level::Warning, "store_reply_dropped");
                        }
                    }};
    }

    control_callbacks controlCallbacks()
    {
        control_callbacks callbacks;
        callbacks.applyConfiguration = [this](const configuration_content &content) {
            return applyConfiguration(content);
        };
        callbacks.readHead = [this](std::uint64_t revisionInForce) {
            if (!m_platform.fromControl.trySend({revisionInForce})) {
                m_control.postHeadReply({std::make_error_code(std::errc::resource_unavailable_try_again), 0, std::nullopt});
            }
        };
        callbacks.handleLoan = [this](const datagram &received, const peer_address &) {
            sendToData(loan_event{received.sender, received.payload});
        };
        callbacks.membershipChanged = [this](const std::shared_ptr<const membership_view> &view) {
            sendToData(membership_event{view});
        };
        return callbacks;
    }

    admin_services adminServices()
    {
        return {.status =
                    [this] {
                        return status();
                    },
                .announce =
                    [this](target_announcement announcement) {
                        return m_data.fromOperators.trySend(std::move(announcement));
                    },
                .drain =
                    [this] {
                        return m_data.fromOperators.trySend(drain_event{});
                    },
                .reportLoad =
                    [this](target_load load) {
                        m_reportedLoad.store(load.inFlight);
                        return true;
                    }};
    }

    bool applyConfiguration(const configuration_content &content)
    {
        std::error_code error;
        auto value = decodeConfiguration(content.text, error);
        if (!value || value->revision != content.revision) {
            logEvent(log_level::Error, "configuration_malformed", {{"revision", std::to_string(content.revision)}});
            return false;
        }
        const auto problems = checkConfiguration(*value);
        if (!problems.empty()) {
            logEvent(log_level::Error, "configuration_refused", {{"problems", describeProblems(problems)}});
            return false;
        }
        auto index = buildIndex(std::move(*value));
        m_configuration.store(index);
        sendToData(configuration_event{std::move(index)});
        logEvent(log_level::Info, "configuration_in_force", {{"revision", std::to_string(content.revision)}});
        return true;
    }

    /** A full mailbox loses the event: the next membership snapshot or loan message repeats it, and a configuration is retried. */
    void sendToData(control_event event)
    {
        if (!m_data.fromControl.trySend(std::move(event))) {
            m_metrics.counterFor("ragwortpin_control_events_dropped_total").add();
        }
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

    void scheduleSpanFlush()
    {
        m_spanTimer.expires_after(SpanFlushInterval);
        m_spanTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                if (m_exporter) {
                    m_exporter->flush();
                }
                scheduleSpanFlush();
            }
        });
    }

    void stop()
    {
        m_control.stop();
        m_platform.stop();
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
    signing_keys m_keys;
    metrics_registry m_metrics;
    snapshot<configuration_index> m_configuration;
    boost::asio::io_context m_adminContext{1};
    work_guard m_adminWork{m_adminContext.get_executor()};
    boost::asio::io_context m_telemetryContext{1};
    boost::asio::steady_timer m_spanTimer{m_telemetryContext};
    std::unique_ptr<span_exporter> m_exporter;
    mailbox<span> m_spans;
    std::atomic<bool> m_finished{false};
    std::atomic<std::uint32_t> m_reportedLoad{0};
    data_plane m_data;
    platform_duty m_platform;
    claims_duty m_claims;
    control_duty m_control;
    admin_server m_admin;
    std::thread m_dataThread;
    std::thread m_adminThread;
    std::thread m_telemetryThread;
};

node::node(node_settings settings, signing_keys keys)
    : m_duties{std::make_unique<duties>(std::move(settings), std::move(keys))}
{ }

node::~node() = default;

std::string node::start()
{
    return m_duties->start();
}

void node::requestShutdown()
{
    m_duties->requestShutdown();
}

void node::wait()
{
    m_duties->wait();
}

} // namespace ragwortpin
