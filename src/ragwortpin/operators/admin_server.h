#ifndef RAGWORTPIN_OPERATORS_ADMIN_SERVER_H
#define RAGWORTPIN_OPERATORS_ADMIN_SERVER_H

#include "ragwortpin/http/server.h"
#include "ragwortpin/membership/view.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/targets/assignment.h"
#include "ragwortpin/targets/target_gateway.h"

#include <cstdint>
#include <functional>
#include <string>

namespace ragwortpin {

/** State of a node as reported by GET /status. */
struct node_status
{
    std::string instance;
    std::string availabilityZone;
    std::string service;
    instance_state state{instance_state::Starting};
    /** Revision of the configuration in force; 0 when there is none. */
    std::uint64_t revision{0};
    /** Sentence that says whether a configuration is in force and, if not, what to do about it. */
    std::string configuration;
    /** Number of instances that the membership protocol considers alive. */
    std::size_t instances{0};

    bool operator==(const node_status &) const = default;
};

/** Load reported by a target with POST /target/load. Exported as a metric only. */
struct target_load
{
    std::uint32_t inFlight{0};
    std::uint32_t slots{0};

    bool operator==(const target_load &) const = default;
};

/** Callbacks into the node that the admin listener uses. They are called on the listener's thread and must not block. */
struct admin_callbacks
{
    std::function<node_status()> status;
    /** Returns why the announcement is refused; see announcement_errc. After NodeBusy the target sends it again. */
    std::function<std::error_code(target_announcement)> announce;
    /** drain, depart and reportLoad return false when the node cannot queue the message; the target then sends it again. */
    std::function<bool()> drain;
    std::function<bool(target_departure)> depart{};
    /**
     * Waits until the drains and departures that were passed on before are stored, so that a restart of the node does not forget them. A
     * target is told only then that its leaving is known. Returns DepartureNotStored after a timeout; the target then sends it again.
     */
    std::function<boost::asio::awaitable<std::error_code>()> confirmDepartures{};
    /** Returns whether the node is ready to receive calls. */
    std::function<bool()> isReady{};
    std::function<bool(target_load)> reportLoad;
};

/**
 * HTTP listener for operators and for the node's own target. It serves GET requests for /healthz, /readyz, /metrics and
 * /status, and POST requests for /target/announce and /target/load (with a JSON body) and /target/drain.
 */
class admin_server
{
public:
    admin_server(boost::asio::io_context &context, admin_callbacks services, const metrics_registry &metrics);

    /** Binds to the local endpoint and starts to accept connections. Returns the error when that fails. */
    [[nodiscard]] boost::system::error_code listen(const endpoint &local);

    /** Stops accepting connections and closes idle ones. */
    void close();

    /** Returns the response to a request. */
    [[nodiscard]] http_response handleRequest(const http_request &request) const;

private:
    [[nodiscard]] http_response handleGet(std::string_view path) const;
    [[nodiscard]] http_response handlePost(std::string_view path, const std::string &body) const;

    admin_callbacks m_services;
    const metrics_registry &m_metrics;
    http_server m_server;
};

/** Returns the name of an instance state: starting, ready, draining or gone. */
[[nodiscard]] std::string_view toToken(instance_state state) noexcept;

} // namespace ragwortpin

#endif
