#ifndef RAGWORTPIN_SPREAD_PROTOCOL_H
#define RAGWORTPIN_SPREAD_PROTOCOL_H

#include "ragwortpin/spread/message.h"
#include "ragwortpin/spread/state.h"

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** What the caller of tickSpread() has to do. */
struct spread_actions
{
    std::vector<spread_output> messages;
    /** Content to ask a peer for; answered by handlePullReply(). */
    std::optional<pull_request> pull;
    /** Whether to read the store's head; answered by handleHeadReply(). */
    bool poll{false};
};

/** Starts the spread at one node that has no configuration yet. */
[[nodiscard]] spread_state startSpread(time_point now, const spread_options &options, std::uint16_t peersPort, std::mt19937_64 &random);

/**
 * Advances the spread; to be called at least every announceInterval.
 * @param zoneSize live nodes of the own availability zone, this one included
 * @param peers some live peers, chosen at random anew for each call; at least announceFanout where there are
 */
[[nodiscard]] spread_actions
tickSpread(spread_state &state, time_point now, std::size_t zoneSize, std::span<const instance_record> peers, std::mt19937_64 &random);

/**
 * The pull that is due, if any: the part of tickSpread() that follows claims. Called after noteClaim(), it saves the wait
 * for the next tick.
 */
[[nodiscard]] std::optional<pull_request> tickPull(spread_state &state, time_point now, std::mt19937_64 &random);

/** Notes that a peer claims to have a revision in force. The number proves nothing; only the peer's content does. */
void noteClaim(spread_state &state, time_point now, const revision_claim &claim);

/**
 * Judges the answer to a pull. Returns content that is newer than any in force or read from the store; the caller checks it
 * and then calls noteApplied() or noteRejected().
 */
[[nodiscard]] std::optional<configuration_content> handlePullReply(spread_state &state, time_point now, const pull_reply &reply);

/** Judges an answer of the store, like handlePullReply(). */
[[nodiscard]] std::optional<configuration_content>
handleHeadReply(spread_state &state, time_point now, std::size_t zoneSize, const head_reply &reply, std::mt19937_64 &random);

/** Has the store's head read at the next tick, because something hints at a change. */
void hintChange(spread_state &state, time_point now);

/** Notes that content is now in force. Lower revisions than the present one are ignored. */
void noteApplied(spread_state &state, time_point now, configuration_content content);

/** Notes that the content returned last failed the node's check; the peer that provided it is not asked for a time. */
void noteRejected(spread_state &state, time_point now);

/** Answers a pull of a peer: what is in force, expressed by the peer's own content where it is known here. Nothing before the first. */
[[nodiscard]] std::optional<content_patch> answerPull(const spread_state &state, std::uint64_t baseRevision);

/** Whether the node has a configuration. */
[[nodiscard]] spread_status spreadStatus(const spread_state &state) noexcept;

/** Sentence that says what a status means and names the remedy. */
[[nodiscard]] std::string_view describe(spread_status status) noexcept;

} // namespace ragwortpin

#endif
