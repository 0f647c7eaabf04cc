#include "ragwortpin/membership/exchange.h"

#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/membership/table.h"
#include "ragwortpin/membership/updates.h"
#include "ragwortpin/peers/datagram.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace ragwortpin::internal {

namespace {

constexpr std::size_t DatagramOverheadBytes{60};

/** Number of changes made by one reply at which the local table counts as far from complete, so that a bulk sync starts. */
constexpr std::uint64_t BulkSyncChangeThreshold{4};

bool isExchangeDue(const membership_state &state, time_point now)
{
    if (state.exchangeBytes <= 0.0) {
        return false;
    }
    const auto sinceExchange = now - state.lastExchange;
    if (state.isBulkSyncing) {
        return sinceExchange >= state.options.bulkSyncInterval;
    }
    if (!state.differingPeer) {
        return false;
    }
    return std::min(now - state.differingSince, sinceExchange) >= state.options.exchangeInterval;
}

/** Subtracts the upper bound of a message's datagram size from the exchange byte budget. */
void chargeExchangeBudget(membership_state &state, const membership_message &message)
{
    auto bytes = encodedFrameBound(message) + DatagramOverheadBytes;
    for (const auto &update : message.updates) {
        bytes += encodedSizeBound(update);
    }
    state.exchangeBytes -= static_cast<double>(bytes);
}

/** Returns the members of the hash buckets whose digests differ, grouped by bucket, with the buckets in random order. */
std::vector<const member *>
membersOfDifferingBuckets(const membership_state &state, const membership_message &request, std::mt19937_64 &random)
{
    std::vector<std::size_t> order(MembershipBuckets);
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), random);
    std::vector<std::pair<std::size_t, const member *>> chosen;
    for (const auto &candidate : state.members) {
        const auto bucket = bucketOf(candidate.record.name);
        if (state.bucketDigests[bucket] != request.bucketDigests[bucket]) {
            chosen.emplace_back(order[bucket], &candidate);
        }
    }
    std::sort(chosen.begin(), chosen.end());
    std::vector<const member *> members;
    members.reserve(chosen.size());
    for (const auto &entry : chosen) {
        members.push_back(entry.second);
    }
    return members;
}

/**
 * Returns whether the live members of a reply are sent in short form. A peer with at least 95 % as many members as this node
 * receives the short form for every second sequence number only: although the counts are similar, it may lack some of these members
 * and then needs the full form.
 */
bool usesShortForm(const membership_state &state, const membership_message &request)
{
    constexpr double SimilarSizeRatio{0.95};
    const auto known = static_cast<double>(state.members.size());
    return request.memberCount >= SimilarSizeRatio * known && request.sequence % 2 == 0;
}

} // namespace

void tickExchange(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out)
{
    if (now - state.bulkSyncProgressAt >= state.options.bulkSyncIdleTimeout) {
        state.isBulkSyncing = false;
    }
    if (!isExchangeDue(state, now)) {
        return;
    }
    auto to = state.differingPeer;
    if (!to || state.isBulkSyncing) {
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
    message.requestedReplies = state.isBulkSyncing ? state.options.bulkSyncReplies : 1;
    message.memberCount = static_cast<std::uint32_t>(state.members.size());
    message.bucketDigests.assign(state.bucketDigests.begin(), state.bucketDigests.end());
    chargeExchangeBudget(state, message);
    out.push_back({*to, std::move(message)});
}

void handleExchangeRequest(
    membership_state &state, std::mt19937_64 &random, const peer_address &from, const membership_message &message, outputs &out)
{
    if (message.bucketDigests.size() != MembershipBuckets || state.exchangeBytes <= 0.0) {
        return;
    }
    const auto chosen = membersOfDifferingBuckets(state, message, random);
    const auto replies = std::min(message.requestedReplies, state.options.bulkSyncReplies);
    const auto isShort = usesShortForm(state, message);
    auto next = chosen.begin();
    for (std::uint8_t count{0}; count < replies; ++count) {
        auto reply = makeMessage(state, membership_message_kind::ExchangeReply, message.sequence);
        auto bytes = encodedFrameBound(reply);
        while (next != chosen.end()) {
            auto update = updateOf(**next, isShort || !isLive(**next));
            bytes += encodedSizeBound(update);
            if (bytes > MaxDatagramPayloadBytes) {
                break;
            }
            reply.updates.push_back(std::move(update));
            ++next;
        }
        chargeExchangeBudget(state, reply);
        out.push_back({from, std::move(reply)});
        if (next == chosen.end() || state.exchangeBytes <= 0.0) {
            return;
        }
    }
}

void handleExchangeReply(
    membership_state &state, time_point now, const peer_address &from, const membership_message &message, std::uint64_t changes)
{
    const auto isEqual = message.tableDigest == tableDigest(state);
    if (isEqual || changes == 0) {
        state.isBulkSyncing = false;
    } else if (changes >= BulkSyncChangeThreshold) {
        state.isBulkSyncing = true;
        state.bulkSyncProgressAt = now;
    }
    updateDifferingPeer(state, now, from, message.tableDigest);
}

} // namespace ragwortpin::internal
