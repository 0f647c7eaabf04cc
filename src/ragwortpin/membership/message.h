#ifndef RAGWORTPIN_MEMBERSHIP_MESSAGE_H
#define RAGWORTPIN_MEMBERSHIP_MESSAGE_H

#include "ragwortpin/membership/view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortpin {

/** What a node believes of another one's process. */
enum class member_status : unsigned char {
    Alive,
    /** Did not answer probes; it has until its suspicion timeout to refute. */
    Suspect,
    Dead,
};

/** Where a node receives datagrams. */
struct peer_address
{
    /** IP number. */
    std::string address;
    std::uint16_t port{0};

    bool operator==(const peer_address &) const = default;
};

/**
 * A claim about one member. The short form carries of the record only name, incarnation and state, with a hash of the
 * other fields by which a receiver recognises whether it knows them.
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
    /** Asks the receiver to ping the target and to pass on its acknowledgement. */
    PingRequest,
    /** Carries updates only. */
    Gossip,
    /** Carries digests of the sender's table, to be answered with what differs. */
    ExchangeRequest,
    ExchangeReply,
};

/** One message of the membership protocol. */
struct membership_message
{
    membership_message_kind kind{membership_message_kind::Gossip};
    /** Identifies a probe or an exchange; an answer repeats it. */
    std::uint32_t sequence{0};
    /** Revision of the configuration in force at the sender. */
    std::uint64_t revision{0};
    /** Digest of the sender's whole table. */
    std::uint32_t tableDigest{0};
    /** Whom to ping; in a PingRequest only. */
    peer_address target;
    /** Number of reply datagrams that the sender takes; in an ExchangeRequest only. */
    std::uint8_t wantedReplies{0};
    /** Members that the sender knows, dead ones included; in an ExchangeRequest only. */
    std::uint32_t knownMembers{0};
    /** Digest of each part of the sender's table; in an ExchangeRequest only. */
    std::vector<std::uint32_t> partDigests;
    std::vector<member_update> updates;

    bool operator==(const membership_message &) const = default;
};

/** A message to send. */
struct membership_output
{
    peer_address to;
    membership_message message;

    bool operator==(const membership_output &) const = default;
};

} // namespace ragwortpin

#endif
