#ifndef RAGWORTPIN_PEERS_ERROR_H
#define RAGWORTPIN_PEERS_ERROR_H

#include "ragwortpin/peers/fwd.h"

#include <system_error>
#include <type_traits>

namespace ragwortpin {

/** Errors of the communication between nodes. */
enum class peers_errc : int {
    DatagramTooLarge = 1,
    DatagramTooShort,
    DatagramSignatureInvalid,
    DatagramMalformed,
    DatagramVersionUnknown,
    DatagramKindUnknown,
    DatagramStale,
    MessageMalformed,
    PeerUnreachable,
    PeerTimeout,
    PeerAnswerInvalid,
    ConfigurationDigestMismatch,
    SocketUnavailable,
};

/** Returns an error code of the category ragwortpin.peers. */
[[nodiscard]] std::error_code make_error_code(peers_errc error) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::peers_errc> : std::true_type
{ };

#endif
