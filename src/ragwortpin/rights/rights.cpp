#include "ragwortpin/rights/rights.h"

#include "ragwortpin/rights/apportion.h"
#include "ragwortpin/rights/batches.h"
#include "ragwortpin/rights/loans.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragwortpin {

namespace {

/** Time constant of the exponential smoothing of the demand. */
constexpr duration DemandTimeConstant{milliseconds{500}};
constexpr duration RecallInterval{milliseconds{500}};
constexpr duration UnknownWorkspaceRetryAfter{seconds{1}};
constexpr duration MinRetryAfter{milliseconds{1}};
constexpr duration MaxRetryAfter{seconds{60}};

void removeSlotRights(workspace_rights &rights)
{
    std::erase_if(rights.bucket.rights, [](const held_right &right) {
        return right.lender.empty();
    });
}

/** Adds the rights of one workspace that come from this node's slots. */
void addSlotRights(rights_state &state, const workspace &object, workspace_rights &rights, time_point now)
{
    for (const auto &[index, slot] : state.slots.owned) {
        const auto share = usableShare(state, slot, object, now);
        if (share.rate > 0.0 || share.cap > 0) {
            rights.bucket.rights.push_back({{}, 0, index, share.rate, share.cap, slot.usableUntil});
        }
    }
}

/** Recomputes the rights that come from this node's slots after a change of the slots or of the configuration. */
void refreshSlotRights(rights_state &state, time_point now)
{
    for (auto &[name, rights] : state.workspaces) {
        state.counters.loansExpired += updateBucket(rights.bucket, now);
        removeSlotRights(rights);
    }
    if (state.config) {
        for (const auto &object : state.config->workspaces) {
            addSlotRights(state, object, state.workspaces.at(object.name), now);
        }
    }
    state.nextRefreshAt.reset();
    for (const auto &[index, slot] : state.slots.owned) {
        if (slot.usableFrom > now) {
            state.nextRefreshAt = std::min(state.nextRefreshAt.value_or(slot.usableFrom), slot.usableFrom);
        }
    }
    for (auto &[name, rights] : state.workspaces) {
        updateBucket(rights.bucket, now);
    }
}

using names_by_zone = std::map<std::string_view, std::vector<std::string_view>>;

[[nodiscard]] names_by_zone readyInstancesByZone(const rights_state &state)
{
    names_by_zone names;
    if (!state.members) {
        return names;
    }
    for (const auto &instance : state.members->instances) {
        if (instance.state == instance_state::Ready) {
            names[instance.availabilityZone].push_back(instance.name);
        }
    }
    return names;
}

/** Chooses one pool for the workspace among the ready instances of all availability zones. */
[[nodiscard]] std::vector<std::string> chooseFleetPool(std::string_view workspace, const names_by_zone &names)
{
    std::vector<std::string_view> all;
    for (const auto &[zone, instances] : names) {
        all.insert(all.end(), instances.begin(), instances.end());
    }
    return {std::string{choosePool(workspace, all)}};
}

/** Returns whether the burst is so small that tokens divided among availability zones would often be in a zone that does not need them. */
[[nodiscard]] bool usesFleetPool(const rights_settings &settings, const configuration &config, const workspace &object)
{
    return object.burst < settings.minZonePoolBurst * static_cast<double>(config.availabilityZones.size());
}

/**
 * Chooses one pool for the workspace in each availability zone. The zone of this node comes first, then the others in the order of
 * their names, starting after this zone and wrapping around.
 */
[[nodiscard]] std::vector<std::string> choosePools(const rights_state &state, std::string_view workspace, const names_by_zone &names)
{
    const std::string_view own{state.self.availabilityZone};
    std::vector<std::string> poolNodes;
    const auto local = names.find(own);
    poolNodes.emplace_back(local == names.end() ? std::string_view{} : choosePool(workspace, local->second));
    for (auto zone = names.upper_bound(own); zone != names.end(); ++zone) {
        poolNodes.emplace_back(choosePool(workspace, zone->second));
    }
    for (auto zone = names.begin(); zone != names.end() && zone->first < own; ++zone) {
        poolNodes.emplace_back(choosePool(workspace, zone->second));
    }
    return poolNodes;
}

void refreshPools(rights_state &state)
{
    if (!state.config) {
        return;
    }
    const auto names = readyInstancesByZone(state);
    for (const auto &object : state.config->workspaces) {
        auto &rights = state.workspaces.at(object.name);
        const auto fleetWide = usesFleetPool(state.settings, *state.config, object);
        auto poolNodes = fleetWide ? chooseFleetPool(object.name, names) : choosePools(state, object.name, names);
        if (!rights.poolNodes.empty() && rights.poolNodes.front() != poolNodes.front()) {
            rights.lastOfferAt = {};
        }
        rights.poolNodes = std::move(poolNodes);
    }
}

[[nodiscard]] bool holdsNothing(const workspace_rights &rights) noexcept
{
    const auto &bucket = rights.bucket;
    return bucket.rights.empty() && bucket.loans.empty() && bucket.batches.empty();
}

/** Erases workspaces that are no longer configured and of which nothing is held, lent or granted. */
void eraseRemovedWorkspaces(rights_state &state)
{
    std::erase_if(state.workspaces, [](const auto &item) {
        return !item.second.configured && holdsNothing(item.second) && item.second.accounts.empty();
    });
}

void updateDemand(workspace_rights &rights, duration elapsed)
{
    if (elapsed <= duration::zero()) {
        return;
    }
    const auto currentRate = rights.takenSinceTick / toSeconds(elapsed);
    const auto weight = 1.0 - std::exp(-toSeconds(elapsed) / toSeconds(DemandTimeConstant));
    rights.demand += weight * (currentRate - rights.demand);
    rights.takenSinceTick = 0;
}

[[nodiscard]] token_decision admit(rights_state &state, workspace_rights &rights)
{
    ++rights.takenSinceTick;
    ++state.counters.admitted;
    return {token_verdict::Admitted, duration::zero()};
}

/** Returns the time until a token may be available: the earliest of this node's own bucket and of the ends of the pools' backoffs. */
[[nodiscard]] duration refusalRetryAfter(const workspace_rights &rights, time_point now)
{
    auto earliest = timeUntilToken(rights.bucket).value_or(MaxRetryAfter);
    for (const auto &account : rights.accounts) {
        earliest = std::min(earliest, std::max(account.backoffUntil - now, MinRetryAfter));
    }
    return std::clamp(earliest, MinRetryAfter, MaxRetryAfter);
}

void endWait(workspace_rights &rights, bool waited)
{
    rights.waitingRequests -= std::min(rights.waitingRequests, waited ? 1U : 0U);
}

[[nodiscard]] token_decision refuse(rights_state &state, duration retryAfter)
{
    ++state.counters.refused;
    return {token_verdict::Refused, retryAfter};
}

} // namespace

rights_state makeRights(const rights_settings &settings, const rights_identity &self, time_point now)
{
    rights_state state;
    state.settings = settings;
    state.self = self;
    state.lastTickAt = now;
    state.lastRenewalAt = now;
    state.slots.nextReadAt = now;
    state.random.seed(self.incarnation);
    return state;
}

void onConfiguration(rights_state &state, std::shared_ptr<const configuration> config, time_point now)
{
    if (!config || (state.config && config->revision <= state.config->revision)) {
        return;
    }
    state.config = std::move(config);
    for (auto &[name, rights] : state.workspaces) {
        rights.configured = false;
    }
    for (const auto &object : state.config->workspaces) {
        auto &rights = state.workspaces[object.name];
        rights.configured = true;
    }
    applyShares(state, state.config->availabilityZones, now);
    refreshSlotRights(state, now);
    refreshPools(state);
}

void onMembers(rights_state &state, std::shared_ptr<const membership_view> members, time_point now)
{
    state.members = std::move(members);
    refreshPools(state);
    renewLoans(state, now);
    offerLoans(state, now);
}

token_decision takeToken(rights_state &state, std::string_view workspace, time_point arrivedAt, time_point now)
{
    const auto found = state.workspaces.find(workspace);
    if (found == state.workspaces.end() || !found->second.configured) {
        return refuse(state, UnknownWorkspaceRetryAfter);
    }
    auto &rights = found->second;
    const auto isFirstAttempt = now <= arrivedAt;
    if (takeFromBucket(rights.bucket, now) || takeFromBatches(state, found->first, rights, now)) {
        endWait(rights, !isFirstAttempt);
        return admit(state, rights);
    }
    if (isFirstAttempt) {
        ++rights.waitingRequests;
        ++state.counters.waited;
    }
    rights.waitingRequests = std::max(rights.waitingRequests, 1U);
    rights.lastWaitAt = now;
    requestFromPools(state, found->first, rights, now);
    const auto retry = refusalRetryAfter(rights, now);
    const auto replyDeadline = replyDueAt(state, rights);
    const auto waitDeadline = arrivedAt + state.settings.maxWait;
    const auto retryAt = replyDeadline && *replyDeadline > now ? std::min(*replyDeadline, waitDeadline) : now + retry;
    if (now < waitDeadline && retryAt <= waitDeadline) {
        return {token_verdict::Wait, retryAt - now};
    }
    endWait(rights, true);
    return refuse(state, retry);
}

void onMessage(rights_state &state, const rights_message &message, time_point now)
{
    struct handler
    {
        rights_state &state;
        const rights_message &message;
        time_point now;

        void operator()(const loan_offer &body) const
        {
            onLoanOffer(state, message, body, now);
        }

        void operator()(const loan_request &body) const
        {
            onLoanRequest(state, message, body, now);
        }

        void operator()(const loan_grant &body) const
        {
            onLoanGrant(state, message, body, now);
        }

        void operator()(const loan_return &body) const
        {
            onLoanReturn(state, message, body, now);
        }

        void operator()(const loan_recall &body) const
        {
            onLoanRecall(state, message, body, now);
        }

        void operator()(const batch_request &body) const
        {
            onBatchRequest(state, message, body, now);
        }

        void operator()(const batch_grant &body) const
        {
            onBatchGrant(state, message, body, now);
        }
    };
    std::visit(handler{state, message, now}, message.body);
}

void onStoreReply(rights_state &state, std::uint64_t token, const store_reply &reply, time_point now)
{
    if (onSlotReply(state, token, reply, now)) {
        refreshSlotRights(state, now);
        offerLoans(state, now);
    }
}

void onTick(rights_state &state, time_point now)
{
    const auto elapsed = now - state.lastTickAt;
    state.lastTickAt = now;
    if (state.nextRefreshAt && now >= *state.nextRefreshAt) {
        refreshSlotRights(state, now);
    }
    for (auto &[name, rights] : state.workspaces) {
        state.counters.loansExpired += updateBucket(rights.bucket, now);
        updateDemand(rights, elapsed);
        tickBatches(state, name, rights, now);
    }
    const auto interval = state.leaving ? RecallInterval : state.settings.loanRenewalInterval;
    if (now >= state.lastRenewalAt + interval) {
        state.lastRenewalAt = now;
        renewLoans(state, now);
        if (state.leaving) {
            recallLoans(state, now);
        }
    }
    if (!state.leaving) {
        offerLoans(state, now);
    }
    tickSlots(state, now);
    eraseRemovedWorkspaces(state);
}

void beginRelease(rights_state &state, time_point now)
{
    if (state.leaving) {
        return;
    }
    state.leaving = true;
    state.lastRenewalAt = now;
    renewLoans(state, now);
    recallLoans(state, now);
}

bool isReleaseComplete(const rights_state &state)
{
    const auto nothingHeld = std::all_of(state.workspaces.begin(), state.workspaces.end(), [](const auto &item) {
        return holdsNothing(item.second);
    });
    return state.leaving && nothingHeld && state.slots.owned.empty() && state.slots.calls.empty();
}

rights_output takeOutput(rights_state &state)
{
    return std::exchange(state.outbox, {});
}

} // namespace ragwortpin
