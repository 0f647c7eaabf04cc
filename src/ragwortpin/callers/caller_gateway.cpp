#include "ragwortpin/callers/caller_gateway.h"

#include "ragwortpin/identity/credentials.h"
#include "ragwortpin/identity/digest.h"
#include "ragwortpin/retries/allowance.h"
#include "ragwortpin/runtime/logging.h"

#include <algorithm>
#include <charconv>

namespace ragwortpin {

namespace {

constexpr duration OverloadRetryAfter{milliseconds{600}};
constexpr duration NotReadyRetryAfter{milliseconds{500}};
/** Age of the proof above which an unknown route or key may belong to a newer configuration. */
constexpr duration MaxProofAgeForUnknownNames{milliseconds{1500}};
/** Maximum time in milliseconds that a caller may state in its deadline header; a longer or malformed value is ignored. */
constexpr long MaxCallerTimeoutMs{3'600'000};

double drawUnit(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random);
}

/** Returns the pause multiplied by a factor from [0.5, 1.5), so that refused callers do not all return at the same time. */
duration addJitter(duration pause, double random)
{
    return fromSeconds(toSeconds(pause) * (0.5 + random));
}

/** Returns how long the caller waits for the response, or nothing if the header does not hold a usable number of whole milliseconds. */
std::optional<duration> readCallerTimeout(const http_request &request, const std::string &name)
{
    const auto text = toStd(request[name]);
    long value{0};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool usable{parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() && value > 0 && value <= MaxCallerTimeoutMs};
    return usable ? std::optional<duration>{milliseconds{value}} : std::nullopt;
}

/** Finds the route of a request by host, method and target, which are copied as the request is moved later. */
route_match matchRoute(const configuration_index &index, const http_request &request)
{
    return findRoute(index, toStd(request[http::field::host]), toStd(request.method_string()), toStd(request.target()));
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

caller_gateway::caller_gateway(caller_gateway_dependencies services, metrics_registry &metrics, double sampleRatio, std::uint64_t seed)
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
    const std::string requestId{request[m_services.headers.requestId]};
    const std::string callerTimeout{request[m_services.headers.deadline]};
    const auto callControl = control;
    const auto callerService = m_services.ownService ? m_services.ownService() : std::string{};
    auto index = m_services.configuration.load();
    const configuration_use use{index ? index->value.revision : 0, m_services.proofAge ? m_services.proofAge() : std::nullopt};
    auto answer = co_await serveCall(std::move(request), std::move(control), callerService, std::move(index), hop);
    if (answer.refusal) {
        observeRefusal(*answer.refusal);
    }
    const auto elapsed = monotonicNow() - arrived;
    m_latency.record(elapsed);
    logAnswer(answer, hop, use, callerService, requestId, callerTimeout, callControl->cancelled(), elapsed);
    if (hop.trace.sampled) {
        hop.end = wallClockNow();
        hop.httpStatus = answer.response.result_int();
        hop.result = answer.result;
        m_services.spans(std::move(hop));
    }
    co_return toCallerResponse(std::move(answer), m_services.headers.fractionalRetryAfter);
}

void caller_gateway::logAnswer(const call_answer &answer,
                               const span &hop,
                               const configuration_use &use,
                               const std::string &callerService,
                               const std::string &requestId,
                               const std::string &callerTimeout,
                               bool isCallerDisconnected,
                               duration elapsed) const
{
    constexpr unsigned FirstError{400};
    const auto status = answer.response.result_int();
    const auto age = m_services.proofAge ? m_services.proofAge() : std::nullopt;
    const auto index = m_services.configuration.load();
    logDecision(status < FirstError ? log_weight::Ordinary : log_weight::Important,
                "request",
                {{"id", requestId},
                 {"route", hop.route},
                 {"workspace", hop.workspace},
                 {"caller_service", callerService},
                 {"status", std::to_string(status)},
                 {"outcome", std::string{toToken(answer.result)}},
                 {"refusal", answer.refusal ? std::string{describe(*answer.refusal).token} : std::string{}},
                 {"reason", answer.reason},
                 {"instance", answer.instance},
                 {"arrivals", std::to_string(answer.arrivals)},
                 {"caller_wait_ms", callerTimeout},
                 {"elapsed_ms", std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count())},
                 {"caller_gone", isCallerDisconnected ? "true" : "false"},
                 {"revision", std::to_string(use.revision)},
                 {"revision_at_end", std::to_string(index ? index->value.revision : 0)},
                 {"proof_age_at_start_ms", toMilliseconds(use.proofAge)},
                 {"proof_age_ms", toMilliseconds(age)}});
}

void caller_gateway::observeRefusal(refusal_kind kind)
{
    m_refusals[static_cast<std::size_t>(kind)]->add();
}

boost::asio::awaitable<call_answer> caller_gateway::serveCall(http_request request,
                                                              std::shared_ptr<call_control> control,
                                                              std::string callerService,
                                                              std::shared_ptr<const configuration_index> index,
                                                              span &hop)
{
    const auto arrived = monotonicNow();
    if (!index) {
        co_return refuse(refusal_kind::NotReady, NotReadyRetryAfter);
    }
    const auto callerTimeout = readCallerTimeout(request, m_services.headers.deadline);
    removeInternalFields(request);
    removeHopByHopFields(request);
    const auto key = extractApiKey(request);
    const auto match = matchRoute(*index, request);
    if (!match) {
        co_return refuse(*applyProofAge({}, refusal_kind::UnknownRoute), NotReadyRetryAfter);
    }
    const auto &definition = match.definition();
    hop.route = definition.name;
    if (key.exposedInRequestTarget) {
        co_return refuse(refusal_kind::MalformedRequest);
    }
    const auto identity = authenticate(*index, definition, key.secret);
    if (const auto refusal = applyProofAge(identity, identity.refusal)) {
        co_return refuse(*refusal, NotReadyRetryAfter);
    }
    hop.workspace = identity.workspace;
    if (definition.once && !isValidIdempotencyKey(toStd(request["Idempotency-Key"]))) {
        co_return refuse(refusal_kind::IdempotencyKeyMissing);
    }
    const duration limit{std::min<duration>(definition.deadline, callerTimeout.value_or(duration::max()))};
    const bool fromTarget{definition.open && identity.workspace.empty()};
    inbound_call call{.request = std::move(request),
                      .context = {.workspace = identity.workspace,
                                  .route = definition.name,
                                  .service = chooseService(m_splits, definition, drawUnit(m_random)),
                                  .callerService = std::move(callerService),
                                  .rank = effectiveRank(*index, *match.found, identity.workspace),
                                  .depth = fromTarget ? 1U : 0U,
                                  .retryAllowance = DefaultRetryAllowance,
                                  .admitProbability = 1.0,
                                  .remaining = limit,
                                  .trace = hop.trace},
                      .definition = definition,
                      .deadline = arrived + limit,
                      .control = std::move(control)};
    call.callerDeadline = arrived + callerTimeout.value_or(definition.deadline);
    call.definition.service = call.context.service;
    call.requestId = std::string{call.request[m_services.headers.requestId]};
    co_return co_await admitAndRun(std::move(call));
}

boost::asio::awaitable<call_answer> caller_gateway::admitAndRun(inbound_call call)
{
    const bool isTargetCall{call.context.depth > 0};
    if (m_services.isShuttingDown && m_services.isShuttingDown()) {
        // A missing key alone says nothing: callers need none on open routes. The calls of a run that has begun are served.
        const bool belongsToRun{isTargetCall && m_services.mayBeTargetCall && m_services.mayBeTargetCall(call.callerDeadline)};
        if (!belongsToRun) {
            co_return refuse(refusal_kind::Draining, NotReadyRetryAfter);
        }
    }
    if (isTargetCall && m_services.attributeTargetCall) {
        const auto callDeadline = call.callerDeadline;
        call.context.rank = m_services.attributeTargetCall(call.context.route, callDeadline).value_or(call.context.rank);
    }
    if (!m_services.calls.admitNewCall(call)) {
        co_return refuse(refusal_kind::Overloaded, addJitter(OverloadRetryAfter, drawUnit(m_random)));
    }
    const auto &workspace = call.context.workspace;
    if (!workspace.empty()) {
        const auto token = co_await m_services.takeToken(workspace, call.control);
        if (!token.admitted) {
            auto refused = refuse(refusal_kind::RateExceeded, token.retryAfter);
            refused.reason = token.reason;
            co_return refused;
        }
        // The process may have been suspended while the request waited for its token.
        if (isProofExpired()) {
            m_services.returnToken(workspace);
            co_return refuse(refusal_kind::NotReady, NotReadyRetryAfter);
        }
    }
    if (!isTargetCall && m_services.admit && !m_services.admit(call.context.route, call.context.rank)) {
        if (!workspace.empty()) {
            m_services.returnToken(workspace);
        }
        auto refused = refuse(refusal_kind::Overloaded, addJitter(OverloadRetryAfter, drawUnit(m_random)));
        refused.reason = m_services.describeRefusal(call.context.route, call.context.rank);
        co_return refused;
    }
    if (call.definition.once) {
        co_return co_await m_services.runOnce(std::move(call));
    }
    co_return co_await m_services.calls.dispatch(std::move(call));
}

/**
 * Returns the refusal with the age of the configuration proof taken into account. If the proof that the configuration is the newest
 * is too old, keys are not accepted, and an unknown route or key is reported as not ready, since a newer configuration may have it.
 */
std::optional<refusal_kind> caller_gateway::applyProofAge(const authentication &identity, std::optional<refusal_kind> refusal) const
{
    const auto age = m_services.proofAge ? m_services.proofAge() : std::nullopt;
    if (!age) {
        return refusal;
    }
    if (refusal) {
        return *age > MaxProofAgeForUnknownNames ? refusal_kind::NotReady : refusal;
    }
    return !identity.workspace.empty() && isProofExpired() ? std::optional{refusal_kind::NotReady} : std::nullopt;
}

bool caller_gateway::isProofExpired() const
{
    const auto age = m_services.proofAge ? m_services.proofAge() : std::nullopt;
    return age && *age > m_services.maxProofAge;
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
