#include "ragwortpin/membership/exchange.h"

#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/membership/table.h"
#include "ragwortpin/membership/updates.h"
#include "ragwortpin/peers/datagram.h"

#include <algorithm>
#include <utility>

namespace ragwortpin::internal {

namespace {

constexpr std::size_t DatagramOverheadBytes{128};

/** How much longer than the exchange interval a node waits for its table to come to rest before it exchanges anyway. */
constexpr int UnrestFactor{5};

bool isExchangeDue(const membership_state &state, time_point now)
{
    const auto sinceExchange = now - state.lastExchange;
    if (state.isLoading) {
        return sinceExchange >= state.options.loadInterval;
    }
    if (!state.differingPeer || sinceExchange < state.options.exchangeInterval || state.budgetBytes <= 0.0) {
        return false;
    }
    const auto isAtRest = now - state.lastChange >= state.options.exchangeInterval;
    return isAtRest || sinceExchange >= UnrestFactor * state.options.exchangeInterval;
}

void charge(membership_state &state, const membership_message &message)
{
    auto bytes = encodedFrameBound(message) + DatagramOverheadBytes;
    for (const auto &update : message.updates) {
        bytes += encodedSizeBound(update);
    }
    state.budgetBytes -= static_cast<double>(bytes);
}

std::vector<const member *> membersThatDiffer(const membership_state &state, const membership_message &request, std::mt19937_64 &random)
{
    std::array<bool, MembershipParts> differs{};
    for (std::size_t part{0}; part < MembershipParts; ++part) {
        differs[part] = state.partDigests[part] != request.partDigests[part];
    }
    std::vector<const member *> chosen;
    for (const auto &candidate : state.members) {
        if (differs[partOf(candidate.record.name)]) {
            chosen.push_back(&candidate);
        }
    }
    std::shuffle(chosen.begin(), chosen.end(), random);
    return chosen;
}

} // namespace

void tickExchange(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out)
{
    state.isLoading = state.isLoading && now - state.startedAt < state.options.loadTimeLimit;
    if (!isExchangeDue(state, now)) {
        return;
    }
    auto to = state.differingPeer;
    if (!to || state.isLoading) {
        const auto *peer = pickLive(state, random);
        if (peer == nullptr) {
            return;
        }
        to = gossipAddress(*peer);
    }
    state.lastExchange = now;
    state.differingPeer.reset();
    ++state.counters.exchanges;
    auto message = makeMessage(state, membership_message_kind::ExchangeRequest, ++state.lastSequence);
    message.wantedReplies = state.isLoading ? state.options.loadReplies : 1;
    message.partDigests.assign(state.partDigests.begin(), state.partDigests.end());
    charge(state, message);
    out.push_back({*to, std::move(message)});
}

void handleExchangeRequest(
    membership_state &state, std::mt19937_64 &random, const peer_address &from, const membership_message &message, outputs &out)
{
    if (message.partDigests.size() != MembershipParts || state.budgetBytes <= 0.0) {
        return;
    }
    const auto chosen = membersThatDiffer(state, message, random);
    const auto replies = std::min(message.wantedReplies, state.options.loadReplies);
    auto next = chosen.begin();
    for (std::uint8_t count{0}; count < replies; ++count) {
        auto reply = makeMessage(state, membership_message_kind::ExchangeReply, message.sequence);
        auto bytes = encodedFrameBound(reply);
        while (next != chosen.end()) {
            auto update = updateOf(**next, !isLive(**next));
            bytes += encodedSizeBound(update);
            if (bytes > MaxDatagramPayloadBytes) {
                break;
            }
            reply.updates.push_back(std::move(update));
            ++next;
        }
        charge(state, reply);
        out.push_back({from, std::move(reply)});
        if (next == chosen.end() || state.budgetBytes <= 0.0) {
            return;
        }
    }
}

void handleExchangeReply(membership_state &state, const peer_address &from, const membership_message &message)
{
    if (message.tableDigest == tableDigest(state)) {
        state.isLoading = false;
        return;
    }
    state.differingPeer = from;
}

} // namespace ragwortpin::internal
