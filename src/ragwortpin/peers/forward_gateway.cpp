#include "ragwortpin/peers/forward_gateway.h"

#include "ragwortpin/deadlines/deadlines.h"
#include "ragwortpin/runtime/logging.h"

#include <algorithm>

namespace ragwortpin {

namespace {

/** Age from which on the arrival of a forwarded call is logged as late. */
constexpr milliseconds LateCallAge{500};

/**
 * Returns a route with the members that the last hop needs, taken from the request context. The first hop chose the route by its
 * own configuration, whose revision may differ from the one in force here.
 */
route toRoute(const request_context &context)
{
    route definition;
    definition.name = context.route;
    definition.service = context.service;
    return definition;
}

} // namespace

forward_gateway::forward_gateway(dispatcher_identity self, local_runner runLocally, std::string requestIdField, metrics_registry &metrics)
    : m_self{std::move(self)}
    , m_runLocally{std::move(runLocally)}
    , m_requestIdField{std::move(requestIdField)}
    , m_calls{metrics.counterFor("ragwortpin_forwarded_calls_total{context=\"valid\"}")}
    , m_invalid{metrics.counterFor("ragwortpin_forwarded_calls_total{context=\"invalid\"}")}
    , m_age{metrics.distributionFor("ragwortpin_forwarded_call_age_seconds")}
{ }

boost::asio::awaitable<http_response> forward_gateway::serve(http_request request, std::shared_ptr<call_control> control)
{
    const auto verified = verifyContext(toStd(request[toBeast(field::Context)]), m_self.instance, wallClockNow(), m_self.keys);
    if (verified.error) {
        m_invalid.add();
        co_return makeRefusalResponse(refusal_kind::ContextInvalid, outcome::NotRun);
    }
    m_calls.add();
    observeAge(request, verified);
    removeInternalFields(request);
    removeHopByHopFields(request);
    inbound_call call{.request = std::move(request),
                      .context = verified.context,
                      .definition = toRoute(verified.context),
                      .deadline = deadlineAfter(verified.context.remaining, monotonicNow()),
                      .control = std::move(control)};
    auto answer = co_await m_runLocally(std::move(call));
    writeAnswerFields(answer);
    co_return std::move(answer.response);
}

/** Records the time from the signature at the sending node until the call is read here, and logs calls that waited long. */
void forward_gateway::observeAge(const http_request &request, const context_verification &verified)
{
    m_age.record(std::max(microseconds{0}, verified.age));
    if (verified.age < LateCallAge) {
        return;
    }
    logDecision(log_weight::Ordinary,
                "forwarded_call_late",
                {{"id", std::string{request[m_requestIdField]}},
                 {"route", verified.context.route},
                 {"age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(verified.age).count())},
                 {"left_when_sent_ms", std::to_string(std::chrono::duration_cast<milliseconds>(verified.context.remaining).count())}});
}

} // namespace ragwortpin
