#ifndef RAGWORTPIN_PEERS_DATAGRAM_H
#define RAGWORTPIN_PEERS_DATAGRAM_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/peers/fwd.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortpin {

/** Maximum size of a sealed datagram in bytes; fits into one packet on every path that supports the minimum MTU of IPv6. */
inline constexpr std::size_t MaxDatagramBytes{1200};

/** Maximum length of the sender name and of the availability zone name in a datagram, in bytes. */
inline constexpr std::size_t MaxDatagramNameBytes{64};

/** Payload size in bytes up to which seal() succeeds even if the sender and availability zone names have the maximum length. */
inline constexpr std::size_t MaxDatagramPayloadBytes{1024};

/** Size of the IPv4 and UDP headers of a datagram, in bytes. */
inline constexpr std::size_t UdpHeaderBytes{28};

/** Maximum difference, in either direction, between the sending time of a datagram and the wall clock of the receiver. */
inline constexpr seconds MaxDatagramAge{30};

/** Protocol that a datagram's payload belongs to. */
enum class datagram_kind : unsigned char {
    Membership = 1,
    /** Dissemination of configuration revisions. */
    Spread = 2,
    /** Loans between nodes; passed to control_callbacks::handleLoan. */
    Loans = 3,
    /** Questions and answers that prove a configuration to be the newest. */
    Proof = 4,
    /** Load digests of the nodes; passed to control_callbacks::handleDigest. */
    Digest = 5,
};

/**
 * Secrets shared by all nodes. Datagrams are signed with the current secret. Those signed with the previous secret are accepted
 * too, so that secrets can be rotated without interruption. An empty secret is never accepted.
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
    /** Wall clock of the sender, in microseconds since the Unix epoch; truncated to whole seconds on the wire. */
    microseconds sentAt{0};
    /** Encoded message of the protocol that the kind names. */
    std::string payload;

    bool operator==(const datagram &) const = default;
};

/** Result of open(): an error, or the datagram if there is no error. */
struct datagram_result
{
    std::error_code error;
    datagram value;
};

/** Result of seal(): an error, or the bytes to send if there is no error. */
struct encoded_datagram
{
    std::error_code error;
    std::string bytes;
};

/**
 * Encodes a datagram as MessagePack and appends the first 16 bytes of its HMAC-SHA-256. Fails with DatagramTooLarge if a name
 * exceeds MaxDatagramNameBytes or the result exceeds MaxDatagramBytes.
 */
[[nodiscard]] encoded_datagram seal(const datagram &value, std::string_view secret);

/**
 * Verifies and decodes a datagram. The signature is verified before anything is decoded. A datagram whose sending time differs
 * from the given wall clock by more than MaxDatagramAge is rejected as stale. Replays within that time are not detected, so the
 * handling of every message has to be idempotent. The signature does not cover the receiver, so a message for a single node has
 * to name that node in its payload.
 */
[[nodiscard]] datagram_result open(std::string_view bytes, const datagram_secrets &secrets, microseconds wallClock);

} // namespace ragwortpin

#endif
