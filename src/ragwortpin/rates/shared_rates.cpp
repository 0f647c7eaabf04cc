#include "ragwortpin/rates/shared_rates.h"

#include <algorithm>
#include <cmath>
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

/** Workspaces in one report, which has to fit a datagram; those with less demand wait for a later one. */
constexpr std::size_t MostReported{56};

constexpr duration ShortestRetryAfter{milliseconds{250}};
constexpr duration LongestRetryAfter{seconds{3}};

[[nodiscard]] bool isUnlimited(const shared_bucket &bucket) noexcept
{
    return bucket.rate >= UnlimitedRate;
}

void refill(shared_bucket &bucket, time_point now) noexcept
{
    const double elapsed{std::max(0.0, toSeconds(now - bucket.updatedAt))};
    const double usable{1.0 - bucket.staleShare};
    bucket.level = std::min(bucket.burst * usable, bucket.level + bucket.rate * usable * elapsed);
    bucket.updatedAt = now;
}

/** Changes the part that is set aside; what is left of the burst shrinks with the part that may be used. */
void setStaleShare(shared_bucket &bucket, double share) noexcept
{
    const bool grows{share > bucket.staleShare && bucket.staleShare < 1.0};
    if (grows && bucket.level > 0.0) {
        bucket.level *= (1.0 - share) / (1.0 - bucket.staleShare);
    }
    bucket.staleShare = share;
}

/** Tokens that were set aside for a peer while it was not heard from. */
[[nodiscard]] double tokensSetAside(const shared_bucket &bucket, const peer_usage &usage, duration silence) noexcept
{
    const double share{usage.demand / std::max(LeastDemand, bucket.fleetDemand)};
    return std::min(1.0, share) * (bucket.burst + bucket.rate * toSeconds(silence));
}

void takeOff(shared_rates &state, std::uint32_t workspace, const peer_usage &before, std::uint64_t admitted, duration silence)
{
    const auto bucket = state.buckets.find(workspace);
    if (bucket == state.buckets.end() || admitted <= before.admitted) {
        return;
    }
    const double spent{static_cast<double>(admitted - before.admitted)};
    const bool wasStale{silence > state.options.stale};
    const double covered{wasStale ? tokensSetAside(bucket->second, before, silence) : 0.0};
    bucket->second.level -= std::max(0.0, spent - covered);
}

[[nodiscard]] double smoothedDemand(const shared_bucket &bucket, double elapsed, duration memory) noexcept
{
    const double gain{1.0 - std::exp(-elapsed / toSeconds(memory))};
    const double sample{static_cast<double>(bucket.asked) / elapsed};
    return bucket.demand + gain * (sample - bucket.demand);
}

/** Demand of all peers that count, and of those among them that are stale, for one workspace. */
struct peer_demand
{
    double all{0.0};
    double stale{0.0};
};

[[nodiscard]] peer_demand demandOfPeers(const shared_rates &state, std::uint32_t workspace, time_point now)
{
    peer_demand demand;
    for (const auto &[name, peer] : state.peers) {
        const auto usage = peer.usages.find(workspace);
        if (usage == peer.usages.end()) {
            continue;
        }
        demand.all += usage->second.demand;
        demand.stale += now - peer.heardAt > state.options.stale ? usage->second.demand : 0.0;
    }
    return demand;
}

void tickBucket(shared_bucket &bucket, const peer_demand &peers, double elapsed, const shared_rate_options &options, time_point now)
{
    if (elapsed > 0.0) {
        bucket.demand = smoothedDemand(bucket, elapsed, options.demandMemory);
    }
    bucket.asked = 0;
    bucket.borrowed = false;
    const double own{std::max(LeastDemand, bucket.demand)};
    bucket.fleetDemand = own + peers.all;
    setStaleShare(bucket, peers.stale / bucket.fleetDemand);
    refill(bucket, now);
    const double live{own + peers.all - peers.stale};
    const double part{own / live * std::max(0.0, bucket.level)};
    const double carried{bucket.level > 0.0 ? std::min(1.0, bucket.allowance) : 0.0};
    bucket.allowance = part < 1.0 ? std::min(1.0, carried + part) : part;
}

void admit(shared_bucket &bucket) noexcept
{
    ++bucket.admitted;
    bucket.level -= 1.0;
    bucket.allowance = std::max(0.0, bucket.allowance - 1.0);
}

[[nodiscard]] duration untilRefilled(const shared_bucket &bucket) noexcept
{
    const double missing{std::max(1.0, 1.0 - bucket.level)};
    const double rate{std::max(1.0, bucket.rate * (1.0 - bucket.staleShare))};
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
    state.lastTick = now;
    return state;
}

void applyLimits(shared_rates &state, const std::vector<workspace> &workspaces, time_point now)
{
    std::unordered_set<std::uint32_t> present;
    for (const auto &item : workspaces) {
        const auto id = workspaceId(item.name);
        present.insert(id);
        auto [entry, added] = state.buckets.try_emplace(id);
        auto &bucket = entry->second;
        bucket.rate = item.rate;
        bucket.burst = item.burst;
        if (added) {
            bucket.level = state.options.startFraction * item.burst;
            bucket.updatedAt = now;
        }
        bucket.level = std::min(bucket.level, bucket.burst);
    }
    std::erase_if(state.buckets, [&present](const auto &entry) {
        return !present.contains(entry.first);
    });
}

void noteReport(shared_rates &state, const usage_report &report, time_point now)
{
    auto [entry, added] = state.peers.try_emplace(report.instance);
    auto &peer = entry->second;
    const bool restarted{!added && peer.incarnation != report.incarnation};
    if (!added && !restarted && report.sequence <= peer.sequence) {
        return;
    }
    const duration silence{now - peer.heardAt};
    std::unordered_map<std::uint32_t, peer_usage> usages;
    for (const auto &usage : report.usages) {
        auto before = peer_usage{usage.admitted, 0.0};
        if (restarted) {
            before = {};
        } else if (const auto known = peer.usages.find(usage.workspace); known != peer.usages.end()) {
            before = known->second;
        }
        internal::takeOff(state, usage.workspace, before, usage.admitted, silence);
        usages.emplace(usage.workspace, peer_usage{usage.admitted, usage.demand});
    }
    for (const auto &[workspace, usage] : peer.usages) {
        if (!restarted) {
            usages.try_emplace(workspace, peer_usage{usage.admitted, 0.0});
        }
    }
    peer = {report.incarnation, report.sequence, now, std::move(usages)};
}

void tickRates(shared_rates &state, time_point now)
{
    std::erase_if(state.peers, [&](const auto &entry) {
        return now - entry.second.heardAt > state.options.forget;
    });
    const double elapsed{toSeconds(now - state.lastTick)};
    state.lastTick = now;
    for (auto &[workspace, bucket] : state.buckets) {
        internal::tickBucket(bucket, internal::demandOfPeers(state, workspace, now), elapsed, state.options, now);
    }
}

std::vector<workspace_usage> ownUsages(const shared_rates &state)
{
    std::vector<workspace_usage> usages;
    for (const auto &[workspace, bucket] : state.buckets) {
        if (bucket.demand > internal::ReportedDemand) {
            usages.push_back({workspace, bucket.admitted, bucket.demand});
        }
    }
    if (usages.size() > internal::MostReported) {
        std::sort(usages.begin(), usages.end(), [](const auto &left, const auto &right) {
            return left.demand > right.demand;
        });
        usages.resize(internal::MostReported);
    }
    return usages;
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
    const bool plenty{!bucket.borrowed && bucket.level >= std::max(1.0, state.options.plenty * bucket.burst)};
    if (allowed || plenty) {
        bucket.borrowed = bucket.borrowed || !allowed;
        internal::admit(bucket);
        return {.admitted = true};
    }
    return {.admitted = false, .mayWait = bucket.fleetDemand < bucket.rate, .retryAfter = internal::untilRefilled(bucket)};
}

} // namespace ragwortpin
