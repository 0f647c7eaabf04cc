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

/** Result of postControlCall(): an error, or the body of the answer if there is no error. */
struct control_call_result
{
    std::error_code error;
    std::string body;
};

/**
 * Posts a signed control call to the peers port of a node and verifies the signature of the answer. Blocks until the answer has
 * been received or the timeout has expired. Fails with PeerTimeout, PeerUnreachable, or PeerAnswerInvalid if the status is not
 * 200 or the signature is not valid.
 */
[[nodiscard]] control_call_result
postControlCall(const peer_address &peer, const datagram_secrets &secrets, const std::string &body, duration timeout);

/**
 * Fetches configuration content from a peer, as a patch on the request's base revision. Blocks until the answer has been received
 * or the timeout has expired; errors are reported in the reply.
 */
[[nodiscard]] pull_reply pullConfiguration(const pull_request &request, const datagram_secrets &secrets, duration timeout);

/** Result of fetchStatus(): an error, or the status if there is no error. */
struct fetch_status_result
{
    std::error_code error;
    status_answer status;
};

/** Fetches the status of a peer. Blocks until the answer has been received or the timeout has expired. */
[[nodiscard]] fetch_status_result fetchStatus(const peer_address &peer, const datagram_secrets &secrets, duration timeout);

} // namespace ragwortpin

#endif
