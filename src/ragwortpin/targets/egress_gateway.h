#ifndef RAGWORTPIN_TARGETS_EGRESS_GATEWAY_H
#define RAGWORTPIN_TARGETS_EGRESS_GATEWAY_H

#include "ragwortpin/callers/caller_gateway.h"
#include "ragwortpin/targets/in_flight.h"
#include "ragwortpin/targets/target_gateway.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace ragwortpin {

/**
 * Serves the calls that the node's own target makes. A call that carries the token of an in-flight request inherits the request
 * context, with its workspace and importance, and is limited by the deadline and the retry allowance of that request. Any other
 * call is passed to the caller gateway, which serves it like a call from outside.
 */
class egress_gateway
{
public:
    egress_gateway(caller_gateway_dependencies services,
                   caller_gateway &callerGateway,
                   const in_flight_table &inFlight,
                   metrics_registry &metrics);

    /** Serves one call that the target makes. */
    [[nodiscard]] boost::asio::awaitable<http_response> serve(http_request request, std::shared_ptr<call_control> control);

private:
    [[nodiscard]] boost::asio::awaitable<call_answer>
    serveCall(http_request request, std::shared_ptr<call_control> control, std::shared_ptr<in_flight_request> parent);

    caller_gateway_dependencies m_services;
    caller_gateway &m_callerGateway;
    const in_flight_table &m_inFlight;
    split_state m_splits;
    counter &m_attributedCalls;
    counter &m_unattributedCalls;
};

} // namespace ragwortpin

#endif
