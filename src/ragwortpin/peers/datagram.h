#ifndef RAGWORTPIN_PEERS_DATAGRAM_H
#define RAGWORTPIN_PEERS_DATAGRAM_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/peers/fwd.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortpin {

/** Largest sealed datagram in bytes; fits one packet on every path that carries IPv6. */
inline constexpr std::size_t MaxDatagramBytes{1200};

/** Largest sender or availability zone name in a datagram, in bytes. */
inline constexpr std::size_t MaxDatagramNameBytes{64};

/** Largest payload that seal() accepts with sender and availability zone names of the greatest length, in bytes. */
inline constexpr std::size_t MaxDatagramPayloadBytes{1024};

/** Bytes that the IPv4 and UDP headers add to a datagram on the wire. */
inline constexpr std::size_t UdpHeaderBytes{28};

/** Greatest difference between the sender's wall clock in a datagram and the receiver's. */
inline constexpr seconds MaxDatagramAge{30};

/** Protocol that a datagram's payload belongs to. */
enum class datagram_kind : unsigned char {
    Membership = 1,
    Spread = 2,
    Loans = 3,
    Proof = 4,
    Digest = 5,
};

/**
 * Shared secrets of the fleet. Datagrams are signed with the current one; those signed with the previous one are accepted
 * while a rotation is under way. An empty previous secret is never accepted.
 */
struct datagram_secrets
{
    std::string current;
    std::string previous;

    bool operator==(const datagram_secrets &) const = default;
};

/** One datagram between two nodes. */
struct datagram
{
    datagram_kind kind{datagram_kind::Membership};
    /** Name of the sending instance. */
    std::string sender;
    std::string availabilityZone;
    /** Wall clock of the sender, in microseconds since the Unix epoch; whole seconds travel. */
    microseconds sentAt{0};
    /** Message of the protocol, encoded by it. */
    std::string payload;

    bool operator==(const datagram &) const = default;
};

/** Result of open(): either an error, or the datagram. */
struct datagram_result
{
    std::error_code error;
    datagram value;
};

/** Result of seal(): either an error, or the bytes to send. */
struct seal_result
{
    std::error_code error;
    std::string bytes;
};

/**
 * Encodes a datagram as MessagePack and appends the first 16 bytes of its HMAC-SHA-256. Fails with DatagramTooLarge when the
 * names or the payload do not fit.
 */
[[nodiscard]] seal_result seal(const datagram &value, std::string_view secret);

/**
 * Verifies and decodes a datagram. The signature is checked before anything is decoded. A datagram whose time differs from
 * the given wall clock by more than MaxDatagramAge is refused as stale; a replay within that time is not recognised, so every
 * protocol has to treat a repeated message as idempotent. The receiver is not bound into the signature: a message meant for
 * one node alone has to name it in its payload.
 */
[[nodiscard]] datagram_result open(std::string_view bytes, const datagram_secrets &secrets, microseconds wallClock);

} // namespace ragwortpin

#endif
