#ifndef RAGWORTPIN_SPREAD_STATE_H
#define RAGWORTPIN_SPREAD_STATE_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/membership/message.h"
#include "ragwortpin/spread/content.h"
#include "ragwortpin/spread/fwd.h"
#include "ragwortpin/spread/proof.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace ragwortpin {

/** Settings of the configuration distribution. */
struct spread_options
{
    /**
     * Age of its proof at which the first node in the order of poll_position reads the store's head. Zones that reach each other share
     * the reads, a zone that is cut off reads once per interval.
     */
    duration zonePollInterval{seconds{1}};
    /** Additional age for each node before this one in the order, so that the next one steps in for a read without an answer. */
    duration pollStagger{milliseconds{50}};
    /** Number of nodes from the start of the order that step in for each other. Those behind them rely on the proofs of their peers. */
    std::size_t pollLeaders{6};
    /** Additional age for each node between the leaders and a node behind them, if the proofs of its peers are old as well. */
    duration followerStagger{milliseconds{20}};
    /** Additional age at which a node behind the leaders reads if none of its peers answers, per node of the fleet; see nextPollDue(). */
    duration isolatedPollSpread{milliseconds{1}};
    /** Time without an answer to its questions after which a node counts as isolated. */
    duration isolationTimeout{milliseconds{300}};
    /** Time for which a node leaves the store to a peer that notified it of a newer proof, once for each proof. */
    duration notificationTimeout{milliseconds{200}};
    /** Maximum factor by which the interval between reads grows while the store fails. */
    unsigned maxPollBackoff{8};
    /** Time after a failed read before a node reads again although its peers have read since; its own path to the store may be bad. */
    duration failedPollPause{seconds{1}};
    /** Time without an answer after which a read counts as failed. */
    duration pollTimeout{seconds{5}};
    /** Delay after the start before a node reads from the store, so that it can load from its peers first. */
    duration startGrace{seconds{1}};
    /** Maximum random delay added to the first read, so that nodes which start together don't read at the same time. */
    duration startSpread{seconds{2}};
    /** Interval between rounds of announcements. */
    duration announceInterval{milliseconds{200}};
    /** Number of peers that receive the announcements of one round. */
    std::size_t announceFanout{2};
    /** Number of rounds in which a new revision is announced after it came into force. */
    unsigned announceRounds{6};
    /** Time without an answer after which a pull counts as failed. */
    duration pullTimeout{seconds{2}};
    /** Time for which no content is pulled from a peer after a pull from it failed or timed out. */
    duration pullRetryDelay{seconds{1}};
    /** Time for which no content is pulled from a peer after its content did not prove its claim or was rejected. */
    duration unprovenClaimDelay{seconds{10}};
    /** Number of consecutive failed pulls after which the store is read immediately. */
    unsigned pullFailuresBeforePoll{3};
    /** Maximum number of peers whose claims are stored. */
    std::size_t maxClaims{16};
    /** Maximum number of earlier contents kept as bases of patches. */
    std::size_t maxHistory{4};
    /** Maximum total text size of the earlier contents in bytes. */
    std::size_t maxHistoryBytes{2'000'000};

    bool operator==(const spread_options &) const = default;
};

/** Claim of a peer to have a revision in force. */
struct revision_claim
{
    std::string peer;
    /** Address of the peer for control calls. */
    peer_address control;
    std::uint64_t revision{0};
    /** Whether the peer is in the node's own availability zone. */
    bool isInOwnZone{false};
    /** Time before which no content is pulled from the peer, because an earlier pull failed or did not prove its claim. */
    time_point notBefore{};

    bool operator==(const revision_claim &) const = default;
};

/** Request for the content in force at a peer. */
struct pull_request
{
    /** Identifies the request; the reply repeats it. */
    std::uint64_t id{0};
    std::string peer;
    peer_address control;
    /** Revision to which the requesting node can apply a patch; 0 to request the full content. */
    std::uint64_t baseRevision{0};
    /** Revision that the peer claimed to have in force. */
    std::uint64_t claimedRevision{0};

    bool operator==(const pull_request &) const = default;
};

/** Result of a pull: an error, or a patch to the content in force at the peer. */
struct pull_reply
{
    std::uint64_t id{0};
    std::error_code error;
    content_patch patch;

    bool operator==(const pull_reply &) const = default;
};

/** Result of reading the store's head: an error, or the revision of the head, with its content if that is newer. */
struct head_reply
{
    std::error_code error;
    /** Revision of the head; 0 when nothing was published. */
    std::uint64_t revision{0};
    std::optional<configuration_content> content;
    /** Time before the request was sent; the reply proves which revision was the newest at that time. */
    std::optional<time_point> askedAt{};

    bool operator==(const head_reply &) const = default;
};

/** Configuration status of a node. */
enum class spread_status : unsigned char {
    InForce,
    /** No configuration yet; waiting for peers or the store. */
    Loading,
    /** No configuration: no peer provided one, and the last read of the store failed. */
    Unavailable,
    /** No configuration: the store replied that none was published. */
    NothingPublished,
};

/** Event counts since the start. */
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

/** State of the configuration distribution at one node. */
struct spread_state
{
    spread_options options;
    std::uint16_t peersPort{0};
    /** Content in force; its revision is 0 before the first one. */
    configuration_content inForce;
    /** Contents that were in force earlier, newest first. */
    std::deque<configuration_content> history;
    /** Highest revision that was in force at this node or read from the store. Content with a lower revision is never applied. */
    std::uint64_t provenRevision{0};
    std::vector<revision_claim> claims;
    std::optional<pull_request> pull;
    time_point pullDeadline{};
    std::uint64_t lastPullId{0};
    /** Name of the peer that provided the content returned last; empty if it came from the store. */
    std::string lastProvider;
    unsigned pullFailuresInRow{0};
    /** Whether the next pull requests the full content, because the last patch could not be applied. */
    bool isNextPullFull{false};
    /** Most recent proof that the content in force is the newest. The next read of the store is due by its age; see nextPollDue(). */
    proof_state proof;
    /** Time of the first read unless peers provide a proof before. */
    time_point firstPollAt{};
    bool isPolling{false};
    /** Whether to read the store as soon as no read is pending, because a change was signalled that the pending read may have missed. */
    bool isPollRequested{false};
    time_point pollDeadline{};
    /** Time at which the last read was started. */
    time_point lastPollAt{};
    /** Start of the pause between reads, because the last one failed or proved nothing; empty if there is no pause. */
    std::optional<time_point> pollPausedSince;
    /** Whether the failed read may be repeated at once; see handleHeadReply(). */
    bool isPollRepeated{false};
    /** Random fraction of the spread of reads at this node, drawn anew for each read. */
    double pollJitter{0.0};
    unsigned pollBackoff{1};
    bool pollFailed{false};
    bool isStoreEmpty{false};
    unsigned announceRoundsLeft{0};
    time_point nextAnnounce{};
    spread_counters counters;
};

} // namespace ragwortpin

#endif
