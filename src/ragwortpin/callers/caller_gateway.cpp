#include "ragwortpin/callers/caller_gateway.h"

#include "ragwortpin/identity/credentials.h"
#include "ragwortpin/identity/digest.h"
#include "ragwortpin/retries/allowance.h"

namespace ragwortpin {

namespace {

constexpr duration OverloadPause{seconds{1}};

/** Method and path, copied out of a request before it is moved on. */
route_match matchRoute(const configuration_index &index, const http_request &request)
{
    return findRoute(index, toStd(request.method_string()), toStd(request.target()));
}

} // namespace

authentication authenticate(const configuration_index &index, const route &definition, const std::string &secret)
{
    const auto *key = secret.empty() ? nullptr : findKey(index, sha256Hex(secret));
    if (key != nullptr) {
        return {std::nullopt, workspaceOf(index, *key).name};
    }
    if (definition.open) {
        return {};
    }
    return {secret.empty() ? refusal_kind::KeyMissing : refusal_kind::KeyUnknown, {}};
}

caller_gateway::caller_gateway(caller_services services, metrics_registry &metrics, double sampleRatio, std::uint64_t seed)
    : m_services{std::move(services)}
    , m_sampleRatio{sampleRatio}
    , m_random{seed}
    , m_refusals{}
    , m_requests{metrics.counterFor("ragwortpin_requests_total")}
    , m_latency{metrics.distributionFor("ragwortpin_request_seconds")}
{
    for (const auto &description : RefusalDescriptions) {
        const auto name = "ragwortpin_refusals_total{kind=\"" + std::string{description.token} + "\"}";
        m_refusals[static_cast<std::size_t>(description.kind)] = &metrics.counterFor(name);
    }
}

boost::asio::awaitable<http_response> caller_gateway::serve(http_request request, std::shared_ptr<call_control> control)
{
    const auto arrived = monotonicNow();
    m_requests.add();
    span hop;
    hop.name = "caller";
    hop.start = wallClockNow();
    hop.trace = startTrace(request, hop.parentSpanId);
    auto answer = co_await serveCall(std::move(request), std::move(control), hop);
    if (answer.refusal) {
        observeRefusal(*answer.refusal);
    }
    m_latency.record(monotonicNow() - arrived);
    if (hop.trace.sampled) {
        hop.end = wallClockNow();
        hop.httpStatus = answer.response.result_int();
        hop.result = answer.result;
        m_services.spans(std::move(hop));
    }
    co_return toCallerResponse(std::move(answer));
}

void caller_gateway::observeRefusal(refusal_kind kind)
{
    m_refusals[static_cast<std::size_t>(kind)]->add();
}

boost::asio::awaitable<call_answer> caller_gateway::serveCall(http_request request, std::shared_ptr<call_control> control, span &hop)
{
    const auto index = m_services.configuration.load();
    if (!index) {
        co_return refuse(refusal_kind::NotReady, seconds{1});
    }
    removeInternalFields(request);
    removeHopByHopFields(request);
    const auto key = extractApiKey(request);
    const auto match = matchRoute(*index, request);
    if (!match) {
        co_return refuse(refusal_kind::UnknownRoute);
    }
    const auto &definition = match.definition();
    hop.route = definition.name;
    if (key.exposedInTarget) {
        co_return refuse(refusal_kind::MalformedRequest);
    }
    const auto identity = authenticate(*index, definition, key.secret);
    if (identity.refusal) {
        co_return refuse(*identity.refusal);
    }
    hop.workspace = identity.workspace;
    if (definition.once && !isValidIdempotencyKey(toStd(request["Idempotency-Key"]))) {
        co_return refuse(refusal_kind::IdempotencyKeyMissing);
    }
    inbound_call call{.request = std::move(request),
                      .context = {.workspace = identity.workspace,
                                  .route = definition.name,
                                  .rank = match.rank(),
                                  .depth = 0,
                                  .retryAllowance = DefaultRetryAllowance,
                                  .admitProbability = 1.0,
                                  .remaining = definition.deadline,
                                  .trace = hop.trace},
                      .definition = definition,
                      .deadline = monotonicNow() + definition.deadline,
                      .control = std::move(control)};
    if (!m_services.calls.admitNewCall(call)) {
        co_return refuse(refusal_kind::Overloaded, OverloadPause);
    }
    if (!identity.workspace.empty()) {
        const auto token = co_await m_services.takeToken(identity.workspace, call.control);
        if (!token.admitted) {
            co_return refuse(refusal_kind::RateExceeded, token.retryAfter);
        }
    }
    if (definition.once) {
        co_return co_await m_services.runOnce(std::move(call));
    }
    co_return co_await m_services.calls.dispatch(std::move(call));
}

call_answer caller_gateway::refuse(refusal_kind kind, duration retryAfter)
{
    return refuseCall(kind, outcome::NotRun, 0, retryAfter);
}

trace_context caller_gateway::startTrace(const http_request &request, std::string &parentSpanId)
{
    const auto received = parseTraceparent(toStd(request["traceparent"]));
    if (received) {
        parentSpanId = received->spanId;
        return makeChildSpan(*received);
    }
    return makeTrace(std::uniform_real_distribution<double>{0.0, 1.0}(m_random) < m_sampleRatio);
}

} // namespace ragwortpin
