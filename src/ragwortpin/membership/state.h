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

/** Parts into which a table is cut for comparison between nodes. */
inline constexpr std::size_t MembershipParts{64};

/** Settings of the membership protocol. All nodes of a fleet use the same ones. */
struct membership_options
{
    /** Time from one probe to the next. */
    duration probePeriod{seconds{1}};
    /** Time after which an unanswered probe is repeated and peers are asked to probe too. */
    duration probeTimeout{milliseconds{300}};
    /** Probe periods without an answer before a member is suspected. */
    unsigned probeAttempts{3};
    /** Peers asked to probe a member that did not answer. */
    std::size_t indirectProbes{3};
    /** Fraction of probes that go to the own availability zone. */
    double ownZoneFraction{0.75};
    /** Time that a suspected member has to refute. */
    duration suspicionTimeout{seconds{5}};
    /** Time between two rounds of gossip. */
    duration gossipInterval{milliseconds{200}};
    /** Peers that a round of gossip goes to. */
    std::size_t gossipFanout{2};
    /** Transmissions of an update by one node, on top of the binary logarithm of the number of members. */
    std::uint16_t extraTransmissions{10};
    /** Time from a difference to the exchange, which leaves gossip time to remove it, and between two exchanges. */
    duration exchangeInterval{seconds{2}};
    /** Time between exchanges while a node loads much of its table. */
    duration loadInterval{milliseconds{200}};
    /** Reply datagrams asked for while a node loads much of its table. */
    std::uint8_t loadReplies{4};
    /** Time after which a node stops loading when no reply brought much. */
    duration loadTimeLimit{seconds{20}};
    /** Time between attempts to reach a dead member or a seed again. */
    duration reconnectInterval{seconds{5}};
    /** Time after which a dead member is forgotten. */
    duration deadRetention{std::chrono::hours{6}};
    /** Time after which a member that left is forgotten. */
    duration goneRetention{std::chrono::minutes{10}};
    /** Gap between two ticks that counts as a pause of this process. */
    duration pauseThreshold{milliseconds{1500}};
    /** Updates waiting from which on each is sent less often, because exchanges carry many at once at less cost. */
    std::size_t crowdedQueue{64};
    /** Transmissions of an update by one node while the queue is crowded; urgent ones are exempt. */
    std::uint16_t crowdedTransmissions{3};
    /** Bytes a second that gossip may use on average. */
    double gossipBytesPerSecond{800.0};
    /** Bytes a second that exchanges may use on average. */
    double exchangeBytesPerSecond{500.0};
    /** Bytes that gossip may use at once. */
    double gossipBurstBytes{30'000.0};
    /** Bytes that exchanges may use at once. */
    double exchangeBurstBytes{40'000.0};
    /** Members kept at most. */
    std::size_t maxMembers{4'000};

    bool operator==(const membership_options &) const = default;
};

/** Events counted since start. */
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

/** One entry of the table. */
struct member
{
    instance_record record;
    member_status status{member_status::Alive};
    bool isQueued{false};
    /** Whether the queued update has to carry the whole record. */
    bool needsFullUpdate{false};
    /** Whether the queued update is in the urgent queue. */
    bool isUrgent{false};
    std::uint16_t transmissionsLeft{0};
    std::uint32_t descriptionHash{0};
    /** When a suspicion ends in death, or a dead record is forgotten. */
    time_point deadline{};
};

/** A probe that is under way. */
struct membership_probe
{
    std::string name;
    std::uint32_t sequence{0};
    time_point startedAt{};
    unsigned attempts{0};
    bool isIndirect{false};
    /** Whether the ping tells the target that it is doubted, so that it refutes. */
    bool isVerification{false};
};

/** A probe made for another node. */
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
    /** Members by status; Gone ones count as dead. */
    std::size_t liveMembers{0};
    /** Members whose update is still to be spread, the next first: announced states, suspicions and refutations. */
    std::deque<std::string> urgentQueue;
    /** The same for all other updates, which wait for the urgent ones. */
    std::deque<std::string> queue;
    std::vector<std::string> suspects;
    /** Members that live here and that other nodes believe dead; they are probed first. */
    std::vector<std::string> doubted;
    std::array<std::uint32_t, MembershipParts> partDigests{};
    std::optional<membership_probe> probe;
    std::vector<membership_relay> relays;
    std::uint32_t lastSequence{0};
    /** Whether much of the table is missing and exchanges run at the faster pace. */
    bool isLoading{true};
    /** Peer whose table was last seen to differ; an equal table of another peer does not clear it. */
    std::optional<peer_address> differingPeer;
    /** When the first difference since the last exchange was seen. */
    time_point differingSince{};
    double gossipBytes{0.0};
    double exchangeBytes{0.0};
    time_point loadingSince{};
    time_point lastTick{};
    time_point lastExchange{};
    time_point nextProbe{};
    time_point nextGossip{};
    time_point nextReconnect{};
    time_point nextRemoval{};
    /** Raised whenever membershipView() would yield something else. */
    std::uint64_t viewVersion{0};
    membership_counters counters;
};

} // namespace ragwortpin

#endif
