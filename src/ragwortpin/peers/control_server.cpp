#include "ragwortpin/peers/control_server.h"

#include "ragwortpin/peers/signature.h"

namespace ragwortpin {

namespace {

constexpr unsigned HttpOk{200};
constexpr unsigned HttpForbidden{403};
constexpr const char *Refusal{"The call is not signed with an accepted secret; give all nodes the same secrets.\n"};

} // namespace

control_response
answerControlCall(const control_methods &methods, const datagram_secrets &secrets, const std::string &body, std::string_view signature)
{
    if (!hasValidSignature(body, signature, secrets)) {
        return {HttpForbidden, Refusal, {}};
    }
    auto answer = processControlCall(methods, body);
    auto answerSignature = computeSignature(answer, secrets.current);
    return {HttpOk, std::move(answer), std::move(answerSignature)};
}

} // namespace ragwortpin
