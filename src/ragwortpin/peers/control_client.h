#ifndef RAGWORTPIN_PEERS_CONTROL_CLIENT_H
#define RAGWORTPIN_PEERS_CONTROL_CLIENT_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/membership/message.h"
#include "ragwortpin/peers/control_rpc_jsonrpc.h"
#include "ragwortpin/peers/datagram.h"
#include "ragwortpin/spread/state.h"

#include <string>
#include <system_error>

namespace ragwortpin {

/** Result of a control call: an error, or the body of the answer. */
struct control_result
{
    std::error_code error;
    std::string body;
};

/** Posts a signed control call to a peer and blocks until the answer, whose signature is verified, or the timeout. */
[[nodiscard]] control_result
postControlCall(const peer_address &peer, const datagram_secrets &secrets, const std::string &body, duration timeout);

/** Asks a peer for content and blocks until the answer or the timeout. */
[[nodiscard]] pull_reply pullConfiguration(const pull_request &request, const datagram_secrets &secrets, duration timeout);

/** Result of asking a peer for its status. */
struct status_result
{
    std::error_code error;
    status_answer status;
};

/** Asks a peer for its status and blocks until the answer or the timeout. */
[[nodiscard]] status_result fetchStatus(const peer_address &peer, const datagram_secrets &secrets, duration timeout);

} // namespace ragwortpin

#endif
