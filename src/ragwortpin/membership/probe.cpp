#include "ragwortpin/membership/probe.h"

#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/membership/table.h"
#include "ragwortpin/membership/updates.h"
#include "ragwortpin/peers/datagram.h"

#include <algorithm>
#include <utility>

namespace ragwortpin::internal {

namespace {

constexpr std::size_t MaxRelays{64};
constexpr std::size_t MaxPiggybackBytes{300};

std::uint32_t nextSequence(membership_state &state)
{
    return ++state.lastSequence;
}

void ping(membership_state &state, outputs &out, const member &target, std::uint32_t sequence, bool isVerification)
{
    auto message = makeMessage(state, membership_message_kind::Ping, sequence);
    if (target.status != member_status::Alive || isVerification) {
        auto suspicion = updateOf(target, true);
        suspicion.status = member_status::Suspect;
        message.updates.push_back(std::move(suspicion));
    }
    send(state, out, gossipAddress(target), std::move(message));
}

/**
 * Removes and returns a random member that other nodes reported dead and that is live in the local table. Returns null if there is
 * none.
 */
member *takeReportedDead(membership_state &state, std::mt19937_64 &random)
{
    while (!state.reportedDead.empty()) {
        std::uniform_int_distribution<std::size_t> distribution{0, state.reportedDead.size() - 1};
        std::swap(state.reportedDead[distribution(random)], state.reportedDead.back());
        auto *target = findMember(state, state.reportedDead.back());
        state.reportedDead.pop_back();
        if (target != nullptr && isLive(*target)) {
            return target;
        }
    }
    return nullptr;
}

member *chooseProbeTarget(membership_state &state, std::mt19937_64 &random)
{
    std::bernoulli_distribution ownZone{state.options.ownZoneFraction};
    auto *target = ownZone(random) ? pickLiveInOwnZone(state, random) : nullptr;
    return target == nullptr ? pickLive(state, random) : target;
}

void startProbe(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out)
{
    auto *target = takeReportedDead(state, random);
    const auto isVerification = target != nullptr;
    if (!isVerification) {
        target = chooseProbeTarget(state, random);
    }
    if (target == nullptr) {
        return;
    }
    state.probe = membership_probe{target->record.name, nextSequence(state), now, 1, false, isVerification};
    ++state.counters.probes;
    ping(state, out, *target, state.probe->sequence, isVerification);
}

void probeIndirectly(membership_state &state, const member &target, std::mt19937_64 &random, outputs &out)
{
    state.probe->isIndirect = true;
    ping(state, out, target, state.probe->sequence, state.probe->isVerification);
    for (std::size_t count{0}; count < state.options.indirectProbes; ++count) {
        const auto *relay = pickLive(state, random);
        if (relay == nullptr || relay == &target) {
            continue;
        }
        auto message = makeMessage(state, membership_message_kind::PingRequest, state.probe->sequence);
        message.target = gossipAddress(target);
        send(state, out, gossipAddress(*relay), std::move(message));
    }
}

/** Repeats an unanswered probe for another period, or marks its target as suspected after the last attempt. */
void handleProbeFailure(membership_state &state, time_point now, member &target, outputs &out)
{
    ++state.counters.probeFailures;
    if (state.probe->attempts >= state.options.probeAttempts) {
        state.probe.reset();
        startSuspicion(state, now, target);
        return;
    }
    state.probe->startedAt = now;
    state.probe->isIndirect = false;
    ++state.probe->attempts;
    ping(state, out, target, state.probe->sequence, state.probe->isVerification);
}

bool isLiveMemberAddress(const membership_state &state, const peer_address &address)
{
    return std::any_of(state.members.begin(), state.members.end(), [&address](const member &value) {
        return isLive(value) && gossipAddress(value) == address;
    });
}

void pingSeeds(membership_state &state, outputs &out)
{
    for (const auto &seed : state.seeds) {
        if (!isLiveMemberAddress(state, seed)) {
            auto message = makeMessage(state, membership_message_kind::Ping, nextSequence(state));
            message.updates.push_back(updateOf(state.members.front(), false));
            send(state, out, seed, std::move(message));
        }
    }
}

void pingDead(membership_state &state, std::mt19937_64 &random, outputs &out)
{
    std::vector<const member *> dead;
    for (const auto &candidate : state.members) {
        if (candidate.status == member_status::Dead) {
            dead.push_back(&candidate);
        }
    }
    if (dead.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> distribution{0, dead.size() - 1};
    ping(state, out, *dead[distribution(random)], nextSequence(state), false);
}

/** Returns whether a message contains the full record of its sender. */
bool containsSenderRecord(const std::string &sender, const membership_message &message)
{
    return std::any_of(message.updates.begin(), message.updates.end(), [&sender](const member_update &update) {
        return !update.isShort && update.record.name == sender;
    });
}

} // namespace

membership_message makeMessage(const membership_state &state, membership_message_kind kind, std::uint32_t sequence)
{
    membership_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.revision = state.members.front().record.revision;
    message.tableDigest = tableDigest(state);
    return message;
}

void send(membership_state &state, outputs &out, const peer_address &to, membership_message message)
{
    const auto budget = static_cast<std::size_t>(std::max(0.0, state.gossipBytes));
    const auto frame = encodedFrameBound(message);
    if (frame < MaxDatagramPayloadBytes) {
        const auto before = message.updates.size();
        addQueuedUpdates(state, message, std::min({MaxDatagramPayloadBytes - frame, MaxPiggybackBytes, budget}), 1);
        for (auto index = before; index < message.updates.size(); ++index) {
            state.gossipBytes -= static_cast<double>(encodedSizeBound(message.updates[index]));
        }
    }
    out.push_back({to, std::move(message)});
}

void tickProbe(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out)
{
    if (state.probe) {
        auto *target = findMember(state, state.probe->name);
        if (target == nullptr || !isLive(*target)) {
            state.probe.reset();
        } else if (now - state.probe->startedAt >= state.options.probePeriod) {
            handleProbeFailure(state, now, *target, out);
        } else if (!state.probe->isIndirect && now - state.probe->startedAt >= state.options.probeTimeout) {
            probeIndirectly(state, *target, random, out);
        }
    }
    if (now >= state.nextProbe) {
        state.nextProbe = std::max(state.nextProbe + state.options.probePeriod, now);
        if (!state.probe) {
            startProbe(state, now, random, out);
        }
    }
    std::erase_if(state.relays, [now](const membership_relay &relay) {
        return now >= relay.expiresAt;
    });
}

void tickReconnect(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out)
{
    if (now < state.nextReconnect) {
        return;
    }
    const auto hasNoLivePeer = state.liveMembers < 2;
    state.nextReconnect = now + (hasNoLivePeer ? state.options.probePeriod : state.options.reconnectInterval);
    pingSeeds(state, out);
    pingDead(state, random, out);
}

void handlePing(
    membership_state &state, const std::string &sender, const peer_address &from, const membership_message &message, outputs &out)
{
    auto answer = makeMessage(state, membership_message_kind::Ack, message.sequence);
    const auto *known = findMember(state, sender);
    if (known != nullptr && known->status != member_status::Alive) {
        answer.updates.push_back(updateOf(*known, true));
    }
    if (containsSenderRecord(sender, message)) {
        answer.updates.push_back(updateOf(state.members.front(), false));
    }
    send(state, out, from, std::move(answer));
}

void handleAck(membership_state &state, time_point now, const peer_address &from, const membership_message &message, outputs &out)
{
    if (state.probe && state.probe->sequence == message.sequence) {
        state.probe.reset();
    }
    updateDifferingPeer(state, now, from, message.tableDigest);
    const auto relay = std::find_if(state.relays.begin(), state.relays.end(), [&message](const membership_relay &candidate) {
        return candidate.sequence == message.sequence;
    });
    if (relay == state.relays.end()) {
        return;
    }
    const auto answered = *relay;
    state.relays.erase(relay);
    send(state, out, answered.requester, makeMessage(state, membership_message_kind::Ack, answered.requesterSequence));
}

void updateDifferingPeer(membership_state &state, time_point now, const peer_address &from, std::uint32_t digest)
{
    if (digest != tableDigest(state)) {
        if (!state.differingPeer) {
            state.differingSince = now;
        }
        state.differingPeer = from;
    } else if (state.differingPeer == from) {
        state.differingPeer.reset();
    }
}

void handlePingRequest(membership_state &state, time_point now, const peer_address &from, const membership_message &message, outputs &out)
{
    if (state.relays.size() >= MaxRelays || message.target.address.empty()) {
        return;
    }
    const auto sequence = nextSequence(state);
    state.relays.push_back({sequence, from, message.sequence, now + state.options.probePeriod});
    send(state, out, message.target, makeMessage(state, membership_message_kind::Ping, sequence));
}

} // namespace ragwortpin::internal
