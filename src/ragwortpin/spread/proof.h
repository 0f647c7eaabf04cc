#ifndef RAGWORTPIN_SPREAD_PROOF_H
#define RAGWORTPIN_SPREAD_PROOF_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/membership/message.h"
#include "ragwortpin/spread/fwd.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Peers are asked for their proof once the own one is older than the interval of reads by this much, the time for a read and its
 * notifications. */
inline constexpr milliseconds ProofQueryDelay{100};

/** Settings of the proof that the configuration in force was the newest at a recent time. */
struct proof_options
{
    /** Age of the own proof at which peers are asked for theirs; zero disables the questions. */
    duration queryAgeThreshold{0};
    /** Minimum interval between two rounds of questions. */
    duration queryInterval{milliseconds{250}};
    /** Number of peers asked per round. */
    std::size_t queryFanout{2};
    /** A notification is followed by a question only if the peer's proof is newer than the own one by at least this much. */
    duration minGain{milliseconds{50}};

    bool operator==(const proof_options &) const = default;
};

/**
 * Question for the proof of a peer, the answer to one, or a notification. A notification is an answer with nonce 0. It proves nothing,
 * since it may have been delayed; it tells the receiver whom to ask.
 */
struct proof_message
{
    /** Chosen at random by the sender of the question; the answer repeats it. 0 in a notification. */
    std::uint64_t nonce{0};
    bool isAnswer{false};
    /** Revision in force at the answering node, which was the newest published one at the time of the proof; in an answer only. */
    std::uint64_t revision{0};
    /** Age of the proof, measured from before the request to the store was sent; in an answer only. */
    duration age{0};

    bool operator==(const proof_message &) const = default;
};

/** A message to send and its destination. */
struct proof_output
{
    peer_address to;
    proof_message message;

    bool operator==(const proof_output &) const = default;
};

/** Nonce and send time of a question; nonce 0 marks an unused entry. */
struct proof_question
{
    std::uint64_t nonce{0};
    time_point sentAt{};

    bool operator==(const proof_question &) const = default;
};

/**
 * Most recent proof that the configuration in force at a node was the newest one. The time of a proof is taken from the node's own
 * clock, before the question or the request to the store was sent. So clocks of different machines are never compared, and a delayed
 * answer can't make a proof look more recent than it is.
 */
struct proof_state
{
    proof_options options;
    /** Latest time at which the revision in force is proven to have been the newest; empty before the first proof. */
    std::optional<time_point> provenAt;
    /** Ring buffer of the most recent questions. */
    std::array<proof_question, 16> questions{};
    std::size_t nextQuestion{0};
    time_point nextRound{};
    /** Time of the first question since the last answer of a peer, whatever that proved; empty if no question is open. */
    std::optional<time_point> unansweredSince;
    /** Time of the first notification of a newer proof since the own one was recorded; empty if there was none. */
    std::optional<time_point> notifiedAt;
};

/**
 * Returns questions to the first peers of the list if the own proof is missing or outdated. Must be called at least once per
 * `queryInterval`.
 */
[[nodiscard]] std::vector<proof_output>
tickProof(proof_state &state, time_point now, std::span<const instance_record> peers, std::mt19937_64 &random);

/** Returns the time of the next questions; the end of time if they are disabled. */
[[nodiscard]] time_point nextQuestionDue(const proof_state &state) noexcept;

/**
 * Records that no revision newer than the one in force was published at the given time, according to an answer that the store gave at
 * that time or later. An older proof never replaces a newer one.
 */
void recordProof(proof_state &state, time_point at);

/** Returns the answer to a question. Returns std::nullopt if this node has no proof or no configuration. */
[[nodiscard]] std::optional<proof_message>
answerProof(const proof_state &state, const proof_message &question, std::uint64_t revisionInForce, time_point now);

/** Returns the notification of the own proof. Returns std::nullopt if this node has no proof or no configuration. */
[[nodiscard]] std::optional<proof_message> makeNotification(const proof_state &state, std::uint64_t revisionInForce, time_point now);

/**
 * Returns the question to send to the sender of a notification. Returns std::nullopt if its proof would not be newer than the own one by
 * at least `minGain`, or if it has a revision newer than the one in force at this node, whose content has to be pulled first.
 */
[[nodiscard]] std::optional<proof_message> handleNotification(
    proof_state &state, const proof_message &notification, std::uint64_t revisionInForce, time_point now, std::mt19937_64 &random);

/**
 * Adopts the proof of a peer. Ignores an answer that matches none of the recent questions, that
 * names revision 0 or a revision newer than the one in force at this node, or that has a negative age.
 */
void handleProofAnswer(proof_state &state, const proof_message &answer, std::uint64_t revisionInForce);

/** Encodes a message as MessagePack. */
[[nodiscard]] std::string encode(const proof_message &message);

/** Decodes a message. Returns std::nullopt if the bytes are not a valid message. */
[[nodiscard]] std::optional<proof_message> decodeProofMessage(std::string_view bytes);

} // namespace ragwortpin

#endif
