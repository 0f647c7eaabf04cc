#include "ragwortpin/peers/signature.h"

#include "ragwortpin/identity/digest.h"

namespace ragwortpin {

namespace {

bool isSignedWith(std::string_view body, std::string_view signature, std::string_view secret)
{
    if (secret.empty()) {
        return false;
    }
    return constantTimeEqual(computeSignature(body, secret), signature);
}

} // namespace

std::string computeSignature(std::string_view body, std::string_view secret)
{
    return toHex(hmacSha256(secret, body));
}

bool hasValidSignature(std::string_view body, std::string_view signature, const datagram_secrets &secrets)
{
    return isSignedWith(body, signature, secrets.current) || isSignedWith(body, signature, secrets.previous);
}

} // namespace ragwortpin
