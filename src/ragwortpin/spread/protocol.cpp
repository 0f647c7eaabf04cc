#include "ragwortpin/spread/protocol.h"

#include "ragwortpin/peers/error.h"

#include <algorithm>
#include <utility>

namespace ragwortpin {

namespace {

/**
 * Returns the pause after a read that failed or proved nothing, between 0.5 and 1.5 times the mean. The first two nodes of an availability
 * zone try again soon, so that the end of an outage is noticed; for the others the mean grows with the zone, so that their number does not
 * matter.
 */
duration pollPause(const spread_state &state, const poll_position &position) noexcept
{
    constexpr std::size_t FrequentNodes{2};
    constexpr double MinFactor{0.5};
    const auto nodes = position.zonePlace < FrequentNodes ? position.zonePlace + 1 : position.zoneSize;
    const double factor{static_cast<double>(nodes) * state.pollBackoff * (MinFactor + state.pollJitter)};
    return fromSeconds(toSeconds(state.options.zonePollInterval) * factor);
}

/** Returns whether the own proof is newer than the last read, so that the store answers somebody. */
bool isProvenSinceLastPoll(const spread_state &state) noexcept
{
    return state.proof.provenAt && *state.proof.provenAt >= state.lastPollAt;
}

void handlePollFailure(spread_state &state, time_point now, const poll_position &position)
{
    state.isPolling = false;
    const bool isFirstFailure{!std::exchange(state.pollFailed, true)};
    ++state.counters.pollFailures;
    state.pollBackoff = isProvenSinceLastPoll(state) ? 1 : std::min(2 * state.pollBackoff, state.options.maxPollBackoff);
    state.pollPausedSince = now;
    // The first failure may be that of a kept connection alone, so that the store is read again at once, on a new one.
    state.isPollRepeated = isFirstFailure && position.rank < state.options.pollLeaders;
}

bool isNewerRevisionClaimed(const spread_state &state) noexcept
{
    return std::any_of(state.claims.begin(), state.claims.end(), [&state](const revision_claim &claim) {
        return claim.revision > state.inForce.revision;
    });
}

/** Returns the time at which the proof of a node is so old that it reads the store itself; see nextPollDue(). */
time_point proofReadDue(const spread_state &state, time_point provenAt, const poll_position &position) noexcept
{
    const auto &options = state.options;
    const auto firstDue = provenAt + options.zonePollInterval;
    if (position.rank < options.pollLeaders) {
        return firstDue + static_cast<duration::rep>(position.rank) * options.pollStagger;
    }
    const auto leadersDue = firstDue + static_cast<duration::rep>(options.pollLeaders) * options.pollStagger;
    const auto due = leadersDue + static_cast<duration::rep>(position.rank - options.pollLeaders) * options.followerStagger;
    const auto unansweredSince = state.proof.unansweredSince;
    const bool isBehind{isNewerRevisionClaimed(state)};
    if (!unansweredSince && !isBehind) {
        return due;
    }
    const double spread{static_cast<double>(options.isolatedPollSpread.count()) * static_cast<double>(position.fleetSize)};
    const auto dueAlone = leadersDue + duration{static_cast<duration::rep>(state.pollJitter * spread)};
    return std::min(due, isBehind ? dueAlone : std::max(dueAlone, *unansweredSince + options.isolationTimeout));
}

bool tickPoll(spread_state &state, time_point now, const poll_position &position, std::mt19937_64 &random)
{
    if (state.isPolling && now >= state.pollDeadline) {
        handlePollFailure(state, now, position);
    }
    if (state.isPolling || now < nextPollDue(state, position)) {
        return false;
    }
    if (state.proof.provenAt && *state.proof.provenAt >= state.lastPollAt + state.options.failedPollPause) {
        // Peers have read since: what failed then says nothing about the next read.
        state.pollFailed = false;
        state.pollBackoff = 1;
    }
    state.isPollRepeated = false;
    state.isPolling = true;
    state.isPollRequested = false;
    state.lastPollAt = now;
    state.pollDeadline = now + state.options.pollTimeout;
    state.pollJitter = std::uniform_real_distribution<double>{}(random);
    ++state.counters.polls;
    return true;
}

/** Suspends pulls from a peer until the given time. */
void deferClaimsOf(spread_state &state, const std::string &peer, time_point notBefore)
{
    for (auto &claim : state.claims) {
        if (claim.peer == peer) {
            claim.notBefore = notBefore;
        }
    }
}

/** Ends the pending pull as failed and suspends pulls from its peer. After several consecutive failures the store is read at once. */
void handlePullFailure(spread_state &state, time_point now, duration retryDelay)
{
    ++state.counters.pullFailures;
    ++state.pullFailuresInRow;
    deferClaimsOf(state, state.pull->peer, now + retryDelay);
    state.pull.reset();
    if (state.pullFailuresInRow >= state.options.pullFailuresBeforePoll) {
        state.pullFailuresInRow = 0;
        requestPoll(state);
    }
}

/** Returns whether content with the given revision may be applied. */
bool isAcceptable(const spread_state &state, std::uint64_t revision)
{
    return revision > state.inForce.revision && revision >= state.provenRevision;
}

/** Returns a random usable claim, preferring peers in the own availability zone, or null if there is none. */
const revision_claim *chooseClaim(const spread_state &state, time_point now, std::mt19937_64 &random)
{
    std::vector<const revision_claim *> usable;
    for (const auto &claim : state.claims) {
        if (now >= claim.notBefore && isAcceptable(state, claim.revision)) {
            usable.push_back(&claim);
        }
    }
    const auto isOwn = [](const revision_claim *claim) {
        return claim->isInOwnZone;
    };
    const auto ownEnd = std::partition(usable.begin(), usable.end(), isOwn);
    const auto end = ownEnd == usable.begin() ? usable.end() : ownEnd;
    if (end == usable.begin()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::ptrdiff_t> distribution{0, end - usable.begin() - 1};
    return usable[static_cast<std::size_t>(distribution(random))];
}

std::vector<spread_output> tickAnnounce(spread_state &state, time_point now, std::span<const instance_record> peers)
{
    std::vector<spread_output> messages;
    if (state.announceRoundsLeft == 0 || now < state.nextAnnounce || peers.empty()) {
        return messages;
    }
    --state.announceRoundsLeft;
    state.nextAnnounce = now + state.options.announceInterval;
    for (const auto &peer : peers.first(std::min(peers.size(), state.options.announceFanout))) {
        messages.push_back({{peer.address, peer.gossipPort}, {state.inForce.revision, state.peersPort}});
        ++state.counters.announcements;
    }
    return messages;
}

void addNotifications(const spread_state &state,
                      time_point now,
                      std::span<const instance_record> recipients,
                      std::vector<proof_output> &messages)
{
    if (const auto notification = makeNotification(state.proof, state.inForce.revision, now)) {
        for (const auto &peer : recipients) {
            messages.push_back({{peer.address, peer.gossipPort}, *notification});
        }
    }
}

std::optional<configuration_content> restoreContent(const spread_state &state, const content_patch &patch)
{
    if (patch.baseRevision == 0) {
        return applyPatch({}, patch);
    }
    // Another content may have come into force since the pull was sent.
    const auto base = std::find_if(state.history.begin(), state.history.end(), [&patch](const configuration_content &content) {
        return content.revision == patch.baseRevision;
    });
    return applyPatch(base == state.history.end() ? state.inForce : *base, patch);
}

void trimHistory(spread_state &state)
{
    std::size_t bytes{0};
    std::size_t kept{0};
    for (const auto &content : state.history) {
        bytes += content.text.size();
        if (kept == state.options.maxHistory || bytes > state.options.maxHistoryBytes) {
            break;
        }
        ++kept;
    }
    state.history.resize(kept);
}

} // namespace

spread_state startSpread(time_point now, const spread_options &options, std::uint16_t peersPort, std::mt19937_64 &random)
{
    spread_state state;
    state.options = options;
    state.peersPort = peersPort;
    std::uniform_int_distribution<duration::rep> delay{0, options.startSpread.count()};
    state.firstPollAt = now + options.startGrace + duration{delay(random)};
    state.pollJitter = std::uniform_real_distribution<double>{}(random);
    return state;
}

spread_actions tickSpread(
    spread_state &state, time_point now, const spread_topology &topology, std::span<const instance_record> peers, std::mt19937_64 &random)
{
    spread_actions actions;
    actions.poll = tickPoll(state, now, topology.position, random);
    actions.pull = tickPull(state, now, random);
    actions.messages = tickAnnounce(state, now, peers);
    actions.proofMessages = tickProof(state.proof, now, peers, random);
    return actions;
}

time_point nextPollDue(const spread_state &state, const poll_position &position) noexcept
{
    if (state.isPollRequested || state.isPollRepeated) {
        return time_point{};
    }
    const auto provenAt = state.proof.provenAt;
    auto due = provenAt ? proofReadDue(state, *provenAt, position) : state.firstPollAt;
    if (state.proof.notifiedAt) {
        due = std::max(due, *state.proof.notifiedAt + state.options.notificationTimeout);
    }
    if (!state.pollPausedSince) {
        return due;
    }
    const auto pauseEnd = *state.pollPausedSince + pollPause(state, position);
    return std::max(due, isProvenSinceLastPoll(state) ? std::min(pauseEnd, state.lastPollAt + state.options.failedPollPause) : pauseEnd);
}

spread_actions handleProofMessage(spread_state &state,
                                  time_point now,
                                  const revision_claim &sender,
                                  const peer_address &from,
                                  const proof_message &message,
                                  const spread_topology &topology,
                                  std::mt19937_64 &random)
{
    spread_actions actions;
    if (!message.isAnswer) {
        if (const auto answer = answerProof(state.proof, message, state.inForce.revision, now)) {
            actions.proofMessages.push_back({from, *answer});
        }
        return actions;
    }
    if (sender.revision > 0) {
        recordClaim(state, now, sender);
        actions.pull = tickPull(state, now, random);
    }
    if (message.nonce == 0) {
        if (const auto question = handleNotification(state.proof, message, state.inForce.revision, now, random)) {
            actions.proofMessages.push_back({from, *question});
        }
        return actions;
    }
    const auto before = state.proof.provenAt;
    handleProofAnswer(state.proof, message, state.inForce.revision);
    const bool isNew{state.proof.provenAt && (!before || *state.proof.provenAt - *before >= state.proof.options.minGain)};
    if (isNew) {
        addNotifications(state, now, topology.successors, actions.proofMessages);
        if (!sender.isInOwnZone) {
            addNotifications(state, now, topology.zoneRoots, actions.proofMessages);
        }
    }
    return actions;
}

spread_actions recordHeadProof(spread_state &state, time_point now, const head_reply &reply, const spread_topology &topology)
{
    spread_actions actions;
    const bool provesRevision{!reply.error && reply.askedAt && reply.revision > 0 && reply.revision <= state.inForce.revision};
    if (!provesRevision) {
        return actions;
    }
    recordProof(state.proof, *reply.askedAt);
    state.pollPausedSince.reset();
    addNotifications(state, now, topology.otherZones, actions.proofMessages);
    addNotifications(state, now, topology.zoneRoots, actions.proofMessages);
    addNotifications(state, now, topology.successors, actions.proofMessages);
    return actions;
}

spread_actions notifyApplied(const spread_state &state, time_point now, const spread_topology &topology)
{
    spread_actions actions;
    addNotifications(state, now, topology.zoneRoots, actions.proofMessages);
    addNotifications(state, now, topology.successors, actions.proofMessages);
    return actions;
}

std::optional<pull_request> tickPull(spread_state &state, time_point now, std::mt19937_64 &random)
{
    if (state.pull && now >= state.pullDeadline) {
        handlePullFailure(state, now, state.options.pullRetryDelay);
    }
    if (state.pull) {
        return std::nullopt;
    }
    const auto *claim = chooseClaim(state, now, random);
    if (claim == nullptr) {
        return std::nullopt;
    }
    state.pull
        = pull_request{++state.lastPullId, claim->peer, claim->control, state.isNextPullFull ? 0 : state.inForce.revision, claim->revision};
    state.pullDeadline = now + state.options.pullTimeout;
    ++state.counters.pulls;
    return state.pull;
}

void recordClaim(spread_state &state, time_point now, const revision_claim &claim)
{
    const auto known = std::find_if(state.claims.begin(), state.claims.end(), [&claim](const revision_claim &candidate) {
        return candidate.peer == claim.peer;
    });
    if (known != state.claims.end()) {
        const auto notBefore = known->notBefore;
        *known = claim;
        known->notBefore = notBefore;
        return;
    }
    if (claim.revision <= state.inForce.revision) {
        return;
    }
    if (state.claims.size() >= state.options.maxClaims) {
        const auto deferredClaim = std::find_if(state.claims.begin(), state.claims.end(), [now](const revision_claim &candidate) {
            return now < candidate.notBefore;
        });
        if (deferredClaim == state.claims.end()) {
            return;
        }
        state.claims.erase(deferredClaim);
    }
    state.claims.push_back(claim);
    state.claims.back().notBefore = time_point{};
}

std::optional<configuration_content> handlePullReply(spread_state &state, time_point now, const pull_reply &reply)
{
    if (!state.pull || state.pull->id != reply.id) {
        return std::nullopt;
    }
    if (reply.error) {
        handlePullFailure(state, now, state.options.pullRetryDelay);
        return std::nullopt;
    }
    auto content = restoreContent(state, reply.patch);
    state.isNextPullFull = !content && reply.patch.baseRevision > 0;
    if (content && content->revision >= state.pull->claimedRevision && content->revision <= state.inForce.revision) {
        // The peer proved its claim, but the content came into force by another way meanwhile.
        state.pull.reset();
        state.pullFailuresInRow = 0;
        return std::nullopt;
    }
    if (!content || !isAcceptable(state, content->revision)) {
        ++state.counters.unprovenClaims;
        handlePullFailure(state, now, state.options.unprovenClaimDelay);
        return std::nullopt;
    }
    state.lastProvider = state.pull->peer;
    state.pull.reset();
    state.pullFailuresInRow = 0;
    return content;
}

std::optional<configuration_content>
handleHeadReply(spread_state &state, time_point now, const poll_position &position, const head_reply &reply)
{
    if (reply.error) {
        if (state.isPolling) {
            handlePollFailure(state, now, position);
        }
        return std::nullopt;
    }
    state.isPolling = false;
    state.pollFailed = false;
    state.pollBackoff = 1;
    state.isStoreEmpty = reply.revision == 0;
    state.pollPausedSince = now;
    state.provenRevision = std::max(state.provenRevision, reply.revision);
    if (!reply.content || !isIntact(*reply.content) || !isAcceptable(state, reply.content->revision)) {
        return std::nullopt;
    }
    state.lastProvider.clear();
    return reply.content;
}

void requestPoll(spread_state &state) noexcept
{
    state.isPollRequested = true;
}

void recordApplied(spread_state &state, time_point now, configuration_content content)
{
    if (content.revision <= state.inForce.revision) {
        return;
    }
    if (state.inForce.revision > 0) {
        state.history.push_front(std::move(state.inForce));
        trimHistory(state);
    }
    state.inForce = std::move(content);
    state.provenRevision = std::max(state.provenRevision, state.inForce.revision);
    state.announceRoundsLeft = state.options.announceRounds;
    state.nextAnnounce = now;
    ++state.counters.applied;
    std::erase_if(state.claims, [&state, now](const revision_claim &claim) {
        return claim.revision <= state.inForce.revision && now >= claim.notBefore;
    });
}

void recordRejected(spread_state &state, time_point now)
{
    ++state.counters.rejected;
    deferClaimsOf(state, state.lastProvider, now + state.options.unprovenClaimDelay);
}

std::optional<content_patch> answerPull(const spread_state &state, std::uint64_t baseRevision)
{
    if (state.inForce.revision == 0) {
        return std::nullopt;
    }
    for (const auto &content : state.history) {
        if (content.revision == baseRevision) {
            return makePatch(content, state.inForce);
        }
    }
    return makePatch({}, state.inForce);
}

spread_status spreadStatus(const spread_state &state) noexcept
{
    if (state.inForce.revision > 0) {
        return spread_status::InForce;
    }
    if (state.isStoreEmpty) {
        return spread_status::NothingPublished;
    }
    return state.pollFailed ? spread_status::Unavailable : spread_status::Loading;
}

std::string_view describe(spread_status status) noexcept
{
    switch (status) {
    case spread_status::InForce:
        return "A configuration is in force.";
    case spread_status::Loading:
        return "No configuration yet; peers and the platform's store are being asked.";
    case spread_status::Unavailable:
        return "No configuration: no peer has one and the platform's store cannot be read; check the seeds and the store's address.";
    case spread_status::NothingPublished:
        return "No configuration was published; publish one.";
    }
    return {};
}

} // namespace ragwortpin
