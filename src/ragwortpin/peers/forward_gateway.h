#ifndef RAGWORTPIN_PEERS_FORWARD_GATEWAY_H
#define RAGWORTPIN_PEERS_FORWARD_GATEWAY_H

#include "ragwortpin/dispatch/call.h"
#include "ragwortpin/dispatch/dispatcher.h"
#include "ragwortpin/runtime/metrics.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace ragwortpin {

/**
 * Serves calls that other nodes forward to this node's target. Calls without a valid signed context are refused with
 * ContextInvalid. Used by the data thread only.
 */
class forward_gateway
{
public:
    forward_gateway(dispatcher_identity self, local_runner runLocally, std::string requestIdField, metrics_registry &metrics);

    /** Serves one forwarded call. */
    [[nodiscard]] boost::asio::awaitable<http_response> serve(http_request request, std::shared_ptr<call_control> control);

private:
    void observeAge(const http_request &request, const context_verification &verified);

    dispatcher_identity m_self;
    local_runner m_runLocally;
    std::string m_requestIdField;
    counter &m_calls;
    counter &m_invalid;
    distribution &m_age;
};

} // namespace ragwortpin

#endif
