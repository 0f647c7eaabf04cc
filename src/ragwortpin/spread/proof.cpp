#include "ragwortpin/spread/proof.h"

#include "ragwortpin/core/wire.h"

#include <algorithm>
#include <tuple>

namespace ragwortpin {

namespace {

template<typename Message>
[[nodiscard]] auto wireFieldsOf(Message &message)
{
    return std::tie(message.nonce, message.isAnswer, message.revision, message.age);
}

bool isProofOutdated(const proof_state &state, time_point now)
{
    return !state.provenAt || now - *state.provenAt >= state.options.queryAgeThreshold;
}

/** Creates and records a question. Nonces are random so that an answer to a question of an earlier process is not accepted. */
proof_message createQuestion(proof_state &state, time_point now, std::mt19937_64 &random)
{
    const auto nonce = std::max<std::uint64_t>(1, random());
    state.questions[state.nextQuestion] = {nonce, now};
    state.nextQuestion = (state.nextQuestion + 1) % state.questions.size();
    state.unansweredSince = state.unansweredSince.value_or(now);
    return {.nonce = nonce};
}

} // namespace

static auto wireFields(proof_message &message)
{
    return wireFieldsOf(message);
}

static auto wireFields(const proof_message &message)
{
    return wireFieldsOf(message);
}

std::vector<proof_output> tickProof(proof_state &state, time_point now, std::span<const instance_record> peers, std::mt19937_64 &random)
{
    std::vector<proof_output> messages;
    if (state.options.queryAgeThreshold <= duration::zero() || now < state.nextRound || !isProofOutdated(state, now)) {
        return messages;
    }
    state.nextRound = now + state.options.queryInterval;
    for (const auto &peer : peers.first(std::min(peers.size(), state.options.queryFanout))) {
        messages.push_back({{peer.address, peer.gossipPort}, createQuestion(state, now, random)});
    }
    return messages;
}

time_point nextQuestionDue(const proof_state &state) noexcept
{
    if (state.options.queryAgeThreshold <= duration::zero()) {
        return time_point::max();
    }
    const auto due = state.provenAt ? *state.provenAt + state.options.queryAgeThreshold : state.nextRound;
    return std::max(due, state.nextRound);
}

void recordProof(proof_state &state, time_point at)
{
    if (!state.provenAt || at > *state.provenAt) {
        state.provenAt = at;
        state.notifiedAt.reset();
    }
}

std::optional<proof_message>
answerProof(const proof_state &state, const proof_message &question, std::uint64_t revisionInForce, time_point now)
{
    if (!state.provenAt || revisionInForce == 0) {
        return std::nullopt;
    }
    return proof_message{.nonce = question.nonce, .isAnswer = true, .revision = revisionInForce, .age = now - *state.provenAt};
}

std::optional<proof_message> makeNotification(const proof_state &state, std::uint64_t revisionInForce, time_point now)
{
    return answerProof(state, {}, revisionInForce, now);
}

std::optional<proof_message> handleNotification(
    proof_state &state, const proof_message &notification, std::uint64_t revisionInForce, time_point now, std::mt19937_64 &random)
{
    const bool coversOwnRevision{notification.revision > 0 && notification.revision <= revisionInForce};
    if (!coversOwnRevision || notification.age < duration::zero()) {
        return std::nullopt;
    }
    const bool isNewer{!state.provenAt || now - notification.age - *state.provenAt >= state.options.minGain};
    if (!isNewer) {
        return std::nullopt;
    }
    state.notifiedAt = state.notifiedAt.value_or(now);
    return createQuestion(state, now, random);
}

void handleProofAnswer(proof_state &state, const proof_message &answer, std::uint64_t revisionInForce)
{
    const auto question = std::find_if(state.questions.begin(), state.questions.end(), [&answer](const proof_question &asked) {
        return asked.nonce != 0 && asked.nonce == answer.nonce;
    });
    if (question == state.questions.end()) {
        return;
    }
    state.unansweredSince.reset();
    const bool coversOwnRevision{answer.revision > 0 && answer.revision <= revisionInForce};
    if (coversOwnRevision && answer.age >= duration::zero()) {
        recordProof(state, question->sentAt - answer.age);
    }
}

std::string encode(const proof_message &message)
{
    return internal::encodeStruct(message);
}

std::optional<proof_message> decodeProofMessage(std::string_view bytes)
{
    return internal::decodeStruct<proof_message>(bytes);
}

} // namespace ragwortpin
