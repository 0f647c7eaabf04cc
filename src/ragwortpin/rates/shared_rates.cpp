#include "ragwortpin/rates/shared_rates.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace ragwortpin {

namespace internal {

namespace {

/** Rates of at least this value count as no limit, in requests per second. */
constexpr double UnlimitedRate{1e8};

/** Lower bound of a node's demand, in requests per second, so that the first requests of an idle workspace have an allowance. */
constexpr double MinDemand{0.05};

/** Demand up to which a workspace is omitted from reports, in requests per second. */
constexpr double MinReportedDemand{0.01};

/**
 * Demand in requests per second, of all nodes together, that is added in equal parts when the nodes' fractions of the demand are
 * computed. It makes the fractions of an idle workspace equal, and hardly changes those of one in use.
 */
constexpr double EvenDemand{0.1};

/** Relative change of the demand from which on it is reported at once. */
constexpr double MaxDemandError{0.25};

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
void replaceEstimate(shared_rates &state, std::uint32_t workspace, peer_usage &usage, std::uint64_t admitted)
{
    const double spent{admitted > usage.admitted ? static_cast<double>(admitted - usage.admitted) : 0.0};
    const double correction{std::exchange(usage.estimatedAdmitted, 0.0) - spent};
    usage.admitted = admitted;
    const auto found = correction == 0.0 ? state.buckets.end() : state.buckets.find(workspace);
    if (found != state.buckets.end()) {
        auto &bucket = found->second;
        bucket.level = std::min(bucket.burst, bucket.level + correction);
    }
}

/**
 * Returns how many of the requests in the first listing of a workspace a peer admitted before this node knew the peer. Those are not
 * subtracted, since the initial level of the bucket accounts for them.
 */
[[nodiscard]] std::uint64_t admittedBeforeFirstReport(const workspace_usage &listed, time_point firstReportAt, time_point now)
{
    const double since{std::ceil(listed.demand * std::max(0.0, toSeconds(now - firstReportAt)))};
    return listed.admitted - std::min(listed.admitted, static_cast<std::uint64_t>(since));
}

/** Applies the usages that a report lists. */
void applyListed(shared_rates &state, peer_state &peer, const usage_report &report, time_point now)
{
    for (const auto &listed : report.usages) {
        const auto [entry, isNew] = peer.usages.try_emplace(listed.workspace);
        auto &usage = entry->second;
        if (isNew || usage.listedAt == time_point{}) {
            usage.admitted = admittedBeforeFirstReport(listed, peer.firstReportAt, now);
        }
        replaceEstimate(state, listed.workspace, usage, listed.admitted);
        usage.demand = listed.demand;
        usage.listedAt = now;
        usage.knownAt = now;
    }
}

/**
 * Updates the usages that a report does not list. If all changes up to it were received, their counts are unchanged. A workspace that was
 * not listed for `unlistedTimeout` is inactive at the peer.
 */
void updateUnlisted(shared_rates &state, peer_state &peer, bool isUnchanged, time_point now)
{
    for (auto &[workspace, usage] : peer.usages) {
        const bool isInactive{now - usage.listedAt > state.options.unlistedTimeout};
        if (isUnchanged || isInactive) {
            replaceEstimate(state, workspace, usage, usage.admitted);
        }
        usage.knownAt = isUnchanged ? now : usage.knownAt;
        usage.demand = isInactive ? 0.0 : usage.demand;
    }
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

/**
 * Returns this node's fraction of the demand, such that the fractions of all nodes add up to 1. Demand that a node would not report is
 * none here either: if each node counted its own, each would see itself as the only node that has any.
 */
[[nodiscard]] double demandFraction(double ownDemand, const peer_demand &others, double equalShare) noexcept
{
    const double reported{ownDemand > MinReportedDemand ? ownDemand : 0.0};
    return (reported + EvenDemand * equalShare) / (reported + others.live + others.stale + EvenDemand);
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
 * Returns the limit of the requests that this node may have admitted without its peers having a report of them, a whole number. The
 * limits of all nodes add up to the tokens left when the oldest interval began and the tokens refilled since, also during a network
 * partition. Since each node rounds at another fraction, some round up and as many down.
 */
[[nodiscard]] double unreportedLimit(const shared_bucket &bucket, double equalShare, double roundingOffset) noexcept
{
    const auto &oldest = bucket.unreportedIntervals.front();
    const double refilled{bucket.rate * toSeconds(bucket.updatedAt - oldest.startedAt)};
    const double part{0.5 * (bucket.demandShare + equalShare)};
    const double limit{part * (oldest.initialLevel + refilled)};
    return std::max(1.0, std::floor(limit + roundingOffset));
}

/**
 * Returns the fraction at which this node rounds. The fractions of a fleet are spread evenly over [0, 1), in any part of it that is
 * consecutive by name too, which nodes of one zone often are.
 */
[[nodiscard]] double roundingOffset(std::string_view ownName, const std::vector<std::string> &names)
{
    constexpr double GoldenRatio{0.6180339887498949};
    const auto position = std::count_if(names.begin(), names.end(), [ownName](const std::string &name) {
        return name < ownName;
    });
    const double offset{GoldenRatio * static_cast<double>(position)};
    return offset - std::floor(offset);
}

/** Interval between the last two ticks. */
struct tick_interval
{
    /** In seconds. */
    double elapsed{0.0};
    /** Known nodes, including this one and stale peers. */
    double nodes{1.0};
    /** Known nodes at the tick before. */
    double nodesBefore{1.0};
    /** See shared_rates::roundingOffset. */
    double roundingOffset{0.0};
};

/**
 * Averages this node's fraction of the demand over the time constant. A new bucket starts with an equal part. Nodes that join take their
 * parts from all others, so that the parts of a node that has just learned of its peers are not those of a node without any.
 */
[[nodiscard]] double smoothedShare(double before, double sample, const tick_interval &last, duration timeConstant) noexcept
{
    const double gain{1.0 - std::exp(-last.elapsed / toSeconds(timeConstant))};
    const double scaled{before > 0.0 ? before * std::min(1.0, last.nodesBefore / last.nodes) : 1.0 / last.nodes};
    return scaled + gain * (sample - scaled);
}

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
    bucket.demandShare
        = smoothedShare(bucket.demandShare, demandFraction(bucket.demand, others, equalShare), last, options.shareTimeConstant);
    startUnreportedInterval(bucket, now, options.unreportedWindow);
    bucket.unreportedLimit = unreportedLimit(bucket, equalShare, last.roundingOffset);
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

/** Determines from the ages of their reports which peers are stale. A peer that became stale may spend tokens of any workspace. */
void updateStalePeers(shared_rates &state, time_point now)
{
    for (auto &[name, peer] : state.peers) {
        peer.isStale = peer.awaitsFirstReport || now - peer.lastReportAt > state.options.staleReportAge;
        if (peer.isStale) {
            addMissingUsages(peer, state.buckets);
        }
    }
}

/** Subtracts estimates for the workspaces of which a peer's last report is old, also where the peer reported others since. */
void subtractPeerEstimates(shared_rates &state, const tick_interval &last, time_point now)
{
    std::unordered_map<std::uint32_t, double> levels;
    for (const auto &[workspace, bucket] : state.buckets) {
        levels.emplace(workspace, bucket.level);
    }
    for (auto &[name, peer] : state.peers) {
        for (auto &[workspace, usage] : peer.usages) {
            const bool isCurrent{!peer.isStale && now - usage.knownAt <= state.options.freshReportAge};
            const auto bucket = isCurrent ? state.buckets.end() : state.buckets.find(workspace);
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

/** Returns whether the admitted requests of a workspace changed and not enough reports included the change. */
[[nodiscard]] bool isChanged(const shared_bucket &bucket) noexcept
{
    return bucket.admitted != bucket.reportedAdmitted || bucket.reportsOfAdmitted < ReportsOfChange;
}

/** Returns whether an active workspace has to be reported although its admitted requests did not change. */
[[nodiscard]] bool isListingDue(const shared_bucket &bucket, const shared_rate_options &options, time_point now) noexcept
{
    if (bucket.demand <= MinReportedDemand) {
        return false;
    }
    const bool isDemandChanged{std::abs(bucket.demand - bucket.reportedDemand) > MaxDemandError * bucket.reportedDemand + MinDemand};
    return isDemandChanged || now - bucket.reportedAt >= options.listingInterval;
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
    return std::max(hash, 1U);
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

void setMembers(shared_rates &state, std::string_view ownName, const std::vector<std::string> &names, time_point now)
{
    state.roundingOffset = internal::roundingOffset(ownName, names);
    for (auto &[name, peer] : state.peers) {
        peer.isMember = false;
    }
    for (const auto &name : names) {
        auto &peer = state.peers.try_emplace(name, peer_state{.awaitsFirstReport = true, .isStale = true, .usages = {}}).first->second;
        peer.isMember = true;
        peer.lastReportAt = peer.awaitsFirstReport ? now : peer.lastReportAt;
    }
}

void applyReport(shared_rates &state, const usage_report &report, time_point now)
{
    auto &peer = state.peers.try_emplace(report.instance, peer_state{.awaitsFirstReport = true, .usages = {}}).first->second;
    const bool isFirstReport{peer.awaitsFirstReport};
    const bool isRestarted{!isFirstReport && peer.incarnation != report.incarnation};
    if (!isFirstReport && !isRestarted && report.sequence <= peer.sequence) {
        return;
    }
    if (isFirstReport) {
        peer.firstReportAt = now;
    }
    if (isRestarted) {
        for (auto &[workspace, usage] : peer.usages) {
            internal::replaceEstimate(state, workspace, usage, usage.admitted);
            usage = {.listedAt = usage.listedAt};
        }
    }
    const bool hasAllChanges{!isFirstReport && !isRestarted && report.sequence - peer.sequence <= ReportsOfChange};
    internal::applyListed(state, peer, report, now);
    internal::updateUnlisted(state, peer, report.isComplete && hasAllChanges, now);
    peer.incarnation = report.incarnation;
    peer.sequence = report.sequence;
    peer.lastReportAt = now;
    peer.awaitsFirstReport = false;
    peer.isStale = false;
}

void updateAllowances(shared_rates &state, time_point now)
{
    std::erase_if(state.peers, [&](const auto &entry) {
        return !entry.second.isMember && now - entry.second.lastReportAt > state.options.peerExpiry;
    });
    const internal::tick_interval last{
        toSeconds(now - state.lastTick), static_cast<double>(state.peers.size() + 1), state.nodes, state.roundingOffset};
    state.lastTick = now;
    state.nodes = last.nodes;
    internal::updateStalePeers(state, now);
    for (auto &[workspace, bucket] : state.buckets) {
        internal::updateBucket(bucket, internal::demandOfPeers(state, workspace), last, state.options, now);
    }
    internal::subtractPeerEstimates(state, last, now);
}

usage_listing ownUsages(const shared_rates &state, time_point now)
{
    usage_listing listing;
    std::vector<workspace_usage> due;
    for (const auto &[workspace, bucket] : state.buckets) {
        const workspace_usage usage{workspace, bucket.admitted, bucket.demand};
        if (internal::isChanged(bucket)) {
            listing.usages.push_back(usage);
        } else if (internal::isListingDue(bucket, state.options, now)) {
            due.push_back(usage);
        }
    }
    const auto isReportedEarlier = [&state](const workspace_usage &left, const workspace_usage &right) {
        const auto leftAt = state.buckets.at(left.workspace).reportedAt;
        const auto rightAt = state.buckets.at(right.workspace).reportedAt;
        return std::tie(leftAt, left.workspace) < std::tie(rightAt, right.workspace);
    };
    std::sort(listing.usages.begin(), listing.usages.end(), isReportedEarlier);
    std::sort(due.begin(), due.end(), isReportedEarlier);
    listing.changed = listing.usages.size();
    listing.usages.insert(listing.usages.end(), due.begin(), due.end());
    return listing;
}

void markReported(shared_rates &state, const std::vector<workspace_usage> &usages, time_point now)
{
    for (const auto &usage : usages) {
        const auto found = state.buckets.find(usage.workspace);
        if (found == state.buckets.end()) {
            continue;
        }
        auto &bucket = found->second;
        bucket.reportsOfAdmitted = usage.admitted == bucket.reportedAdmitted ? bucket.reportsOfAdmitted + 1 : 1;
        bucket.reportedAdmitted = usage.admitted;
        bucket.reportedDemand = usage.demand;
        bucket.reportedAt = now;
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
    if (found != state.buckets.end()) {
        ++found->second.requestsSinceTick;
    }
    return retakeToken(state, workspaceName, now);
}

rate_decision retakeToken(shared_rates &state, std::string_view workspaceName, time_point now)
{
    const auto found = state.buckets.find(workspaceId(workspaceName));
    if (found == state.buckets.end() || internal::isUnlimited(found->second)) {
        return {.admitted = true};
    }
    auto &bucket = found->second;
    if (now - state.lastTick > state.options.staleReportAge) {
        return {.admitted = false, .mayWait = true, .lacksHeadroom = false, .retryAfter = internal::timeUntilToken(bucket)};
    }
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
