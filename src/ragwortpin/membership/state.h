#ifndef RAGWORTPIN_MEMBERSHIP_STATE_H
#define RAGWORTPIN_MEMBERSHIP_STATE_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/membership/message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace ragwortpin {

/** Number of hash buckets into which members are divided by name; nodes compare tables by the digest of each bucket. */
inline constexpr std::size_t MembershipBuckets{64};

/** Settings of the membership protocol. They must be the same on all nodes of a fleet. */
struct membership_options
{
    /** Interval between probes. */
    duration probePeriod{seconds{1}};
    /** Time after which an unanswered probe is repeated and peers are asked to probe the member indirectly. */
    duration probeTimeout{milliseconds{300}};
    /** Number of consecutive probe periods without an answer after which a member is suspected. */
    unsigned probeAttempts{3};
    /** Number of peers asked to probe a member that did not answer within the probe timeout. */
    std::size_t indirectProbes{3};
    /** Fraction of probes sent to members of the own availability zone. */
    double ownZoneFraction{0.75};
    /** Time within which a suspected member must refute before it is declared dead. */
    duration suspicionTimeout{seconds{5}};
    /** Interval between gossip rounds. */
    duration gossipInterval{milliseconds{200}};
    /** Number of peers that receive the messages of one gossip round. */
    std::size_t gossipFanout{2};
    /** Number of times that a node transmits an update, in addition to the binary logarithm of the number of live members. */
    std::uint16_t extraTransmissions{10};
    /**
     * Minimum interval between exchanges, and time from the detection of a difference to the exchange. Gossip may remove the
     * difference within that time, so that no exchange is needed.
     */
    duration exchangeInterval{seconds{2}};
    /** Interval between exchanges during a bulk sync, that is while much of the local table is missing. */
    duration bulkSyncInterval{milliseconds{200}};
    /** Number of reply datagrams requested per exchange during a bulk sync; also the maximum that a node sends for one request. */
    std::uint8_t bulkSyncReplies{4};
    /** Time after which a bulk sync ends if no reply contained many changes. */
    duration bulkSyncIdleTimeout{seconds{20}};
    /** Interval between pings to a dead member and to the seeds. */
    duration reconnectInterval{seconds{5}};
    /** Time after which a dead member is removed from the table. */
    duration deadRetention{std::chrono::hours{6}};
    /** Time after which a member in the state Gone is removed from the table. */
    duration goneRetention{std::chrono::minutes{10}};
    /** Minimum interval between two ticks that counts as a pause of this process. */
    duration pauseThreshold{milliseconds{1500}};
    /** Queue length above which each update is transmitted fewer times, because exchanges transfer many updates at lower cost. */
    std::size_t congestedQueueLength{64};
    /** Number of times that a node transmits an update while the queue is longer than that; urgent updates are exempt. */
    std::uint16_t congestedTransmissions{3};
    /** Average gossip rate limit in bytes per second. */
    double gossipBytesPerSecond{800.0};
    /** Average rate limit of exchanges in bytes per second. */
    double exchangeBytesPerSecond{500.0};
    /** Largest burst of gossip in bytes. */
    double gossipBurstBytes{30'000.0};
    /** Largest burst of exchanges in bytes. */
    double exchangeBurstBytes{40'000.0};
    /** Maximum number of members in the table; further ones are rejected and counted. */
    std::size_t maxMembers{4'000};

    bool operator==(const membership_options &) const = default;
};

/** Event counts since the start of the protocol. */
struct membership_counters
{
    std::uint64_t probes{0};
    std::uint64_t probeFailures{0};
    std::uint64_t suspicions{0};
    std::uint64_t deaths{0};
    std::uint64_t refutations{0};
    std::uint64_t exchanges{0};
    std::uint64_t pauses{0};
    std::uint64_t membersRefused{0};

    bool operator==(const membership_counters &) const = default;
};

/** An entry of the membership table. */
struct member
{
    instance_record record;
    member_status status{member_status::Alive};
    bool isQueued{false};
    /** Whether the queued update must contain the full record. */
    bool needsFullUpdate{false};
    /** Whether the queued update is in the urgent queue. */
    bool isUrgent{false};
    std::uint16_t transmissionsLeft{0};
    std::uint32_t descriptionHash{0};
    /** Time at which a suspected member is declared dead, or at which a dead member or one that is Gone is removed. */
    time_point deadline{};
};

/** The pending probe. */
struct membership_probe
{
    std::string name;
    std::uint32_t sequence{0};
    time_point startedAt{};
    unsigned attempts{0};
    bool isIndirect{false};
    /** Whether the ping contains a suspicion of its target, so that the target refutes reports of its death. */
    bool isVerification{false};
};

/** A pending probe on behalf of another node. */
struct membership_relay
{
    std::uint32_t sequence{0};
    peer_address requester;
    std::uint32_t requesterSequence{0};
    time_point expiresAt{};
};

/** State of the membership protocol at one node. The node itself is members[0]. */
struct membership_state
{
    membership_options options;
    std::vector<peer_address> seeds;
    std::vector<member> members;
    std::unordered_map<std::string, std::size_t> indexByName;
    /** Number of live members, the node itself included. Members in the state Gone count as dead. */
    std::size_t liveMembers{0};
    /** Names of members with urgent updates to transmit, in order: changes of the announced state, suspicions and refutations. */
    std::deque<std::string> urgentQueue;
    /** Names of members with other updates to transmit, in order. They are transmitted after the urgent ones. */
    std::deque<std::string> queue;
    std::vector<std::string> suspects;
    /** Names of members that are live in the local table and that other nodes reported dead. They are probed first. */
    std::vector<std::string> reportedDead;
    std::array<std::uint32_t, MembershipBuckets> bucketDigests{};
    std::optional<membership_probe> probe;
    std::vector<membership_relay> relays;
    std::uint32_t lastSequence{0};
    /** Whether a bulk sync is running: much of the table is missing, and exchanges use the bulk sync interval. */
    bool isBulkSyncing{true};
    /** Peer whose table digest differed most recently. It is not cleared when another peer has an equal digest. */
    std::optional<peer_address> differingPeer;
    /** Time at which `differingPeer` was last set while it was empty. */
    time_point differingSince{};
    double gossipBytes{0.0};
    double exchangeBytes{0.0};
    /** Start of the bulk sync, or time of the last reply with many changes. */
    time_point bulkSyncProgressAt{};
    time_point lastTick{};
    time_point lastExchange{};
    time_point nextProbe{};
    time_point nextGossip{};
    time_point nextReconnect{};
    time_point nextRemoval{};
    /** Incremented whenever the table changes in a way that can change the result of membershipView(). */
    std::uint64_t viewVersion{0};
    membership_counters counters;
};

} // namespace ragwortpin

#endif
