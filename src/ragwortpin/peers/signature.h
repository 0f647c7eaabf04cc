#ifndef RAGWORTPIN_PEERS_SIGNATURE_H
#define RAGWORTPIN_PEERS_SIGNATURE_H

#include "ragwortpin/peers/datagram.h"

#include <string>
#include <string_view>

namespace ragwortpin {

/** Header field that carries the signature of the body of a control call or of its answer. */
inline constexpr std::string_view ControlSignatureHeader{"Ragwortpin-Signature"};

/** HMAC-SHA-256 of a body as 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string signatureOf(std::string_view body, std::string_view secret);

/** Whether a body was signed with one of the accepted secrets. Replays are not recognised: control calls change nothing. */
[[nodiscard]] bool isSigned(std::string_view body, std::string_view signature, const datagram_secrets &secrets);

} // namespace ragwortpin

#endif
