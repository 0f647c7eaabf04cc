#include "ragwortpin/membership/protocol.h"

#include "ragwortpin/membership/exchange.h"
#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/membership/probe.h"
#include "ragwortpin/membership/table.h"
#include "ragwortpin/membership/updates.h"
#include "ragwortpin/peers/datagram.h"

#include <algorithm>
#include <utility>

namespace ragwortpin {

namespace {

using internal::outputs;

constexpr std::size_t DatagramOverheadBytes{60};
constexpr std::size_t SampleAttemptsFactor{4};
constexpr duration RemovalInterval{seconds{10}};

/**
 * Compensates for a pause of this process. Cancels the pending probe and relays, because answers could not be received during the
 * pause, and extends the suspicion deadlines by its length, because suspected members had no chance to refute in that time.
 */
void compensatePause(membership_state &state, time_point now)
{
    const auto gap = now - state.lastTick;
    if (gap < state.options.pauseThreshold) {
        return;
    }
    ++state.counters.pauses;
    state.probe.reset();
    state.relays.clear();
    for (const auto &name : state.suspects) {
        auto *target = internal::findMember(state, name);
        if (target != nullptr && target->status == member_status::Suspect) {
            target->deadline += gap;
        }
    }
}

void refillBudget(membership_state &state, time_point now)
{
    const auto elapsed = toSeconds(now - state.lastTick);
    state.gossipBytes = std::min(state.options.gossipBurstBytes, state.gossipBytes + elapsed * state.options.gossipBytesPerSecond);
    state.exchangeBytes = std::min(state.options.exchangeBurstBytes, state.exchangeBytes + elapsed * state.options.exchangeBytesPerSecond);
}

/** Returns the addresses of random live members for one gossip round. The same member can be picked more than once. */
std::vector<peer_address> gossipPeers(membership_state &state, std::mt19937_64 &random)
{
    std::vector<peer_address> peers;
    for (std::size_t count{0}; count < state.options.gossipFanout; ++count) {
        const auto *peer = internal::pickLive(state, random);
        if (peer != nullptr) {
            peers.push_back(internal::gossipAddress(*peer));
        }
    }
    return peers;
}

void tickGossip(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out)
{
    if (now < state.nextGossip || (state.queue.empty() && state.urgentQueue.empty()) || state.gossipBytes <= 0.0) {
        return;
    }
    const auto peers = gossipPeers(state, random);
    if (peers.empty()) {
        return;
    }
    state.nextGossip = now + state.options.gossipInterval;
    auto message = internal::makeMessage(state, membership_message_kind::Gossip, 0);
    const auto frame = encodedFrameBound(message);
    internal::addQueuedUpdates(state, message, MaxDatagramPayloadBytes - frame, static_cast<std::uint16_t>(peers.size()));
    auto bytes = frame + DatagramOverheadBytes;
    for (const auto &update : message.updates) {
        bytes += encodedSizeBound(update);
    }
    for (const auto &peer : peers) {
        state.gossipBytes -= static_cast<double>(bytes);
        out.push_back({peer, message});
    }
}

void tickRemoval(membership_state &state, time_point now)
{
    internal::expireSuspicions(state, now);
    if (now >= state.nextRemoval) {
        state.nextRemoval = now + RemovalInterval;
        internal::removeExpired(state, now);
    }
}

void updateSenderRevision(membership_state &state, const std::string &sender, std::uint64_t revision)
{
    auto *known = internal::findMember(state, sender);
    if (known != nullptr && known->record.revision < revision) {
        known->record.revision = revision;
        ++state.viewVersion;
    }
}

} // namespace

membership_state startMembership(time_point now,
                                 const membership_options &options,
                                 const instance_record &self,
                                 std::vector<peer_address> seeds,
                                 std::mt19937_64 &random)
{
    membership_state state;
    state.options = options;
    state.seeds = std::move(seeds);
    state.gossipBytes = options.gossipBurstBytes;
    state.exchangeBytes = options.exchangeBurstBytes;
    state.bulkSyncProgressAt = now;
    state.lastTick = now;
    state.lastExchange = now - options.exchangeInterval;
    state.lastSequence = static_cast<std::uint32_t>(random());
    std::uniform_int_distribution<duration::rep> phase{0, options.probePeriod.count()};
    state.nextProbe = now + duration{phase(random)};
    state.nextGossip = now;
    state.nextReconnect = now;
    state.nextRemoval = now + RemovalInterval;
    auto *added = internal::insertMember(state, self);
    internal::enqueue(state, *added, true, internal::urgency::Urgent);
    return state;
}

void setSeeds(membership_state &state, std::vector<peer_address> seeds)
{
    state.seeds = std::move(seeds);
}

void setOwnRecord(membership_state &state, instance_record record)
{
    auto &self = state.members.front();
    record.name = self.record.name;
    record.incarnation = self.record.incarnation;
    if (self.record.state == instance_state::Gone) {
        record.state = instance_state::Gone;
    }
    const auto isNewDescription = descriptionHash(record) != self.descriptionHash;
    if (isNewDescription || record.state != self.record.state) {
        ++record.incarnation;
        internal::replaceMember(state, self, record, member_status::Alive);
        internal::enqueue(state, self, isNewDescription, internal::urgency::Urgent);
    }
    setOwnRevision(state, record.revision);
}

void setOwnRevision(membership_state &state, std::uint64_t revision)
{
    auto &own = state.members.front().record.revision;
    if (own != revision) {
        own = revision;
        ++state.viewVersion;
    }
}

std::vector<membership_output> tickMembership(membership_state &state, time_point now, std::mt19937_64 &random)
{
    outputs out;
    compensatePause(state, now);
    refillBudget(state, now);
    state.lastTick = now;
    tickRemoval(state, now);
    internal::tickProbe(state, now, random, out);
    internal::tickReconnect(state, now, random, out);
    internal::tickExchange(state, now, random, out);
    tickGossip(state, now, random, out);
    return out;
}

std::vector<membership_output> handleMembershipMessage(membership_state &state,
                                                       time_point now,
                                                       const std::string &sender,
                                                       const peer_address &from,
                                                       const membership_message &message,
                                                       std::mt19937_64 &random)
{
    outputs out;
    if (sender == state.members.front().record.name) {
        return out;
    }
    const auto versionBefore = state.viewVersion;
    for (const auto &update : message.updates) {
        internal::applyUpdate(state, now, update);
    }
    const auto changes = state.viewVersion - versionBefore;
    updateSenderRevision(state, sender, message.revision);
    switch (message.kind) {
    case membership_message_kind::Ping:
        internal::updateDifferingPeer(state, now, from, message.tableDigest);
        internal::handlePing(state, sender, from, message, out);
        break;
    case membership_message_kind::Ack:
        internal::handleAck(state, now, from, message, out);
        break;
    case membership_message_kind::PingRequest:
        internal::handlePingRequest(state, now, from, message, out);
        break;
    case membership_message_kind::ExchangeRequest:
        internal::updateDifferingPeer(state, now, from, message.tableDigest);
        internal::handleExchangeRequest(state, random, from, message, out);
        break;
    case membership_message_kind::ExchangeReply:
        internal::handleExchangeReply(state, now, from, message, changes);
        break;
    case membership_message_kind::Gossip:
        break;
    }
    return out;
}

membership_view membershipView(const membership_state &state)
{
    membership_view view;
    view.instances.reserve(state.liveMembers);
    for (const auto &candidate : state.members) {
        if (internal::isLive(candidate)) {
            view.instances.push_back(candidate.record);
        }
    }
    std::sort(view.instances.begin(), view.instances.end(), [](const instance_record &left, const instance_record &right) {
        return left.name < right.name;
    });
    return view;
}

std::vector<instance_record> samplePeers(membership_state &state, std::size_t count, std::mt19937_64 &random)
{
    std::vector<instance_record> peers;
    for (auto attempt = count * SampleAttemptsFactor; attempt > 0 && peers.size() < count; --attempt) {
        const auto *peer = internal::pickLive(state, random);
        if (peer == nullptr) {
            break;
        }
        const auto isKnown = std::any_of(peers.begin(), peers.end(), [peer](const instance_record &record) {
            return record.name == peer->record.name;
        });
        if (!isKnown) {
            peers.push_back(peer->record);
        }
    }
    return peers;
}

const instance_record *findPeer(const membership_state &state, const std::string &name)
{
    const auto found = state.indexByName.find(name);
    return found == state.indexByName.end() ? nullptr : &state.members[found->second].record;
}

} // namespace ragwortpin
