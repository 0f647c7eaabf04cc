#ifndef RAGWORTPIN_RATES_SHARED_RATES_H
#define RAGWORTPIN_RATES_SHARED_RATES_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/core/string_hash.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/rates/fwd.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortpin {

/** Parameters of the shared buckets. All nodes of a fleet must use the same values. */
struct shared_rate_options
{
    /** Age up to which a peer's report of a workspace is taken as current; above it, the peer's admissions are estimated. */
    duration freshReportAge{milliseconds{350}};
    /**
     * Age of a peer's last report above which its share of the tokens is reserved, since it may spend them without being seen. A node
     * whose own last tick is older, for example after it was suspended, admits no request until the next one.
     */
    duration staleReportAge{milliseconds{600}};
    /**
     * Age of a peer's last report above which the peer is removed, unless it is a member. A node that is cut off stops accepting keys
     * well before.
     */
    duration peerExpiry{seconds{12}};
    /** Time constant of the exponential average of the demand. */
    duration demandTimeConstant{seconds{1}};
    /** Fraction of the burst that a new bucket starts with: a node that just started cannot know which tokens are spent already. */
    double initialLevelFraction{0.1};
    /** Fraction of the burst that must be left for a node to admit requests beyond its own allowance or to lend headroom. */
    double surplusFraction{0.25};
    /**
     * Limit of the requests that all nodes together admit beyond their allowances between two ticks, as a multiple of the tokens
     * left. `extraFactor` applies while the fleet's demand is below the rate, `extraFactorAtLimit` otherwise.
     */
    double extraFactor{2.0};
    double extraFactorAtLimit{0.5};
    /**
     * Multiple of the rate above which the demand counts as a surge. During a surge no request is admitted beyond the allowance and
     * no headroom is requested from peers, since every node has enough requests to spend its own part.
     */
    double surgeFactor{2.5};
    /**
     * Time after which every peer either has a report of what this node admitted or counts this node as stale. It covers the longest
     * path of a report, `staleReportAge` plus two intervals between ticks, and the same again until the copies of the bucket
     * converge.
     */
    duration unreportedWindow{milliseconds{2200}};
    /**
     * Time constant of the average that divides the unreported requests between the nodes. Long, so that a surge cannot shift the
     * division at once.
     */
    duration shareTimeConstant{seconds{8}};
    /** Time for which a workspace that is absent from a peer's reports keeps its last demand. */
    duration unlistedTimeout{seconds{2}};
    /** Interval at which an active workspace is reported although no request of it was admitted. Below `unlistedTimeout`. */
    duration listingInterval{seconds{1}};

    bool operator==(const shared_rate_options &) const = default;
};

/** Requests of one workspace at one node. */
struct workspace_usage
{
    /** Identifies the workspace; see workspaceId(). */
    std::uint32_t workspace{0};
    /** Requests admitted since the node started. */
    std::uint64_t admitted{0};
    /** Smoothed rate of arriving requests, admitted or not, in requests per second. */
    double demand{0.0};

    bool operator==(const workspace_usage &) const = default;
};

/** Requests of the workspaces at one node. */
struct usage_report
{
    std::string instance;
    /** Differs between two processes of the same instance. */
    std::uint64_t incarnation{0};
    /** Grows by one with each report of an incarnation. */
    std::uint64_t sequence{0};
    std::vector<workspace_usage> usages;
    /**
     * Whether the usages contain every workspace whose admitted requests changed since the report before the last one. The counts of
     * all others are those reported before.
     */
    bool isComplete{false};

    bool operator==(const usage_report &) const = default;
};

/** Requests that a node admitted in one interval between ticks and that its peers may not have a report of yet. */
struct unreported_interval
{
    time_point startedAt{};
    /** Requests admitted; headroom that a peer lent is subtracted, so the count may be negative. */
    double count{0.0};
    /** Tokens left when the interval began. */
    double initialLevel{0.0};

    bool operator==(const unreported_interval &) const = default;
};

/** Number of consecutive reports that include a changed usage, so that the loss of one report does not lose the change. */
inline constexpr unsigned ReportsOfChange{2};

/** One node's copy of the token bucket of a workspace. */
struct shared_bucket
{
    double rate{0.0};
    double burst{0.0};
    /** Tokens left according to this node; negative after several nodes spent the same tokens. */
    double level{0.0};
    time_point updatedAt{};
    /** Tokens that this node may spend until the next tick. */
    double allowance{0.0};
    /** Requests that may be admitted beyond the allowance until the next tick, while the bucket has a surplus. */
    double extraAllowance{0.0};
    /** Requests that this node admitted since it started. */
    std::uint64_t admitted{0};
    /** Requests that arrived at this node since the last tick, admitted or not. */
    std::uint64_t requestsSinceTick{0};
    /** Smoothed demand at this node, in requests per second. */
    double demand{0.0};
    /** Smoothed demand at all nodes together, as of the last tick. */
    double fleetDemand{0.0};
    /** This node's fraction of the fleet's demand, averaged over `shareTimeConstant`. */
    double demandShare{0.0};
    /** Requests that this node admitted within the `unreportedWindow`, by tick; the current interval is the last one. */
    std::deque<unreported_interval> unreportedIntervals;
    /** Sum of the counts of these intervals. */
    double unreportedCount{0.0};
    /** Upper limit of `unreportedCount`. */
    double unreportedLimit{0.0};
    /** Time of the last report to peers that included the workspace. */
    time_point reportedAt{};
    /** Admitted requests and demand in that report, and the number of consecutive reports that included this number of requests. */
    std::uint64_t reportedAdmitted{0};
    double reportedDemand{0.0};
    unsigned reportsOfAdmitted{ReportsOfChange};

    bool operator==(const shared_bucket &) const = default;
};

/** Last reported usage of one workspace at one peer, and an estimate of what the peer admitted since. */
struct peer_usage
{
    std::uint64_t admitted{0};
    double demand{0.0};
    /**
     * Requests that the peer is estimated to have admitted since its report. They are subtracted from the bucket already, and are
     * replaced by the actual count with the peer's next report.
     */
    double estimatedAdmitted{0.0};
    /** Time of the last report that included the workspace. */
    time_point listedAt{};
    /** Time of the last report from which the number of admitted requests is known, whether it included the workspace or not. */
    time_point knownAt{};

    bool operator==(const peer_usage &) const = default;
};

/** Last report of one peer. */
struct peer_state
{
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    /** Time of the last report; before the first one, the time at which the peer was last in the list of members. */
    time_point lastReportAt{};
    time_point firstReportAt{};
    /** Whether the peer was listed as a member and has not sent a report yet. */
    bool awaitsFirstReport{false};
    /** Whether the peer is in the current list of members. */
    bool isMember{false};
    /** Whether there was no report for longer than `staleReportAge`, so that the peer's part of the tokens is reserved. */
    bool isStale{false};
    std::unordered_map<std::uint32_t, peer_usage> usages;

    bool operator==(const peer_state &) const = default;
};

/**
 * Rate limits of workspaces, enforced by all nodes together without a central counter. Each node keeps a copy of every bucket,
 * subtracts what it admits at once, and may spend a part of the tokens left that is proportional to its part of the demand. For
 * each peer it subtracts the peer's demand, at most the peer's part, until the peer reports what it admitted. In a network
 * partition every node therefore goes on with its part and no more, on both sides. Nodes may still spend the same tokens while the
 * demand changes. The copies then become negative and nothing is admitted until they are refilled, so that rate and burst hold over
 * a window.
 */
struct shared_rates
{
    shared_rate_options options;
    std::unordered_map<std::uint32_t, shared_bucket> buckets;
    string_map<peer_state> peers;
    time_point startedAt{};
    time_point lastTick{};
    /** Known nodes at the last tick, including this one. */
    double nodes{1.0};
    /** Added to limits before they are rounded down, in [0, 1); differs between the nodes of a fleet. */
    double roundingOffset{0.0};
};

/** Result of a request for a token. */
struct rate_decision
{
    bool admitted{false};
    /** Whether the next tick may admit the request, because the demand of the whole fleet is below the rate. */
    bool mayWait{false};
    /** Whether the bucket has tokens left and only this node's part is spent, so that peers may have headroom to lend. */
    bool lacksHeadroom{false};
    /** Time until a token is likely to be available; only meaningful if the request is not admitted. */
    duration retryAfter{0};

    bool operator==(const rate_decision &) const = default;
};

/** Returns the id of a workspace in reports, a hash of its name that is never 0. */
[[nodiscard]] std::uint32_t workspaceId(std::string_view name) noexcept;

/** Creates a state without any limits. */
[[nodiscard]] shared_rates makeSharedRates(const shared_rate_options &options, time_point now);

/** Sets the rate and burst of one workspace. An existing bucket keeps its level, capped at the new burst. */
void applyLimit(shared_rates &state, const workspace &limit, time_point now);

/** Sets the rates and bursts of a configuration and removes the buckets of workspaces that are not part of it. */
void applyLimits(shared_rates &state, const std::vector<workspace> &workspaces, time_point now);

/**
 * Sets the names of this node and of all other members. A part of the tokens is reserved for each member without a current report: a node
 * that does not hear of others, for example because it just started, would otherwise use their parts of the rate itself.
 */
void setMembers(shared_rates &state, std::string_view ownName, const std::vector<std::string> &names, time_point now);

/** Applies a peer's report. Reports that are not newer than the last one of the same incarnation are ignored. */
void applyReport(shared_rates &state, const usage_report &report, time_point now);

/** Ends an interval: refills the buckets, reserves the parts of stale peers and computes what this node may spend until the next tick.
 */
void updateAllowances(shared_rates &state, time_point now);

/** Usages of this node for its next report. */
struct usage_listing
{
    std::vector<workspace_usage> usages;
    /** Number of usages, at the front, whose admitted requests changed. The report is complete if it includes all of them. */
    std::size_t changed{0};

    bool operator==(const usage_listing &) const = default;
};

/**
 * Returns this node's usages for its next report: first the changed ones, then those of active workspaces whose demand changed or that
 * were not reported for `listingInterval`. Within both groups, the ones that were not reported for the longest time come first, so that
 * every workspace is reported in turn if not all fit into one report.
 */
[[nodiscard]] usage_listing ownUsages(const shared_rates &state, time_point now);

/** Records that these usages were included in a report. */
void markReported(shared_rates &state, const std::vector<workspace_usage> &usages, time_point now);

/** Returns the number of peers whose reports are not stale; used in logs. */
[[nodiscard]] std::size_t countLivePeers(const shared_rates &state) noexcept;

/** Returns the token of an admitted request that was then refused for another reason. */
void returnToken(shared_rates &state, std::string_view workspaceName);

/**
 * Lends headroom to a peer: requests that the peer may admit before others have a report of them, and that this node may not admit
 * meanwhile. Returns the number of requests lent: at most the number wanted and at most half of this node's own headroom, but one
 * if at least one is left. Returns 0 for an unknown workspace or a bucket without a surplus.
 */
[[nodiscard]] std::uint32_t lendHeadroom(shared_rates &state, std::uint32_t workspace, std::uint32_t wanted, time_point now);

/** Adds headroom that a peer lent. */
void addHeadroom(shared_rates &state, std::uint32_t workspace, std::uint32_t requests);

/**
 * Counts a request of a workspace as demand, and takes a token for it if possible. Requests of a workspace without a limit are always
 * admitted.
 */
[[nodiscard]] rate_decision takeToken(shared_rates &state, std::string_view workspaceName, time_point now);

/** Takes a token for a request that takeToken() has refused and that waited since; does not count it as demand again. */
[[nodiscard]] rate_decision retakeToken(shared_rates &state, std::string_view workspaceName, time_point now);

} // namespace ragwortpin

#endif
