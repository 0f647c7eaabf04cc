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
 * Serves the calls that the node's own target makes. A call that names an in-flight request runs for the same workspace, at
 * the same importance, within its deadline and retry allowance. Any other call is served as one from outside.
 */
class egress_gateway
{
public:
    egress_gateway(caller_gateway_dependencies services,
                   caller_gateway &outside,
                   const in_flight_table &inFlight,
                   metrics_registry &metrics);

    /** Serves one call of the target. */
    [[nodiscard]] boost::asio::awaitable<http_response> serve(http_request request, std::shared_ptr<call_control> control);

private:
    [[nodiscard]] boost::asio::awaitable<call_answer>
    serveCall(http_request request, std::shared_ptr<call_control> control, std::shared_ptr<in_flight_request> parent);

    caller_gateway_dependencies m_services;
    caller_gateway &m_outside;
    const in_flight_table &m_inFlight;
    split_state m_splits;
    counter &m_calls;
    counter &m_unattributed;
};

} // namespace ragwortpin

#endif
