#include "ragwortpin/rights/rights.h"

#include "ragwortpin/rights/apportion.h"
#include "ragwortpin/rights/batches.h"
#include "ragwortpin/rights/loans.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragwortpin {

namespace {

constexpr duration DemandMemory{milliseconds{500}};
constexpr duration RecallInterval{milliseconds{500}};
constexpr duration UnknownWorkspaceRetry{seconds{1}};
constexpr duration ShortestRetry{milliseconds{1}};
constexpr duration LongestRetry{seconds{60}};

void clearOwnRights(workspace_rights &rights)
{
    std::erase_if(rights.bucket.rights, [](const held_right &right) {
        return right.lender.empty();
    });
}

/** Sets the rights of one workspace that come from this node's slots. */
void refreshWorkspace(rights_state &state, const workspace &object, workspace_rights &rights, time_point now)
{
    for (const auto &[index, slot] : state.slots.owned) {
        const auto share = usableShare(state, slot, object, now);
        if (share.rate > 0.0 || share.cap > 0) {
            rights.bucket.rights.push_back({{}, 0, index, share.rate, share.cap, slot.usableUntil});
        }
    }
}

/** Brings the rights from this node's slots in line with the slots and the configuration. */
void refreshOwnRights(rights_state &state, time_point now)
{
    for (auto &[name, rights] : state.workspaces) {
        state.counters.loansExpired += updateBucket(rights.bucket, now);
        clearOwnRights(rights);
    }
    if (state.config) {
        for (const auto &object : state.config->workspaces) {
            refreshWorkspace(state, object, state.workspaces.at(object.name), now);
        }
    }
    state.refreshAt.reset();
    for (const auto &[index, slot] : state.slots.owned) {
        if (slot.usableFrom > now) {
            state.refreshAt = std::min(state.refreshAt.value_or(slot.usableFrom), slot.usableFrom);
        }
    }
    for (auto &[name, rights] : state.workspaces) {
        updateBucket(rights.bucket, now);
    }
}

using names_by_zone = std::map<std::string_view, std::vector<std::string_view>>;

[[nodiscard]] names_by_zone readyByZone(const rights_state &state)
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

/** The one pool of a workspace among all instances that can be reached. */
[[nodiscard]] std::vector<std::string> chooseFleetPool(std::string_view workspace, const names_by_zone &names)
{
    std::vector<std::string_view> all;
    for (const auto &[zone, instances] : names) {
        all.insert(all.end(), instances.begin(), instances.end());
    }
    return {std::string{choosePool(workspace, all)}};
}

/** Whether a workspace's burst is so small that its tokens, divided between zones, would often lie where nobody needs them. */
[[nodiscard]] bool usesFleetPool(const rights_settings &settings, const configuration &config, const workspace &object)
{
    return object.burst < settings.zonePoolBurst * static_cast<double>(config.availabilityZones.size());
}

/** Pools of a workspace: this zone's first, then those of the zones that follow in order of name, wrapping around. */
[[nodiscard]] std::vector<std::string> choosePools(const rights_state &state, std::string_view workspace, const names_by_zone &names)
{
    const std::string_view own{state.self.availabilityZone};
    std::vector<std::string> pools;
    const auto local = names.find(own);
    pools.emplace_back(local == names.end() ? std::string_view{} : choosePool(workspace, local->second));
    for (auto zone = names.upper_bound(own); zone != names.end(); ++zone) {
        pools.emplace_back(choosePool(workspace, zone->second));
    }
    for (auto zone = names.begin(); zone != names.end() && zone->first < own; ++zone) {
        pools.emplace_back(choosePool(workspace, zone->second));
    }
    return pools;
}

void refreshPools(rights_state &state)
{
    if (!state.config) {
        return;
    }
    const auto names = readyByZone(state);
    for (const auto &object : state.config->workspaces) {
        auto &rights = state.workspaces.at(object.name);
        const auto fleetWide = usesFleetPool(state.settings, *state.config, object);
        auto pools = fleetWide ? chooseFleetPool(object.name, names) : choosePools(state, object.name, names);
        if (!rights.pools.empty() && rights.pools.front() != pools.front()) {
            rights.offeredAt = {};
        }
        rights.pools = std::move(pools);
    }
}

[[nodiscard]] bool holdsNothing(const workspace_rights &rights) noexcept
{
    const auto &bucket = rights.bucket;
    return bucket.rights.empty() && bucket.loans.empty() && bucket.batches.empty();
}

void forgetRemoved(rights_state &state)
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
    const auto present = rights.takenSinceTick / toSeconds(elapsed);
    const auto weight = 1.0 - std::exp(-toSeconds(elapsed) / toSeconds(DemandMemory));
    rights.demand += weight * (present - rights.demand);
    rights.takenSinceTick = 0;
}

[[nodiscard]] token_decision admit(rights_state &state, workspace_rights &rights)
{
    ++rights.takenSinceTick;
    ++state.counters.admitted;
    return {token_verdict::Admitted, duration::zero()};
}

/** Time after which a token may be had: the earliest of this node's own and of the pools'. */
[[nodiscard]] duration refusalRetry(const workspace_rights &rights, time_point now)
{
    auto earliest = timeToToken(rights.bucket).value_or(LongestRetry);
    for (const auto &account : rights.accounts) {
        earliest = std::min(earliest, std::max(account.quietUntil - now, ShortestRetry));
    }
    return std::clamp(earliest, ShortestRetry, LongestRetry);
}

void endWait(workspace_rights &rights, bool waited)
{
    rights.waiting -= std::min(rights.waiting, waited ? 1U : 0U);
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
    state.tickedAt = now;
    state.renewedAt = now;
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
    changeShares(state, state.config->availabilityZones, now);
    refreshOwnRights(state, now);
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
        return refuse(state, UnknownWorkspaceRetry);
    }
    auto &rights = found->second;
    const auto first = now <= arrivedAt;
    if (takeFromBucket(rights.bucket, now) || takeFromBatches(state, found->first, rights, now)) {
        endWait(rights, !first);
        return admit(state, rights);
    }
    if (first) {
        ++rights.waiting;
        ++state.counters.waited;
    }
    rights.waiting = std::max(rights.waiting, 1U);
    rights.waitedAt = now;
    askPools(state, found->first, rights, now);
    const auto retry = refusalRetry(rights, now);
    const auto answerAt = answerDueAt(state, rights);
    const auto giveUpAt = arrivedAt + state.settings.maximumWait;
    const auto askAgainAt = answerAt && *answerAt > now ? std::min(*answerAt, giveUpAt) : now + retry;
    if (now < giveUpAt && askAgainAt <= giveUpAt) {
        return {token_verdict::Wait, askAgainAt - now};
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

        void operator()(const loan_ask &body) const
        {
            onLoanAsk(state, message, body, now);
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

        void operator()(const batch_ask &body) const
        {
            onBatchAsk(state, message, body, now);
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
        refreshOwnRights(state, now);
        offerLoans(state, now);
    }
}

void onTick(rights_state &state, time_point now)
{
    const auto elapsed = now - state.tickedAt;
    state.tickedAt = now;
    if (state.refreshAt && now >= *state.refreshAt) {
        refreshOwnRights(state, now);
    }
    for (auto &[name, rights] : state.workspaces) {
        state.counters.loansExpired += updateBucket(rights.bucket, now);
        updateDemand(rights, elapsed);
        tickBatches(state, name, rights, now);
    }
    const auto interval = state.leaving ? RecallInterval : state.settings.loanRenewal;
    if (now >= state.renewedAt + interval) {
        state.renewedAt = now;
        renewLoans(state, now);
        if (state.leaving) {
            recallLoans(state, now);
        }
    }
    if (!state.leaving) {
        offerLoans(state, now);
    }
    tickSlots(state, now);
    forgetRemoved(state);
}

void beginLeave(rights_state &state, time_point now)
{
    if (state.leaving) {
        return;
    }
    state.leaving = true;
    state.renewedAt = now;
    renewLoans(state, now);
    recallLoans(state, now);
}

bool hasLeft(const rights_state &state)
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
