#ifndef RAGWORTPIN_SPREAD_PROTOCOL_H
#define RAGWORTPIN_SPREAD_PROTOCOL_H

#include "ragwortpin/spread/message.h"
#include "ragwortpin/spread/state.h"
#include "ragwortpin/spread/topology.h"

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Actions that the caller of a protocol function must perform. */
struct spread_actions
{
    std::vector<spread_output> messages;
    std::vector<proof_output> proofMessages;
    /** Content to request from a peer; the result is passed to handlePullReply(). */
    std::optional<pull_request> pull;
    /** Whether to read the head revision from the store; the result is passed to handleHeadReply(). */
    bool poll{false};
};

/** Creates the state of the configuration distribution at a node that has no configuration yet. */
[[nodiscard]] spread_state startSpread(time_point now, const spread_options &options, std::uint16_t peersPort, std::mt19937_64 &random);

/**
 * Advances the configuration distribution. Must be called at least once per `announceInterval`, and at the times that
 * nextPollDue() and nextQuestionDue() return.
 * @param peers random live peers, chosen anew for each call; at least `announceFanout` if there are as many
 */
[[nodiscard]] spread_actions tickSpread(
    spread_state &state, time_point now, const spread_topology &topology, std::span<const instance_record> peers, std::mt19937_64 &random);

/**
 * Returns the time at which the node reads the store's head unless it obtains a newer proof before. A read is due by the age of the proof,
 * so that a node whose peers read the store never reads. If they do not, the age at which a node reads itself is at most `zonePollInterval`
 * plus `pollLeaders` times `pollStagger`. For a node behind the leaders that no peer answers, it is the later of that plus
 * `isolatedPollSpread` per node of the fleet, and `isolationTimeout` after its first question. If its peers answer with old proofs, such a
 * node leaves the store to the leaders for `pollStagger` times its rank. A notification of a newer proof puts the read off by
 * `notificationTimeout` at most. After a failed read the node pauses.
 */
[[nodiscard]] time_point nextPollDue(const spread_state &state, const poll_position &position) noexcept;

/**
 * Handles a message of the proof protocol. A notification leads to a question to its sender, or to a pull if the sender has a newer
 * revision; a proof that is new to this node is passed on to the nodes behind it.
 * @param sender claim that the sender has the revision of the message in force; revision 0 if its address is not known
 * @param from address of the sender for datagrams
 */
[[nodiscard]] spread_actions handleProofMessage(spread_state &state,
                                                time_point now,
                                                const revision_claim &sender,
                                                const peer_address &from,
                                                const proof_message &message,
                                                const spread_topology &topology,
                                                std::mt19937_64 &random);

/**
 * Records what a reply of the store proves, and notifies the peers. Must be called after the content that handleHeadReply() returned for
 * it, if any, came into force.
 */
[[nodiscard]] spread_actions recordHeadProof(spread_state &state, time_point now, const head_reply &reply, const spread_topology &topology);

/** Notifies the nodes behind this one that content of a peer came into force here, so that they pull it. */
[[nodiscard]] spread_actions notifyApplied(const spread_state &state, time_point now, const spread_topology &topology);

/**
 * Returns the next pull request if one is due. This is the part of tickSpread() that handles claims; calling it directly after
 * recordClaim() avoids waiting for the next tick.
 */
[[nodiscard]] std::optional<pull_request> tickPull(spread_state &state, time_point now, std::mt19937_64 &random);

/** Records the claim of a peer to have a revision in force. The claim is unproven until the peer's content has been pulled and checked. */
void recordClaim(spread_state &state, time_point now, const revision_claim &claim);

/**
 * Handles the reply to a pull. Returns the content if it is intact, newer than the one in force and not older than the highest
 * revision read from the store; the caller validates it and then calls recordApplied() or recordRejected().
 */
[[nodiscard]] std::optional<configuration_content> handlePullReply(spread_state &state, time_point now, const pull_reply &reply);

/** Handles a reply of the store. Returns content on the same conditions as handlePullReply(). Then recordHeadProof() must be called. */
[[nodiscard]] std::optional<configuration_content>
handleHeadReply(spread_state &state, time_point now, const poll_position &position, const head_reply &reply);

/** Requests a read of the store's head at the next tick because a new revision may have been published. */
void requestPoll(spread_state &state) noexcept;

/** Records that content is now in force and starts to announce it. Ignores revisions that are not higher than the one in force. */
void recordApplied(spread_state &state, time_point now, configuration_content content);

/**
 * Records that the content returned last failed the node's validation. No content is pulled from the peer that provided it for
 * `unprovenClaimDelay`.
 */
void recordRejected(spread_state &state, time_point now);

/**
 * Returns the reply to a pull: a patch of the peer's base revision if the history contains it, else the full content in force. Returns
 * std::nullopt if this node has no configuration.
 */
[[nodiscard]] std::optional<content_patch> answerPull(const spread_state &state, std::uint64_t baseRevision);

/** Returns whether the node has a configuration, and otherwise why not. */
[[nodiscard]] spread_status spreadStatus(const spread_state &state) noexcept;

/** Returns a sentence that explains a status and names the remedy. */
[[nodiscard]] std::string_view describe(spread_status status) noexcept;

} // namespace ragwortpin

#endif
