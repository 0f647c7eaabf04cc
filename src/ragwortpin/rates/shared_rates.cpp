#include "ragwortpin/rates/shared_rates.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>

namespace ragwortpin {

namespace internal {

namespace {

/** Rates from which on a workspace has no limit in practice. */
constexpr double UnlimitedRate{1e8};

/** Demand that a node without any is taken to have, in requests a second, so that its first requests find an allowance. */
constexpr double LeastDemand{0.05};

/** Demand below which a workspace is left out of reports, in requests a second. */
constexpr double ReportedDemand{0.01};

constexpr duration ShortestRetryAfter{milliseconds{250}};
constexpr duration LongestRetryAfter{seconds{3}};

[[nodiscard]] bool isUnlimited(const shared_bucket &bucket) noexcept
{
    return bucket.rate >= UnlimitedRate;
}

/** Whether so much more than the rate is asked for that the fleet spends all of it without loans. */
[[nodiscard]] bool isSurging(const shared_bucket &bucket, const shared_rate_options &options) noexcept
{
    return bucket.fleetDemand > options.surge * bucket.rate;
}

void refill(shared_bucket &bucket, time_point now) noexcept
{
    const double elapsed{std::max(0.0, toSeconds(now - bucket.updatedAt))};
    bucket.level = std::min(bucket.burst, bucket.level + bucket.rate * elapsed);
    bucket.updatedAt = now;
}

/** Replaces what a peer was taken to have admitted by what it says. */
[[nodiscard]] peer_usage settle(shared_rates &state, const workspace_usage &reported, const peer_usage &before, time_point now)
{
    const peer_usage after{.admitted = reported.admitted, .demand = reported.demand, .assumed = 0.0, .listedAt = now};
    const auto found = state.buckets.find(reported.workspace);
    if (found == state.buckets.end()) {
        return after;
    }
    auto &bucket = found->second;
    const double spent{reported.admitted > before.admitted ? static_cast<double>(reported.admitted - before.admitted) : 0.0};
    bucket.level = std::min(bucket.burst, bucket.level + before.assumed - spent);
    return after;
}

[[nodiscard]] double smoothedDemand(const shared_bucket &bucket, double elapsed, duration memory) noexcept
{
    const double gain{1.0 - std::exp(-elapsed / toSeconds(memory))};
    const double sample{static_cast<double>(bucket.asked) / elapsed};
    return bucket.demand + gain * (sample - bucket.demand);
}

/** Demand of the peers that are heard from and of those that are not, for one workspace. */
struct peer_demand
{
    double live{0.0};
    double stale{0.0};
    std::size_t staleNodes{0};
};

[[nodiscard]] peer_demand demandOfPeers(const shared_rates &state, std::uint32_t workspace)
{
    peer_demand demand;
    for (const auto &[name, peer] : state.peers) {
        const auto usage = peer.usages.find(workspace);
        (peer.isStale ? demand.stale : demand.live) += usage == peer.usages.end() ? 0.0 : usage->second.demand;
        demand.staleNodes += peer.isStale ? 1 : 0;
    }
    return demand;
}

/** Part of what is left that a silent node may take: by its last demand, and at least an equal one, since its demand may have grown. */
[[nodiscard]] double stalePart(double demand, double fleetDemand, double nodes) noexcept
{
    return std::max(demand / std::max(LeastDemand, fleetDemand), 1.0 / nodes);
}

/** Averages the own part of the demand over the share memory; a bucket that is new starts with an equal part. */
[[nodiscard]] double smoothedShare(const shared_bucket &bucket, double own, double elapsed, double equal, duration memory) noexcept
{
    const double gain{1.0 - std::exp(-elapsed / toSeconds(memory))};
    const double sample{own / bucket.fleetDemand};
    const double before{bucket.share > 0.0 ? bucket.share : equal};
    return before + gain * (sample - before);
}

/** Drops what every peer has heard of by now and opens the next interval. */
void closeExposed(shared_bucket &bucket, time_point now, duration exposure)
{
    while (!bucket.exposed.empty() && now - bucket.exposed.front().since > exposure) {
        bucket.exposedCount -= bucket.exposed.front().count;
        bucket.exposed.pop_front();
    }
    bucket.exposed.push_back({now, 0.0, std::max(0.0, bucket.level)});
}

/**
 * Most requests that this node may have admitted unknown to others. All nodes' parts add up to what was left when the oldest
 * interval began, and what was refilled since, also while the nodes cannot hear each other.
 */
[[nodiscard]] double exposedLimit(const shared_bucket &bucket, double equal) noexcept
{
    const auto &oldest = bucket.exposed.front();
    const double refilled{bucket.rate * toSeconds(bucket.updatedAt - oldest.since)};
    const double part{0.5 * (bucket.share + equal)};
    const double mean{part * (oldest.level + refilled)};
    return std::max(1.0, mean);
}

/** What the own node adds to an interval. */
struct interval
{
    double elapsed{0.0};
    /** Nodes that are heard from, this one included. */
    double nodes{1.0};
};

void tickBucket(shared_bucket &bucket, const peer_demand &others, const interval &last, const shared_rate_options &options, time_point now)
{
    if (last.elapsed > 0.0) {
        bucket.demand = smoothedDemand(bucket, last.elapsed, options.demandMemory);
    }
    bucket.asked = 0;
    const double own{std::max(LeastDemand, bucket.demand)};
    bucket.fleetDemand = own + others.live + others.stale;
    refill(bucket, now);
    const double aside{std::max(others.stale / bucket.fleetDemand, static_cast<double>(others.staleNodes) / last.nodes)};
    const bool calm{bucket.fleetDemand < bucket.rate};
    const double usable{std::max(0.0, bucket.level)};
    const double part{own / (own + others.live) * (1.0 - std::min(1.0, aside)) * usable};
    const double carried{bucket.level > 0.0 ? std::min(1.0, bucket.allowance) : 0.0};
    bucket.allowance = part < 1.0 ? std::min(1.0, carried + part) : part;
    const double equal{1.0 / last.nodes};
    bucket.share = smoothedShare(bucket, own, last.elapsed, equal, options.shareMemory);
    closeExposed(bucket, now, options.exposure);
    bucket.exposedLimit = exposedLimit(bucket, equal);
    const double lent{std::max(1.0, (calm ? options.lendable : options.lendableAtLimit) * bucket.level / last.nodes)};
    bucket.loan = isSurging(bucket, options) ? 0.0 : lent;
}

/**
 * Takes off what a peer is taken to admit in an interval: what it asks for, and at most its part of what is left. One that is cut
 * off also spends its part of what is refilled while this side is in debt, since it knows nothing of the debt.
 */
void assumeSpending(shared_bucket &bucket, peer_usage &usage, const interval &last, double level, bool isStale)
{
    const double usable{std::max(0.0, level)};
    const double live{std::min(usage.demand / std::max(LeastDemand, bucket.fleetDemand) * usable, usage.demand * last.elapsed)};
    const double refilled{bucket.rate * last.elapsed};
    const double unseen{stalePart(usage.demand, bucket.fleetDemand, last.nodes) * std::max(usable, refilled)};
    const double spent{isStale ? unseen : live};
    usage.assumed += spent;
    bucket.level -= spent;
}

/** A silent peer may begin to spend of workspaces that it did not report so far. */
void expectUsages(peer_reports &peer, const std::unordered_map<std::uint32_t, shared_bucket> &buckets)
{
    for (const auto &[workspace, bucket] : buckets) {
        peer.usages.try_emplace(workspace);
    }
}

void assumePeers(shared_rates &state, const interval &last, time_point now)
{
    std::unordered_map<std::uint32_t, double> levels;
    for (const auto &[workspace, bucket] : state.buckets) {
        levels.emplace(workspace, bucket.level);
    }
    for (auto &[name, peer] : state.peers) {
        const duration silence{now - peer.heardAt};
        peer.isStale = peer.isUnheard || silence > state.options.stale;
        if (silence <= state.options.reported) {
            continue;
        }
        if (peer.isStale) {
            expectUsages(peer, state.buckets);
        }
        for (auto &[workspace, usage] : peer.usages) {
            const auto bucket = state.buckets.find(workspace);
            if (bucket != state.buckets.end()) {
                assumeSpending(bucket->second, usage, last, levels[workspace], peer.isStale);
            }
        }
    }
}

/** Whether so much is left that it need not be spent by parts. */
[[nodiscard]] bool hasPlenty(const shared_bucket &bucket, const shared_rate_options &options) noexcept
{
    return bucket.level >= std::max(1.0, options.plenty * bucket.burst);
}

/** Counts requests that peers may not know of yet; less than none for room that a peer lent. */
void expose(shared_bucket &bucket, double requests)
{
    if (!bucket.exposed.empty()) {
        bucket.exposed.back().count += requests;
        bucket.exposedCount += requests;
    }
}

void admit(shared_bucket &bucket)
{
    ++bucket.admitted;
    bucket.level -= 1.0;
    expose(bucket, 1.0);
    bucket.allowance = std::max(0.0, bucket.allowance - 1.0);
}

[[nodiscard]] duration untilRefilled(const shared_bucket &bucket) noexcept
{
    const double missing{std::max(1.0, 1.0 - bucket.level)};
    const double rate{std::max(1.0, bucket.rate)};
    return std::clamp(fromSeconds(missing / rate), ShortestRetryAfter, LongestRetryAfter);
}

} // namespace

} // namespace internal

std::uint32_t workspaceId(std::string_view name) noexcept
{
    constexpr std::uint32_t OffsetBasis{2166136261U};
    constexpr std::uint32_t Prime{16777619U};
    std::uint32_t hash{OffsetBasis};
    for (const char character : name) {
        hash = (hash ^ static_cast<unsigned char>(character)) * Prime;
    }
    return hash;
}

shared_rates makeSharedRates(const shared_rate_options &options, time_point now)
{
    shared_rates state;
    state.options = options;
    state.startedAt = now;
    state.lastTick = now;
    return state;
}

void applyLimit(shared_rates &state, const workspace &limit, time_point now)
{
    auto [entry, added] = state.buckets.try_emplace(workspaceId(limit.name));
    auto &bucket = entry->second;
    bucket.rate = limit.rate;
    bucket.burst = limit.burst;
    if (added) {
        bucket.level = state.options.startFraction * limit.burst;
        bucket.updatedAt = now;
    }
    bucket.level = std::min(bucket.level, bucket.burst);
}

void applyLimits(shared_rates &state, const std::vector<workspace> &workspaces, time_point now)
{
    std::unordered_set<std::uint32_t> present;
    for (const auto &item : workspaces) {
        present.insert(workspaceId(item.name));
        applyLimit(state, item, now);
    }
    std::erase_if(state.buckets, [&present](const auto &entry) {
        return !present.contains(entry.first);
    });
}

void expectPeers(shared_rates &state, const std::vector<std::string> &names, time_point now)
{
    if (now - state.startedAt > state.options.forget) {
        return;
    }
    for (const auto &name : names) {
        state.peers.try_emplace(name, peer_reports{.heardAt = now, .isUnheard = true, .isStale = true, .usages = {}});
    }
}

void noteReport(shared_rates &state, const usage_report &report, time_point now)
{
    const auto [entry, inserted] = state.peers.try_emplace(report.instance);
    auto &peer = entry->second;
    const bool added{inserted || peer.isUnheard};
    const bool restarted{!added && peer.incarnation != report.incarnation};
    if (!added && !restarted && report.sequence <= peer.sequence) {
        return;
    }
    std::unordered_map<std::uint32_t, peer_usage> usages;
    for (const auto &usage : report.usages) {
        auto before = peer_usage{.admitted = added ? usage.admitted : 0};
        if (const auto known = peer.usages.find(usage.workspace); known != peer.usages.end()) {
            before.assumed = known->second.assumed;
            before.admitted = added ? usage.admitted : (restarted ? 0 : known->second.admitted);
        }
        usages.emplace(usage.workspace, internal::settle(state, usage, before, now));
    }
    for (const auto &[workspace, usage] : peer.usages) {
        if (usages.contains(workspace)) {
            continue;
        }
        auto kept = usage;
        const bool isOver{restarted || now - usage.listedAt > state.options.unlisted};
        if (isOver) {
            kept = internal::settle(state, {workspace, usage.admitted, 0.0}, usage, usage.listedAt);
            kept.admitted = restarted ? 0 : kept.admitted;
        }
        usages.emplace(workspace, kept);
    }
    peer = {report.incarnation, report.sequence, now, false, false, std::move(usages)};
}

void tickRates(shared_rates &state, time_point now)
{
    std::erase_if(state.peers, [&](const auto &entry) {
        return now - entry.second.heardAt > state.options.forget;
    });
    const internal::interval last{toSeconds(now - state.lastTick), static_cast<double>(state.peers.size() + 1)};
    state.lastTick = now;
    for (auto &[workspace, bucket] : state.buckets) {
        internal::tickBucket(bucket, internal::demandOfPeers(state, workspace), last, state.options, now);
    }
    internal::assumePeers(state, last, now);
}

std::vector<workspace_usage> ownUsages(const shared_rates &state)
{
    std::vector<workspace_usage> usages;
    for (const auto &[workspace, bucket] : state.buckets) {
        if (bucket.demand > internal::ReportedDemand) {
            usages.push_back({workspace, bucket.admitted, bucket.demand});
        }
    }
    std::sort(usages.begin(), usages.end(), [&state](const auto &left, const auto &right) {
        const auto leftAt = state.buckets.at(left.workspace).reportedAt;
        const auto rightAt = state.buckets.at(right.workspace).reportedAt;
        return std::tie(leftAt, left.workspace) < std::tie(rightAt, right.workspace);
    });
    return usages;
}

void noteReported(shared_rates &state, const std::vector<workspace_usage> &usages, time_point now)
{
    for (const auto &usage : usages) {
        if (const auto found = state.buckets.find(usage.workspace); found != state.buckets.end()) {
            found->second.reportedAt = now;
        }
    }
}

std::size_t heardPeers(const shared_rates &state) noexcept
{
    return static_cast<std::size_t>(std::count_if(state.peers.begin(), state.peers.end(), [](const auto &entry) {
        return !entry.second.isStale;
    }));
}

void returnToken(shared_rates &state, std::string_view workspaceName)
{
    const auto found = state.buckets.find(workspaceId(workspaceName));
    if (found == state.buckets.end() || found->second.admitted == 0) {
        return;
    }
    auto &bucket = found->second;
    --bucket.admitted;
    bucket.level = std::min(bucket.burst, bucket.level + 1.0);
    bucket.allowance += 1.0;
}

std::uint32_t lendRoom(shared_rates &state, std::uint32_t workspace, std::uint32_t wanted, time_point now)
{
    const auto found = state.buckets.find(workspace);
    if (found == state.buckets.end()) {
        return 0;
    }
    auto &bucket = found->second;
    internal::refill(bucket, now);
    const double spare{bucket.exposedLimit - bucket.exposedCount};
    const double lendable{std::min({static_cast<double>(wanted), std::max(1.0, spare / 2.0), spare})};
    const auto lent = internal::hasPlenty(bucket, state.options) ? static_cast<std::uint32_t>(std::max(0.0, lendable)) : 0;
    internal::expose(bucket, lent);
    bucket.allowance = std::max(0.0, bucket.allowance - lent);
    return lent;
}

void addRoom(shared_rates &state, std::uint32_t workspace, std::uint32_t requests)
{
    const auto found = state.buckets.find(workspace);
    if (found != state.buckets.end()) {
        internal::expose(found->second, -static_cast<double>(requests));
        found->second.allowance += requests;
    }
}

rate_decision takeToken(shared_rates &state, std::string_view workspaceName, time_point now)
{
    const auto found = state.buckets.find(workspaceId(workspaceName));
    if (found == state.buckets.end() || internal::isUnlimited(found->second)) {
        return {.admitted = true};
    }
    auto &bucket = found->second;
    ++bucket.asked;
    internal::refill(bucket, now);
    const bool allowed{bucket.allowance >= 1.0 && bucket.level > 0.0};
    const bool calm{bucket.fleetDemand < bucket.rate};
    const bool plenty{internal::hasPlenty(bucket, state.options)};
    const bool isBounded{bucket.exposedCount + 1.0 <= bucket.exposedLimit};
    if (isBounded && (allowed || (plenty && bucket.loan >= 1.0))) {
        bucket.loan -= allowed ? 0.0 : 1.0;
        internal::admit(bucket);
        return {.admitted = true};
    }
    return {.admitted = false,
            .mayWait = calm,
            .lacksRoom = plenty && !internal::isSurging(bucket, state.options),
            .retryAfter = internal::untilRefilled(bucket)};
}

} // namespace ragwortpin
