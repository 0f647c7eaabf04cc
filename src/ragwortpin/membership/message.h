#ifndef RAGWORTPIN_MEMBERSHIP_MESSAGE_H
#define RAGWORTPIN_MEMBERSHIP_MESSAGE_H

#include "ragwortpin/membership/view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortpin {

/** Status of a member's process according to the failure detector of a node. */
enum class member_status : unsigned char {
    Alive,
    /** Did not answer probes; it is declared dead unless it refutes the suspicion within the suspicion timeout. */
    Suspect,
    Dead,
};

/** IP address and port of a node. */
struct peer_address
{
    /** Numeric IP address. */
    std::string address;
    std::uint16_t port{0};

    bool operator==(const peer_address &) const = default;
};

/**
 * Status and record of one member as known to the sender. The short form contains only the name, incarnation and state of the
 * record, and a hash of its other fields. The receiver compares the hash with that of its own record to check that its copy of
 * those fields is current.
 */
struct member_update
{
    member_status status{member_status::Alive};
    instance_record record;
    bool isShort{false};
    /** Hash of the fields that the short form leaves out; see descriptionHash(). */
    std::uint32_t descriptionHash{0};

    bool operator==(const member_update &) const = default;
};

/** Kind of a membership message. */
enum class membership_message_kind : unsigned char {
    Ping = 1,
    Ack,
    /** Asks the receiver to ping the target on behalf of the sender and to relay the acknowledgement. */
    PingRequest,
    /** Contains updates only; not acknowledged. */
    Gossip,
    /** Contains digests of the sender's table; the receiver replies with the members of the hash buckets that differ. */
    ExchangeRequest,
    ExchangeReply,
};

/** One message of the membership protocol. */
struct membership_message
{
    membership_message_kind kind{membership_message_kind::Gossip};
    /** Identifies a probe or an exchange; the reply repeats it. */
    std::uint32_t sequence{0};
    /** Revision of the configuration in force at the sender. */
    std::uint64_t revision{0};
    /** Digest of all live members in the sender's table; see tableDigest(). */
    std::uint32_t tableDigest{0};
    /** Address to ping; set in a PingRequest only. */
    peer_address target;
    /** Maximum number of reply datagrams; set in an ExchangeRequest only. */
    std::uint8_t requestedReplies{0};
    /** Number of members in the sender's table, dead ones included; set in an ExchangeRequest only. */
    std::uint32_t memberCount{0};
    /** Digest of each hash bucket of the sender's table; set in an ExchangeRequest only. */
    std::vector<std::uint32_t> bucketDigests;
    std::vector<member_update> updates;

    bool operator==(const membership_message &) const = default;
};

/** A message to send and its destination. */
struct membership_output
{
    peer_address to;
    membership_message message;

    bool operator==(const membership_output &) const = default;
};

} // namespace ragwortpin

#endif
