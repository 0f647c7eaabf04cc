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

/** Who a request runs for, or why it does not run. */
struct authentication
{
    std::optional<refusal_kind> refusal;
    /** Empty for requests without a key on open routes. */
    std::string workspace;
};

/**
 * Establishes the workspace of a request from its key, by the configuration given. On routes that are open to all, a request
 * without a valid key runs for no workspace.
 */
[[nodiscard]] authentication authenticate(const configuration_index &index, const route &definition, const std::string &secret);

/** Whether a request may run now under the rate of its workspace. */
struct rate_answer
{
    bool admitted{false};
    duration retryAfter{0};
    /** What decided a refusal, for the log. */
    std::string reason{};
};
/** Takes one token of a workspace; waits for it a short time if needed. */
using rate_limiter = std::function<boost::asio::awaitable<rate_answer>(std::string workspace, std::shared_ptr<call_control> control)>;

/** Runs a call of a once-route under a claim on its Idempotency-Key. */
using once_runner = std::function<boost::asio::awaitable<call_answer>(inbound_call)>;

/** What the gateway uses of the rest of the node. */
struct caller_services
{
    const snapshot<configuration_index> &configuration;
    dispatcher &calls;
    rate_limiter takeToken;
    once_runner runOnce;
    span_sink spans;
    header_names headers;
    /** Age of the proof that the configuration in force is the newest; nothing where no proof is asked for. */
    std::function<std::optional<duration>()> proofAge;
    /** Age from which on keys are not accepted any more. */
    duration longestProofAge{duration::max()};
    /** Service of the target beside this node. */
    std::function<std::string()> ownService{};
    /** Decides whether a request from outside may pass, by what the services behind its route can do. */
    std::function<bool(std::string_view route, unsigned rank)> admit{};
    /** What decided the last refusal of admit(), for the log. */
    std::function<std::string(std::string_view route, unsigned rank)> describePlan{};
    /** Gives a token back whose request was refused for another reason. */
    std::function<void(const std::string &workspace)> returnToken{};
    /** Whether requests from outside come too late before the end of the process to be finished. Calls of the target still run. */
    std::function<bool()> isEnding{};
    /** Told of each call that the target beside this node makes; returns the rank of the run that makes it where that is known. */
    std::function<std::optional<unsigned>(std::string_view route, time_point deadline)> observeTargetCall{};
};

/**
 * First hop of requests from outside: checks the key against the newest configuration for every request, removes it, takes a
 * token of the workspace's rate and dispatches the call. Data thread only.
 */
class caller_gateway
{
public:
    caller_gateway(caller_services services, metrics_registry &metrics, double sampleRatio, std::uint64_t seed);

    /** Serves one request. */
    [[nodiscard]] boost::asio::awaitable<http_response> serve(http_request request, std::shared_ptr<call_control> control);

    /** Counts a request that the listener refused before it was whole. */
    void observeRefusal(refusal_kind kind);

private:
    [[nodiscard]] boost::asio::awaitable<call_answer> serveCall(http_request request, std::shared_ptr<call_control> control, span &hop);
    [[nodiscard]] boost::asio::awaitable<call_answer> admitAndRun(inbound_call call);
    void logAnswer(const call_answer &answer,
                   const span &hop,
                   const std::string &requestId,
                   const std::string &callerWait,
                   bool isCallerGone,
                   duration elapsed) const;
    [[nodiscard]] call_answer refuse(refusal_kind kind, duration retryAfter = duration::zero());
    [[nodiscard]] std::optional<refusal_kind> judgeProof(const authentication &identity, std::optional<refusal_kind> refusal) const;
    [[nodiscard]] trace_context startTrace(const http_request &request, std::string &parentSpanId);

    caller_services m_services;
    double m_sampleRatio;
    std::mt19937_64 m_random;
    split_state m_splits;
    std::array<counter *, RefusalDescriptions.size()> m_refusals;
    counter &m_requests;
    distribution &m_latency;
};

} // namespace ragwortpin

#endif
