#include "ragwortpin/peers/forward_gateway.h"

#include "ragwortpin/deadlines/deadlines.h"

#include <algorithm>

namespace ragwortpin {

namespace {

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

forward_gateway::forward_gateway(dispatcher_identity self, local_runner runLocally, metrics_registry &metrics)
    : m_self{std::move(self)}
    , m_runLocally{std::move(runLocally)}
    , m_calls{metrics.counterFor("ragwortpin_forwarded_calls_total{context=\"valid\"}")}
    , m_invalid{metrics.counterFor("ragwortpin_forwarded_calls_total{context=\"invalid\"}")}
{ }

boost::asio::awaitable<http_response> forward_gateway::serve(http_request request, std::shared_ptr<call_control> control)
{
    const auto verified = verifyContext(toStd(request[toBeast(field::Context)]), m_self.instance, wallClockNow(), m_self.keys);
    if (verified.error) {
        m_invalid.add();
        co_return makeRefusalResponse(refusal_kind::ContextInvalid, outcome::NotRun);
    }
    m_calls.add();
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

} // namespace ragwortpin
