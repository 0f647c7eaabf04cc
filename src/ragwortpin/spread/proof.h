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

/** Settings of the proof that the configuration in force is the newest. */
struct proof_options
{
    /** Age of the own proof from which on peers are asked for theirs; zero asks nobody. */
    duration askAge{0};
    /** Time between two rounds of questions. */
    duration askInterval{milliseconds{250}};
    /** Peers asked in a round. */
    std::size_t askFanout{2};

    bool operator==(const proof_options &) const = default;
};

/** Question for a proof, or the answer to one. */
struct proof_message
{
    /** Chosen by the asking node; the answer repeats it. */
    std::uint64_t nonce{0};
    bool isAnswer{false};
    /** Highest revision that is known to be published; in an answer only. */
    std::uint64_t revision{0};
    /** Time since the store said so, counted from before it was asked; in an answer only. */
    duration age{0};

    bool operator==(const proof_message &) const = default;
};

/** A message to send. */
struct proof_output
{
    peer_address to;
    proof_message message;

    bool operator==(const proof_output &) const = default;
};

/** A question that was sent. */
struct proof_question
{
    std::uint64_t nonce{0};
    time_point sentAt{};

    bool operator==(const proof_question &) const = default;
};

/**
 * What a node knows of how recently its configuration was the newest. A proof counts from before its question was sent, by the
 * node's own clock: no clocks are compared, and an answer that comes late renews nothing.
 */
struct proof_state
{
    proof_options options;
    /** Instant at which the revision in force was the newest for certain; nothing before the first proof. */
    std::optional<time_point> provenAt;
    /** Questions sent last, in turn. */
    std::array<proof_question, 16> questions{};
    std::size_t nextQuestion{0};
    time_point nextRound{};
};

/** Asks peers when the own proof is old. To be called at least every options.askInterval. */
[[nodiscard]] std::vector<proof_output>
tickProof(proof_state &state, time_point now, std::span<const instance_record> peers, std::mt19937_64 &random);

/** Notes that the store said at, or after, the given instant that nothing newer than the revision in force was published. */
void noteProven(proof_state &state, time_point at);

/** Answers a question with the own proof; nothing without one. */
[[nodiscard]] std::optional<proof_message>
answerProof(const proof_state &state, const proof_message &question, std::uint64_t revisionInForce, time_point now);

/**
 * Takes over the proof of a peer. Only an answer to a question that was sent, about a revision that is not above the one in
 * force here, proves anything.
 */
void handleProofAnswer(proof_state &state, const proof_message &answer, std::uint64_t revisionInForce);

/** Encodes a message as MessagePack. */
[[nodiscard]] std::string encode(const proof_message &message);

/** Decodes a message; nothing when the bytes are not a valid one. */
[[nodiscard]] std::optional<proof_message> decodeProofMessage(std::string_view bytes);

} // namespace ragwortpin

#endif
