#include "ragwortpin/peers/forward_gateway.h"

#include "ragwortpin/deadlines/deadlines.h"

#include <algorithm>

namespace ragwortpin {

namespace {

const route *findRouteByName(const configuration_index &index, const std::string &name)
{
    const auto &routes = index.value.routes;
    const auto found = std::lower_bound(routes.begin(), routes.end(), name, [](const route &left, const std::string &right) {
        return left.name < right;
    });
    return found != routes.end() && found->name == name ? &*found : nullptr;
}

} // namespace

forward_gateway::forward_gateway(dispatcher_identity self,
                                 const snapshot<configuration_index> &configuration,
                                 local_runner runLocally,
                                 metrics_registry &metrics)
    : m_self{std::move(self)}
    , m_configuration{configuration}
    , m_runLocally{std::move(runLocally)}
    , m_calls{metrics.counterFor("ragwortpin_forwarded_calls_total{context=\"valid\"}")}
    , m_invalid{metrics.counterFor("ragwortpin_forwarded_calls_total{context=\"invalid\"}")}
{ }

boost::asio::awaitable<http_response> forward_gateway::serve(http_request request, std::shared_ptr<call_control> control)
{
    const auto verified = openContext(toStd(request[toBeast(field::Context)]), m_self.instance, wallClockNow(), m_self.keys);
    if (verified.error) {
        m_invalid.add();
        co_return makeRefusal(refusal_kind::ContextInvalid, outcome::NotRun);
    }
    m_calls.add();
    const auto index = m_configuration.load();
    const auto *definition = index ? findRouteByName(*index, verified.context.route) : nullptr;
    if (definition == nullptr) {
        auto refused
            = refuseCall(index ? refusal_kind::UnknownRoute : refusal_kind::NotReady, outcome::NotRun, verified.context.retryAllowance);
        writeAnswerFields(refused);
        co_return std::move(refused.response);
    }
    removeInternalFields(request);
    removeHopByHopFields(request);
    inbound_call call{.request = std::move(request),
                      .context = verified.context,
                      .definition = *definition,
                      .deadline = deadlineAfter(verified.context.remaining, monotonicNow()),
                      .control = std::move(control)};
    auto answer = co_await m_runLocally(std::move(call));
    writeAnswerFields(answer);
    co_return std::move(answer.response);
}

} // namespace ragwortpin
