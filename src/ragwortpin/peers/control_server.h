#ifndef RAGWORTPIN_PEERS_CONTROL_SERVER_H
#define RAGWORTPIN_PEERS_CONTROL_SERVER_H

#include "ragwortpin/peers/control_rpc_jsonrpc.h"
#include "ragwortpin/peers/datagram.h"

#include <string>
#include <string_view>

namespace ragwortpin {

/** HTTP path of control calls on the peers port of a node. */
inline constexpr std::string_view ControlPath{"/control"};

/** HTTP answer to a control call. */
struct control_response
{
    unsigned httpStatus{200};
    std::string body;
    /** Value of the header field ControlSignatureHeader. */
    std::string signature;

    bool operator==(const control_response &) const = default;
};

/**
 * Answers a control call. The signature is the value of the header field ControlSignatureHeader; calls whose body is not signed
 * with an accepted secret are refused with status 403. Thread-safe if the methods are.
 */
[[nodiscard]] control_response
answerControlCall(const control_methods &methods, const datagram_secrets &secrets, const std::string &body, std::string_view signature);

} // namespace ragwortpin

#endif
