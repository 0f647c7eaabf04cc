#include "ragwortpin/targets/egress_gateway.h"

#include "ragwortpin/deadlines/deadlines.h"
#include "ragwortpin/identity/credentials.h"

#include <algorithm>

namespace ragwortpin {

namespace {

request_context childContext(const in_flight_request &parent, const route &definition, unsigned grant)
{
    request_context context{parent.context};
    context.route = definition.name;
    context.service = definition.service;
    context.depth = parent.context.depth + 1;
    context.retryAllowance = grant;
    context.trace = makeChildSpan(parent.context.trace);
    return context;
}

time_point childDeadline(const in_flight_request &parent, const route &definition, time_point now)
{
    const duration remaining{remainingForCallee(parent.deadline, now)};
    return deadlineAfter(std::min<duration>(remaining, definition.deadline), now);
}

} // namespace

egress_gateway::egress_gateway(caller_gateway_dependencies services,
                               caller_gateway &callerGateway,
                               const in_flight_table &inFlight,
                               metrics_registry &metrics)
    : m_services{std::move(services)}
    , m_callerGateway{callerGateway}
    , m_inFlight{inFlight}
    , m_attributedCalls{metrics.counterFor("ragwortpin_egress_calls_total{identity=\"in_flight\"}")}
    , m_unattributedCalls{metrics.counterFor("ragwortpin_egress_calls_total{identity=\"none\"}")}
{ }

boost::asio::awaitable<http_response> egress_gateway::serve(http_request request, std::shared_ptr<call_control> control)
{
    auto parent = m_inFlight.find(toStd(request[toBeast(field::Request)]));
    if (!parent) {
        m_unattributedCalls.add();
        co_return co_await m_callerGateway.serve(std::move(request), std::move(control));
    }
    m_attributedCalls.add();
    beginCall(*parent, control, monotonicNow());
    auto answer = co_await serveCall(std::move(request), control, parent);
    endCall(*parent, monotonicNow());
    if (answer.refusal) {
        m_callerGateway.observeRefusal(*answer.refusal);
    }
    co_return toCallerResponse(std::move(answer));
}

boost::asio::awaitable<call_answer>
egress_gateway::serveCall(http_request request, std::shared_ptr<call_control> control, std::shared_ptr<in_flight_request> parent)
{
    const auto index = m_services.configuration.load();
    removeInternalFields(request);
    removeHopByHopFields(request);
    const auto key = extractApiKey(request);
    const auto host = toStd(request[http::field::host]);
    const auto match = index ? findRoute(*index, host, toStd(request.method_string()), toStd(request.target())) : route_match{};
    if (!match || key.exposedInRequestTarget) {
        co_return refuseCall(match ? refusal_kind::MalformedRequest : refusal_kind::UnknownRoute, outcome::NotRun, 0);
    }
    const auto &definition = match.definition();
    if (definition.once && !isValidIdempotencyKey(toStd(request["Idempotency-Key"]))) {
        co_return refuseCall(refusal_kind::IdempotencyKeyMissing, outcome::NotRun, 0);
    }
    const auto now = monotonicNow();
    const auto grant = grantToCallee(parent->escrow);
    const auto startedAtWallClock = wallClockNow();
    inbound_call call{.request = std::move(request),
                      .context = childContext(*parent, definition, grant),
                      .definition = definition,
                      .deadline = childDeadline(*parent, definition, now),
                      .control = std::move(control)};
    call.definition.service = chooseService(m_splits, definition, 0.0);
    call.context.service = call.definition.service;
    const auto trace = call.context.trace;
    call_answer answer;
    if (definition.once) {
        answer = co_await m_services.runOnce(std::move(call));
    } else {
        answer = co_await m_services.calls.dispatch(std::move(call));
    }
    settleGrant(parent->escrow, grant, answer.unusedAllowance);
    parent->level = strictest(parent->level, answer.level);
    if (trace.sampled) {
        m_services.spans(span{.trace = trace,
                              .parentSpanId = parent->context.trace.spanId,
                              .name = "egress",
                              .route = definition.name,
                              .workspace = parent->context.workspace,
                              .start = startedAtWallClock,
                              .end = wallClockNow(),
                              .httpStatus = answer.response.result_int(),
                              .result = answer.result});
    }
    co_return answer;
}

} // namespace ragwortpin
