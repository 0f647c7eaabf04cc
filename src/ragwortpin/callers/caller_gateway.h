#ifndef RAGWORTPIN_CALLERS_CALLER_GATEWAY_H
#define RAGWORTPIN_CALLERS_CALLER_GATEWAY_H

#include "ragwortpin/callers/fwd.h"
#include "ragwortpin/callers/split.h"
#include "ragwortpin/config/lookup.h"
#include "ragwortpin/dispatch/call.h"
#include "ragwortpin/dispatch/dispatcher.h"
#include "ragwortpin/http/call_control.h"
#include "ragwortpin/http/header_names.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/runtime/snapshot.h"
#include "ragwortpin/telemetry/span.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace ragwortpin {

/** Workspace that a request runs for, or the reason why it is refused. */
struct authentication
{
    std::optional<refusal_kind> refusal;
    /** Empty for requests without a valid key on open routes, and for refused ones. */
    std::string workspace;
};

/**
 * Determines the workspace of a request from its API key according to the given configuration. On open routes, a request without
 * a valid key is accepted and runs for no workspace.
 */
[[nodiscard]] authentication authenticate(const configuration_index &index, const route &definition, const std::string &secret);

/** Configuration by which a request was handled, for the log. */
struct configuration_use
{
    /** Revision of the configuration; 0 if there was none. */
    std::uint64_t revision{0};
    /** Age of its proof when the request arrived; empty if no proof is required. */
    std::optional<duration> proofAge;
};

/** Result of applying the rate limit of a workspace to a request. */
struct rate_limit_result
{
    bool admitted{false};
    duration retryAfter{0};
    /** Reason for a refusal, for the log. */
    std::string reason{};
};
/** Takes one rate limit token of a workspace, waiting a short time for it if necessary. */
using rate_limiter = std::function<boost::asio::awaitable<rate_limit_result>(std::string workspace, std::shared_ptr<call_control> control)>;

/** Runs a call of a route marked once, under a claim on its Idempotency-Key. */
using once_runner = std::function<boost::asio::awaitable<call_answer>(inbound_call)>;

/** Services of the node that the gateway depends on. */
struct caller_gateway_dependencies
{
    const snapshot<configuration_index> &configuration;
    dispatcher &calls;
    rate_limiter takeToken;
    once_runner runOnce;
    span_sink spans;
    header_names headers;
    /** Returns the age of the proof that the configuration in force is the newest; nothing if no proof is required. */
    std::function<std::optional<duration>()> proofAge;
    /** Age of the proof above which API keys are no longer accepted. */
    duration maxProofAge{duration::max()};
    /** Returns the service of this node's own target. */
    std::function<std::string()> ownService{};
    /** Returns whether a request from outside is admitted, given the capacity of the services behind its route. */
    std::function<bool(std::string_view route, unsigned rank)> admit{};
    /** Returns the reason for the last refusal of admit(), for the log. */
    std::function<std::string(std::string_view route, unsigned rank)> describeRefusal{};
    /** Returns the token of a request that was refused for another reason than the rate limit. */
    std::function<void(const std::string &workspace)> returnToken{[](const std::string &) {}};
    /** Returns whether requests from outside arrive too late before the process ends to be finished. Calls of the target still run. */
    std::function<bool()> isShuttingDown{};
    /** Called for each call that this node's own target makes. Returns the rank of the run that makes the call, if known. */
    std::function<std::optional<unsigned>(std::string_view route, time_point deadline)> attributeTargetCall{};
    /** Returns whether a call with the given deadline may be one of a run at the target. */
    std::function<bool(time_point deadline)> mayBeTargetCall{};
};

/**
 * First hop of requests from outside. For every request, checks the API key against the newest configuration, removes the key from
 * the request, takes a token of the workspace's rate limit and dispatches the call. Must only be used on the data thread.
 */
class caller_gateway
{
public:
    caller_gateway(caller_gateway_dependencies services, metrics_registry &metrics, double sampleRatio, std::uint64_t seed);

    /** Serves one request and returns the response for the caller. */
    [[nodiscard]] boost::asio::awaitable<http_response> serve(http_request request, std::shared_ptr<call_control> control);

    /** Counts a refused request, including one that the listener refused before it was completely received. */
    void observeRefusal(refusal_kind kind);

private:
    [[nodiscard]] boost::asio::awaitable<call_answer> serveCall(http_request request,
                                                                std::shared_ptr<call_control> control,
                                                                std::string callerService,
                                                                std::shared_ptr<const configuration_index> index,
                                                                span &hop);
    [[nodiscard]] boost::asio::awaitable<call_answer> admitAndRun(inbound_call call);
    void logAnswer(const call_answer &answer,
                   const span &hop,
                   const configuration_use &use,
                   const std::string &callerService,
                   const std::string &requestId,
                   const std::string &callerTimeout,
                   bool isCallerDisconnected,
                   duration elapsed) const;
    [[nodiscard]] call_answer refuse(refusal_kind kind, duration retryAfter = duration::zero());
    [[nodiscard]] std::optional<refusal_kind> applyProofAge(const authentication &identity, std::optional<refusal_kind> refusal) const;
    /** Returns whether the proof of the configuration is too old to accept API keys. */
    [[nodiscard]] bool isProofExpired() const;
    [[nodiscard]] trace_context startTrace(const http_request &request, std::string &parentSpanId);

    caller_gateway_dependencies m_services;
    double m_sampleRatio;
    std::mt19937_64 m_random;
    split_state m_splits;
    std::array<counter *, RefusalDescriptions.size()> m_refusals;
    counter &m_requests;
    distribution &m_latency;
};

} // namespace ragwortpin

#endif
