#ifndef RAGWORTPIN_SPREAD_STATE_H
#define RAGWORTPIN_SPREAD_STATE_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/membership/message.h"
#include "ragwortpin/spread/content.h"
#include "ragwortpin/spread/fwd.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace ragwortpin {

/** Settings of the spread of configurations. */
struct spread_options
{
    /** Mean time between two reads of the store's head by one availability zone, all its nodes together. */
    duration zonePollInterval{seconds{1}};
    /** Longest mean time between two reads while the store fails, as a multiple of the usual one. */
    unsigned maxPollBackoff{8};
    /** Time without an answer after which a read counts as failed. */
    duration pollTimeout{seconds{5}};
    /** Time that a starting node gives its peers before it reads from the store. */
    duration startGrace{seconds{1}};
    /** Time over which the first reads of nodes that start together are spread. */
    duration startSpread{seconds{2}};
    /** Time from one round of announcements to the next. */
    duration announceInterval{milliseconds{200}};
    /** Peers that a round of announcements goes to. */
    std::size_t announceFanout{2};
    /** Rounds in which a revision newly in force is announced. */
    unsigned announceRounds{6};
    /** Time without an answer after which a pull counts as failed. */
    duration pullTimeout{seconds{2}};
    /** Time for which the claims of a peer are not followed after it could not be reached. */
    duration pullRetryDelay{seconds{1}};
    /** Time for which the claims of a peer are not followed after its content did not prove one. */
    duration claimPenalty{seconds{10}};
    /** Failed pulls in a row after which the store is read without waiting for the next turn. */
    unsigned pullFailuresBeforePoll{3};
    /** Peers remembered that claim a newer revision. */
    std::size_t maxClaims{16};
    /** Earlier contents kept to answer pulls with what changed. */
    std::size_t maxHistory{4};
    /** Bytes of text that they may hold together. */
    std::size_t maxHistoryBytes{2'000'000};

    bool operator==(const spread_options &) const = default;
};

/** A peer's claim to have a newer revision in force. */
struct revision_claim
{
    std::string peer;
    /** Where control calls reach the peer. */
    peer_address control;
    std::uint64_t revision{0};
    /** Whether the peer is in the node's own availability zone. */
    bool isInOwnZone{false};
    /** Until then the peer is not asked, because it failed to prove a claim. */
    time_point notBefore{};

    bool operator==(const revision_claim &) const = default;
};

/** Asks for content from a peer. */
struct pull_request
{
    /** Identifies the request; its reply repeats it. */
    std::uint64_t id{0};
    std::string peer;
    peer_address control;
    /** Revision that the asking node can apply a patch to; 0 for none. */
    std::uint64_t baseRevision{0};

    bool operator==(const pull_request &) const = default;
};

/** Outcome of a pull: an error, or what the peer has in force. */
struct pull_reply
{
    std::uint64_t id{0};
    std::error_code error;
    content_patch patch;

    bool operator==(const pull_reply &) const = default;
};

/** Outcome of reading the store's head: an error, or the head's revision, with the content if it was newer. */
struct head_reply
{
    std::error_code error;
    /** Revision of the head; 0 when nothing was published. */
    std::uint64_t revision{0};
    std::optional<configuration_content> content;
    /** Instant before the store was asked; the reply proves what was newest then. */
    std::optional<time_point> askedAt{};

    bool operator==(const head_reply &) const = default;
};

/** Whether a node has a configuration. */
enum class spread_status : unsigned char {
    InForce,
    /** Started, and waits for peers or the store. */
    Loading,
    /** Neither a peer nor the store provided a configuration so far. */
    Unavailable,
    /** The store answered that nothing was published. */
    NothingPublished,
};

/** Events counted since start. */
struct spread_counters
{
    std::uint64_t polls{0};
    std::uint64_t pollFailures{0};
    std::uint64_t pulls{0};
    std::uint64_t pullFailures{0};
    std::uint64_t unprovenClaims{0};
    std::uint64_t announcements{0};
    std::uint64_t applied{0};
    std::uint64_t rejected{0};

    bool operator==(const spread_counters &) const = default;
};

/** State of the spread of configurations at one node. */
struct spread_state
{
    spread_options options;
    std::uint16_t peersPort{0};
    /** Content in force; revision 0 before the first. */
    configuration_content inForce;
    /** Earlier contents, the newest first. */
    std::deque<configuration_content> history;
    /** Highest revision in force here or read from the store; lower content is never applied. */
    std::uint64_t provenRevision{0};
    std::vector<revision_claim> claims;
    std::optional<pull_request> pull;
    time_point pullDeadline{};
    std::uint64_t lastPullId{0};
    /** Peer that provided the content returned last; empty when it came from the store. */
    std::string lastProvider;
    unsigned pullFailuresInRow{0};
    /** Whether to ask for whole content next, because a patch did not fit. */
    bool pullWhole{false};
    bool isPolling{false};
    /** Whether a change was hinted at after the read under way began, which may have missed it. */
    bool isHinted{false};
    time_point pollDeadline{};
    time_point nextPoll{};
    unsigned pollBackoff{1};
    bool pollFailed{false};
    bool isStoreEmpty{false};
    unsigned announceRoundsLeft{0};
    time_point nextAnnounce{};
    spread_counters counters;
};

} // namespace ragwortpin

#endif
