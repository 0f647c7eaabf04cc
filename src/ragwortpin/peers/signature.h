#ifndef RAGWORTPIN_PEERS_SIGNATURE_H
#define RAGWORTPIN_PEERS_SIGNATURE_H

#include "ragwortpin/peers/datagram.h"

#include <string>
#include <string_view>

namespace ragwortpin {

/** HTTP header field with the signature of the body of a control call or of its answer. */
inline constexpr std::string_view ControlSignatureHeader{"Ragwortpin-Signature"};

/** Returns the HMAC-SHA-256 of a body as 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string computeSignature(std::string_view body, std::string_view secret);

/** Returns whether a body was signed with one of the accepted secrets. Replays are not detected, because control calls are read-only. */
[[nodiscard]] bool hasValidSignature(std::string_view body, std::string_view signature, const datagram_secrets &secrets);

} // namespace ragwortpin

#endif
