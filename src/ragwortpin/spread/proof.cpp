#include "ragwortpin/spread/proof.h"

#include <msgpack.hpp>

#include <algorithm>

namespace ragwortpin {

namespace {

constexpr std::size_t MessageFields{4};
constexpr std::size_t MaxDepth{1};

bool isOld(const proof_state &state, time_point now)
{
    return !state.provenAt || now - *state.provenAt >= state.options.askAge;
}

/** Nonces are random, so that an answer to a question of an earlier process is not taken for one of this. */
proof_message ask(proof_state &state, time_point now, std::mt19937_64 &random)
{
    const auto nonce = std::max<std::uint64_t>(1, random());
    state.questions[state.nextQuestion] = {nonce, now};
    state.nextQuestion = (state.nextQuestion + 1) % state.questions.size();
    return {.nonce = nonce};
}

} // namespace

std::vector<proof_output> tickProof(proof_state &state, time_point now, std::span<const instance_record> peers, std::mt19937_64 &random)
{
    std::vector<proof_output> messages;
    if (state.options.askAge <= duration::zero() || now < state.nextRound || !isOld(state, now)) {
        return messages;
    }
    state.nextRound = now + state.options.askInterval;
    for (const auto &peer : peers.first(std::min(peers.size(), state.options.askFanout))) {
        messages.push_back({{peer.address, peer.gossipPort}, ask(state, now, random)});
    }
    return messages;
}

void noteProven(proof_state &state, time_point at)
{
    state.provenAt = std::max(at, state.provenAt.value_or(at));
}

std::optional<proof_message>
answerProof(const proof_state &state, const proof_message &question, std::uint64_t revisionInForce, time_point now)
{
    if (!state.provenAt || revisionInForce == 0) {
        return std::nullopt;
    }
    return proof_message{.nonce = question.nonce, .isAnswer = true, .revision = revisionInForce, .age = now - *state.provenAt};
}

void handleProofAnswer(proof_state &state, const proof_message &answer, std::uint64_t revisionInForce)
{
    const auto question = std::find_if(state.questions.begin(), state.questions.end(), [&answer](const proof_question &asked) {
        return asked.nonce != 0 && asked.nonce == answer.nonce;
    });
    const bool provesOwn{answer.revision > 0 && answer.revision <= revisionInForce};
    if (question == state.questions.end() || !provesOwn || answer.age < duration::zero()) {
        return;
    }
    noteProven(state, question->sentAt - answer.age);
}

std::string encode(const proof_message &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out{buffer};
    out.pack_array(MessageFields);
    out.pack(message.nonce);
    out.pack(message.isAnswer);
    out.pack(message.revision);
    out.pack(message.age.count());
    return {buffer.data(), buffer.size()};
}

std::optional<proof_message> decodeProofMessage(std::string_view bytes)
{
    try {
        const msgpack::unpack_limit limit{MessageFields, 0, 0, 0, 0, MaxDepth};
        std::size_t offset{0};
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        const auto &object = handle.get();
        if (offset != bytes.size() || object.type != msgpack::type::ARRAY || object.via.array.size != MessageFields) {
            return std::nullopt;
        }
        const auto *fields = object.via.array.ptr;
        return proof_message{.nonce = fields[0].as<std::uint64_t>(),
                             .isAnswer = fields[1].as<bool>(),
                             .revision = fields[2].as<std::uint64_t>(),
                             .age = duration{fields[3].as<duration::rep>()}};
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

} // namespace ragwortpin
