#ifndef RAGWORTPIN_OPERATORS_ADMIN_SERVER_H
#define RAGWORTPIN_OPERATORS_ADMIN_SERVER_H

#include "ragwortpin/http/server.h"
#include "ragwortpin/membership/view.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/targets/target_gateway.h"

#include <cstdint>
#include <functional>
#include <string>

namespace ragwortpin {

/** What a node says of itself at /status. */
struct node_status
{
    std::string instance;
    std::string availabilityZone;
    std::string service;
    instance_state state{instance_state::Starting};
    /** Revision of the configuration in force; 0 for none. */
    std::uint64_t revision{0};
    /** Whether there is a configuration, and the remedy if not. */
    std::string configuration;
    /** Instances believed alive. */
    std::size_t instances{0};

    bool operator==(const node_status &) const = default;
};

/** Load that a target reports of itself: a hint, shown as a metric. */
struct target_load
{
    std::uint32_t inFlight{0};
    std::uint32_t slots{0};

    bool operator==(const target_load &) const = default;
};

/** What the admin listener uses of the node. Called on its thread; none may block. */
struct admin_services
{
    std::function<node_status()> status;
    /** Each returns false when the node cannot take the message now; the target repeats it. */
    std::function<bool(target_announcement)> announce;
    std::function<bool()> drain;
    std::function<bool(target_departure)> depart{};
    /** Whether callers may be sent here. */
    std::function<bool()> isReady{};
    std::function<bool(target_load)> reportLoad;
};

/**
 * Listener for operators and for the node's own target: /healthz, /readyz, /metrics and /status by GET; /target/announce,
 * /target/drain and /target/load by POST with a JSON body.
 */
class admin_server
{
public:
    admin_server(boost::asio::io_context &context, admin_services services, const metrics_registry &metrics);

    /** Binds and starts. */
    [[nodiscard]] boost::system::error_code listen(const endpoint &local);

    /** Stops accepting. */
    void close();

    /** Answers one request. */
    [[nodiscard]] http_response answer(const http_request &request) const;

private:
    [[nodiscard]] http_response answerGet(std::string_view path) const;
    [[nodiscard]] http_response answerPost(std::string_view path, const std::string &body) const;

    admin_services m_services;
    const metrics_registry &m_metrics;
    http_server m_server;
};

/** Name of an instance state: starting, ready, draining or gone. */
[[nodiscard]] std::string_view toToken(instance_state state) noexcept;

} // namespace ragwortpin

#endif
