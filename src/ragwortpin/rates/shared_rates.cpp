#include "ragwortpin/rates/shared_rates.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>

namespace ragwortpin {

namespace internal {

namespace {

/** Rates of at least this value count as no limit, in requests per second. */
constexpr double UnlimitedRate{1e8};

/** Lower bound of a node's demand, in requests per second, so that the first requests of an idle workspace have an allowance. */
constexpr double MinDemand{0.05};

/** Demand up to which a workspace is omitted from reports, in requests per second. */
constexpr double MinReportedDemand{0.01};

constexpr duration MinRetryAfter{milliseconds{250}};
constexpr duration MaxRetryAfter{seconds{3}};

[[nodiscard]] bool isUnlimited(const shared_bucket &bucket) noexcept
{
    return bucket.rate >= UnlimitedRate;
}

/** Returns whether the demand is so far above the rate that the nodes spend all tokens within their own allowances. */
[[nodiscard]] bool isSurging(const shared_bucket &bucket, const shared_rate_options &options) noexcept
{
    return bucket.fleetDemand > options.surgeFactor * bucket.rate;
}

void refill(shared_bucket &bucket, time_point now) noexcept
{
    const double elapsed{std::max(0.0, toSeconds(now - bucket.updatedAt))};
    bucket.level = std::min(bucket.burst, bucket.level + bucket.rate * elapsed);
    bucket.updatedAt = now;
}

/** Replaces the estimate of what a peer admitted by the count that it reports, and corrects the level of the bucket by the difference. */
[[nodiscard]] peer_usage replaceEstimate(shared_rates &state, const workspace_usage &reported, const peer_usage &before, time_point now)
{
    const peer_usage after{.admitted = reported.admitted, .demand = reported.demand, .estimatedAdmitted = 0.0, .listedAt = now};
    const auto found = state.buckets.find(reported.workspace);
    if (found == state.buckets.end()) {
        return after;
    }
    auto &bucket = found->second;
    const double spent{reported.admitted > before.admitted ? static_cast<double>(reported.admitted - before.admitted) : 0.0};
    bucket.level = std::min(bucket.burst, bucket.level + before.estimatedAdmitted - spent);
    return after;
}

[[nodiscard]] double smoothedDemand(const shared_bucket &bucket, double elapsed, duration timeConstant) noexcept
{
    const double gain{1.0 - std::exp(-elapsed / toSeconds(timeConstant))};
    const double sample{static_cast<double>(bucket.requestsSinceTick) / elapsed};
    return bucket.demand + gain * (sample - bucket.demand);
}

/** Demand for one workspace at peers with current reports and at peers with stale ones. */
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

/**
 * Returns the fraction of the tokens left that a stale peer may spend: in proportion to its last demand, and at least an equal part,
 * since its demand may have grown.
 */
[[nodiscard]] double staleFraction(double demand, double fleetDemand, double nodes) noexcept
{
    return std::max(demand / std::max(MinDemand, fleetDemand), 1.0 / nodes);
}

/** Averages this node's fraction of the demand over the time constant. A new bucket starts with an equal part. */
[[nodiscard]] double
smoothedShare(const shared_bucket &bucket, double ownDemand, double elapsed, double equalShare, duration timeConstant) noexcept
{
    const double gain{1.0 - std::exp(-elapsed / toSeconds(timeConstant))};
    const double sample{ownDemand / bucket.fleetDemand};
    const double before{bucket.demandShare > 0.0 ? bucket.demandShare : equalShare};
    return before + gain * (sample - before);
}

/** Removes the intervals that every peer has a report of by now, and starts the next interval. */
void startUnreportedInterval(shared_bucket &bucket, time_point now, duration window)
{
    while (!bucket.unreportedIntervals.empty() && now - bucket.unreportedIntervals.front().startedAt > window) {
        bucket.unreportedCount -= bucket.unreportedIntervals.front().count;
        bucket.unreportedIntervals.pop_front();
    }
    bucket.unreportedIntervals.push_back({now, 0.0, std::max(0.0, bucket.level)});
}

/**
 * Returns the limit of the requests that this node may have admitted without its peers having a report of them. The limits of all
 * nodes add up to the tokens left when the oldest interval began and the tokens refilled since, also during a network partition.
 */
[[nodiscard]] double unreportedLimit(const shared_bucket &bucket, double equalShare) noexcept
{
    const auto &oldest = bucket.unreportedIntervals.front();
    const double refilled{bucket.rate * toSeconds(bucket.updatedAt - oldest.startedAt)};
    const double part{0.5 * (bucket.demandShare + equalShare)};
    const double limit{part * (oldest.initialLevel + refilled)};
    return std::max(1.0, limit);
}

/** Interval between the last two ticks. */
struct tick_interval
{
    /** In seconds. */
    double elapsed{0.0};
    /** Known nodes, including this one and stale peers. */
    double nodes{1.0};
};

void updateBucket(
    shared_bucket &bucket, const peer_demand &others, const tick_interval &last, const shared_rate_options &options, time_point now)
{
    if (last.elapsed > 0.0) {
        bucket.demand = smoothedDemand(bucket, last.elapsed, options.demandTimeConstant);
    }
    bucket.requestsSinceTick = 0;
    const double ownDemand{std::max(MinDemand, bucket.demand)};
    bucket.fleetDemand = ownDemand + others.live + others.stale;
    refill(bucket, now);
    const double reserved{std::max(others.stale / bucket.fleetDemand, static_cast<double>(others.staleNodes) / last.nodes)};
    const bool isBelowRate{bucket.fleetDemand < bucket.rate};
    const double usable{std::max(0.0, bucket.level)};
    const double part{ownDemand / (ownDemand + others.live) * (1.0 - std::min(1.0, reserved)) * usable};
    const double carried{bucket.level > 0.0 ? std::min(1.0, bucket.allowance) : 0.0};
    bucket.allowance = part < 1.0 ? std::min(1.0, carried + part) : part;
    const double equalShare{1.0 / last.nodes};
    bucket.demandShare = smoothedShare(bucket, ownDemand, last.elapsed, equalShare, options.shareTimeConstant);
    startUnreportedInterval(bucket, now, options.unreportedWindow);
    bucket.unreportedLimit = unreportedLimit(bucket, equalShare);
    const double extra{std::max(1.0, (isBelowRate ? options.extraFactor : options.extraFactorAtLimit) * bucket.level / last.nodes)};
    bucket.extraAllowance = isSurging(bucket, options) ? 0.0 : extra;
}

/**
 * Subtracts an estimate of what a peer admitted in an interval. For a peer that is not stale, the estimate is its demand, at most its
 * part of the tokens left. A stale peer may be behind a network partition: it does not know whether the level is negative on this
 * side, so the estimate is its part of the tokens left or of the tokens refilled in the interval, whichever is larger.
 */
void subtractEstimate(shared_bucket &bucket, peer_usage &usage, const tick_interval &last, double level, bool isStale)
{
    const double usable{std::max(0.0, level)};
    const double liveSpending{std::min(usage.demand / std::max(MinDemand, bucket.fleetDemand) * usable, usage.demand * last.elapsed)};
    const double refilled{bucket.rate * last.elapsed};
    const double staleSpending{staleFraction(usage.demand, bucket.fleetDemand, last.nodes) * std::max(usable, refilled)};
    const double spent{isStale ? staleSpending : liveSpending};
    usage.estimatedAdmitted += spent;
    bucket.level -= spent;
}

/** Adds usages for all buckets that the peer has not reported, since a stale peer may begin to admit requests of any workspace. */
void addMissingUsages(peer_state &peer, const std::unordered_map<std::uint32_t, shared_bucket> &buckets)
{
    for (const auto &[workspace, bucket] : buckets) {
        peer.usages.try_emplace(workspace);
    }
}

void subtractPeerEstimates(shared_rates &state, const tick_interval &last, time_point now)
{
    std::unordered_map<std::uint32_t, double> levels;
    for (const auto &[workspace, bucket] : state.buckets) {
        levels.emplace(workspace, bucket.level);
    }
    for (auto &[name, peer] : state.peers) {
        const duration reportAge{now - peer.lastReportAt};
        peer.isStale = peer.awaitsFirstReport || reportAge > state.options.staleReportAge;
        if (reportAge <= state.options.freshReportAge) {
            continue;
        }
        if (peer.isStale) {
            addMissingUsages(peer, state.buckets);
        }
        for (auto &[workspace, usage] : peer.usages) {
            const auto bucket = state.buckets.find(workspace);
            if (bucket != state.buckets.end()) {
                subtractEstimate(bucket->second, usage, last, levels[workspace], peer.isStale);
            }
        }
    }
}

/** Returns whether enough tokens are left to admit requests beyond the nodes' allowances. */
[[nodiscard]] bool hasSurplus(const shared_bucket &bucket, const shared_rate_options &options) noexcept
{
    return bucket.level >= std::max(1.0, options.surplusFraction * bucket.burst);
}

/** Counts requests that peers may not have a report of yet. Headroom that a peer lent counts as a negative number. */
void countUnreported(shared_bucket &bucket, double requests)
{
    if (!bucket.unreportedIntervals.empty()) {
        bucket.unreportedIntervals.back().count += requests;
        bucket.unreportedCount += requests;
    }
}

void admit(shared_bucket &bucket)
{
    ++bucket.admitted;
    bucket.level -= 1.0;
    countUnreported(bucket, 1.0);
    bucket.allowance = std::max(0.0, bucket.allowance - 1.0);
}

[[nodiscard]] duration timeUntilToken(const shared_bucket &bucket) noexcept
{
    const double missing{std::max(1.0, 1.0 - bucket.level)};
    const double rate{std::max(1.0, bucket.rate)};
    return std::clamp(fromSeconds(missing / rate), MinRetryAfter, MaxRetryAfter);
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
        bucket.level = state.options.initialLevelFraction * limit.burst;
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

void reserveForPeers(shared_rates &state, const std::vector<std::string> &names, time_point now)
{
    if (now - state.startedAt > state.options.peerExpiry) {
        return;
    }
    for (const auto &name : names) {
        state.peers.try_emplace(name, peer_state{.lastReportAt = now, .awaitsFirstReport = true, .isStale = true, .usages = {}});
    }
}

void applyReport(shared_rates &state, const usage_report &report, time_point now)
{
    const auto [entry, inserted] = state.peers.try_emplace(report.instance);
    auto &peer = entry->second;
    const bool isFirstReport{inserted || peer.awaitsFirstReport};
    const bool isRestarted{!isFirstReport && peer.incarnation != report.incarnation};
    if (!isFirstReport && !isRestarted && report.sequence <= peer.sequence) {
        return;
    }
    std::unordered_map<std::uint32_t, peer_usage> usages;
    for (const auto &usage : report.usages) {
        auto before = peer_usage{.admitted = isFirstReport ? usage.admitted : 0};
        if (const auto known = peer.usages.find(usage.workspace); known != peer.usages.end()) {
            before.estimatedAdmitted = known->second.estimatedAdmitted;
            before.admitted = isFirstReport ? usage.admitted : (isRestarted ? 0 : known->second.admitted);
        }
        usages.emplace(usage.workspace, internal::replaceEstimate(state, usage, before, now));
    }
    for (const auto &[workspace, usage] : peer.usages) {
        if (usages.contains(workspace)) {
            continue;
        }
        auto kept = usage;
        const bool isExpired{isRestarted || now - usage.listedAt > state.options.unlistedTimeout};
        if (isExpired) {
            kept = internal::replaceEstimate(state, {workspace, usage.admitted, 0.0}, usage, usage.listedAt);
            kept.admitted = isRestarted ? 0 : kept.admitted;
        }
        usages.emplace(workspace, kept);
    }
    peer = {report.incarnation, report.sequence, now, false, false, std::move(usages)};
}

void updateAllowances(shared_rates &state, time_point now)
{
    std::erase_if(state.peers, [&](const auto &entry) {
        return now - entry.second.lastReportAt > state.options.peerExpiry;
    });
    const internal::tick_interval last{toSeconds(now - state.lastTick), static_cast<double>(state.peers.size() + 1)};
    state.lastTick = now;
    for (auto &[workspace, bucket] : state.buckets) {
        internal::updateBucket(bucket, internal::demandOfPeers(state, workspace), last, state.options, now);
    }
    internal::subtractPeerEstimates(state, last, now);
}

std::vector<workspace_usage> ownUsages(const shared_rates &state)
{
    std::vector<workspace_usage> usages;
    for (const auto &[workspace, bucket] : state.buckets) {
        if (bucket.demand > internal::MinReportedDemand) {
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

void markReported(shared_rates &state, const std::vector<workspace_usage> &usages, time_point now)
{
    for (const auto &usage : usages) {
        if (const auto found = state.buckets.find(usage.workspace); found != state.buckets.end()) {
            found->second.reportedAt = now;
        }
    }
}

std::size_t countLivePeers(const shared_rates &state) noexcept
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

std::uint32_t lendHeadroom(shared_rates &state, std::uint32_t workspace, std::uint32_t wanted, time_point now)
{
    const auto found = state.buckets.find(workspace);
    if (found == state.buckets.end()) {
        return 0;
    }
    auto &bucket = found->second;
    internal::refill(bucket, now);
    const double headroom{bucket.unreportedLimit - bucket.unreportedCount};
    const double lendable{std::min({static_cast<double>(wanted), std::max(1.0, headroom / 2.0), headroom})};
    const auto lent = internal::hasSurplus(bucket, state.options) ? static_cast<std::uint32_t>(std::max(0.0, lendable)) : 0;
    internal::countUnreported(bucket, lent);
    bucket.allowance = std::max(0.0, bucket.allowance - lent);
    return lent;
}

void addHeadroom(shared_rates &state, std::uint32_t workspace, std::uint32_t requests)
{
    const auto found = state.buckets.find(workspace);
    if (found != state.buckets.end()) {
        internal::countUnreported(found->second, -static_cast<double>(requests));
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
    ++bucket.requestsSinceTick;
    internal::refill(bucket, now);
    const bool hasAllowance{bucket.allowance >= 1.0 && bucket.level > 0.0};
    const bool isBelowRate{bucket.fleetDemand < bucket.rate};
    const bool hasSpareTokens{internal::hasSurplus(bucket, state.options)};
    const bool isWithinLimit{bucket.unreportedCount + 1.0 <= bucket.unreportedLimit};
    if (isWithinLimit && (hasAllowance || (hasSpareTokens && bucket.extraAllowance >= 1.0))) {
        bucket.extraAllowance -= hasAllowance ? 0.0 : 1.0;
        internal::admit(bucket);
        return {.admitted = true};
    }
    return {.admitted = false,
            .mayWait = isBelowRate,
            .lacksHeadroom = hasSpareTokens && !internal::isSurging(bucket, state.options),
            .retryAfter = internal::timeUntilToken(bucket)};
}

} // namespace ragwortpin
