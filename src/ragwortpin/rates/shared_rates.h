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

/** Settings of the shared buckets. All nodes of a fleet use the same ones. */
struct shared_rate_options
{
    /** Age of a peer's report up to which it tells what the peer does. */
    duration reported{milliseconds{350}};
    /** Age of a peer's report from which on its share is set aside, since it may spend it unseen. */
    duration stale{milliseconds{600}};
    /** Age from which on a peer counts as gone. A node that hears nobody stops accepting keys well before. */
    duration forget{seconds{12}};
    /** Time over which the demand is averaged. */
    duration demandMemory{seconds{1}};
    /** Part of the burst that a node which just started takes to be left; what was spent before it cannot know. */
    double startFraction{0.1};
    /** Part of the burst that has to be left for requests beyond the node's own allowance. */
    double plenty{0.25};
    /** Such requests of all nodes together between two ticks, as a multiple of what is left; less while more than the rate is asked for. */
    double lendable{2.0};
    double lendableAtLimit{0.5};
    /** Multiple of the rate from which on nothing is lent, since every node finds requests for its own part. */
    double surge{2.5};
    /**
     * Time within which every peer either hears what this node admitted or counts it as stale: the longest way of a report, `stale`
     * and two intervals between ticks, and as much again while the copies of the bucket settle.
     */
    duration exposure{milliseconds{2200}};
    /** Time over which demand is averaged to part the requests that peers may not know of yet; a surge must not shift the parts at once. */
    duration shareMemory{seconds{8}};
    /** Time for which a workspace that a peer's reports leave out keeps its last figures. Reports take turns where not all fit. */
    duration unlisted{seconds{2}};

    bool operator==(const shared_rate_options &) const = default;
};

/** What one node admitted of one workspace. */
struct workspace_usage
{
    /** Identifies the workspace; see workspaceId(). */
    std::uint32_t workspace{0};
    /** Requests admitted since the node started. */
    std::uint64_t admitted{0};
    /** Smoothed requests a second that asked, admitted or not. */
    double demand{0.0};

    bool operator==(const workspace_usage &) const = default;
};

/** What one node admitted of every workspace that was active of late. */
struct usage_report
{
    std::string instance;
    /** Differs between two processes of the same instance. */
    std::uint64_t incarnation{0};
    /** Grows with each report of an incarnation. */
    std::uint64_t sequence{0};
    std::vector<workspace_usage> usages;

    bool operator==(const usage_report &) const = default;
};

/** Requests that a node admitted in one interval between ticks. */
struct exposed_requests
{
    time_point since{};
    double count{0.0};
    /** Tokens left when the interval began. */
    double level{0.0};

    bool operator==(const exposed_requests &) const = default;
};

/** The copy that one node keeps of a workspace's bucket. */
struct shared_bucket
{
    double rate{0.0};
    double burst{0.0};
    /** Tokens left as far as this node knows; negative after several nodes spent the same ones. */
    double level{0.0};
    time_point updatedAt{};
    /** Tokens that this node may spend until the next tick. */
    double allowance{0.0};
    /** Requests beyond the allowance that may be admitted until the next tick while plenty is left. */
    double loan{0.0};
    /** Own requests since the start, admitted ones, and those since the last tick. */
    std::uint64_t admitted{0};
    std::uint64_t asked{0};
    /** Own smoothed demand, in requests a second. */
    double demand{0.0};
    /** Smoothed demand of all nodes together, as of the last tick. */
    double fleetDemand{0.0};
    /** Slowly averaged part of this node in the fleet's demand. */
    double share{0.0};
    /** Own requests admitted within the exposure time, by tick, the running interval last. */
    std::deque<exposed_requests> exposed;
    /** Sum of these, and the most they may come to. */
    double exposedCount{0.0};
    double exposedLimit{0.0};
    /** When peers were told of it last. */
    time_point reportedAt{};

    bool operator==(const shared_bucket &) const = default;
};

/** What was heard of one workspace from one peer, and what it is taken to have admitted since. */
struct peer_usage
{
    std::uint64_t admitted{0};
    double demand{0.0};
    /** Taken off the bucket already; given back when the peer reports what it did. */
    double assumed{0.0};
    /** When a report had it last. */
    time_point listedAt{};

    bool operator==(const peer_usage &) const = default;
};

/** What was heard from one peer. */
struct peer_reports
{
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    time_point heardAt{};
    /** Whether it is known by name only, from the list of members. */
    bool isUnheard{false};
    /** Whether it was silent for so long that its part is set aside. */
    bool isStale{false};
    std::unordered_map<std::uint32_t, peer_usage> usages;

    bool operator==(const peer_reports &) const = default;
};

/**
 * Workspace rates kept by all nodes together. Each node keeps a copy of every bucket, takes off what it admits at once, and spends
 * its part of what is left by its part of the demand. Of others it takes off what they ask for, at most their part, until they
 * report what they admitted; so a peer that is cut off goes on with its part and no more, on both sides of the cut. Nodes may still
 * spend the same tokens while demand changes; the copies then go below zero and nothing is admitted until they are refilled, so
 * that over a window the rate and burst hold.
 */
struct shared_rates
{
    shared_rate_options options;
    std::unordered_map<std::uint32_t, shared_bucket> buckets;
    string_table<peer_reports> peers;
    time_point startedAt{};
    time_point lastTick{};
};

/** Whether a request may run. */
struct rate_decision
{
    bool admitted{false};
    /** Whether the next tick may admit it, because the fleet as a whole asks for less than the rate. */
    bool mayWait{false};
    /** Whether tokens are left and only this node's part of them is spent, so that peers may have room. */
    bool lacksRoom{false};
    /** When a token is likely; meaningful when not admitted. */
    duration retryAfter{0};

    bool operator==(const rate_decision &) const = default;
};

/** Identifies a workspace in reports by a hash of its name. */
[[nodiscard]] std::uint32_t workspaceId(std::string_view name) noexcept;

/** Starts without any limits. */
[[nodiscard]] shared_rates makeSharedRates(const shared_rate_options &options, time_point now);

/** Takes over the rate and burst of one workspace. A bucket that is there keeps its level. */
void applyLimit(shared_rates &state, const workspace &limit, time_point now);

/** Takes over the rates of a configuration, and forgets the buckets of workspaces that it does not have. */
void applyLimits(shared_rates &state, const std::vector<workspace> &workspaces, time_point now);

/**
 * Sets a part aside for peers that are listed as members and were not heard from yet. Only a node that just started has such
 * peers: it would otherwise take the whole rate for itself until the first reports arrive.
 */
void expectPeers(shared_rates &state, const std::vector<std::string> &names, time_point now);

/** Takes over a report of a peer; one that was overtaken is ignored. */
void noteReport(shared_rates &state, const usage_report &report, time_point now);

/** Closes an interval: refills, sets aside, and works out what this node may spend until the next one. */
void tickRates(shared_rates &state, time_point now);

/**
 * What this node admitted, for its report; workspaces that were not active for some seconds are left out. Those that peers were
 * not told of for longest come first, so that all get their turn where a report has no room for all.
 */
[[nodiscard]] std::vector<workspace_usage> ownUsages(const shared_rates &state);

/** Notes which workspaces a report told of. */
void noteReported(shared_rates &state, const std::vector<workspace_usage> &usages, time_point now);

/** Peers that were heard from and are not silent, for logs. */
[[nodiscard]] std::size_t heardPeers(const shared_rates &state) noexcept;

/** Gives the token of an admitted request back that was refused for another reason. */
void returnToken(shared_rates &state, std::string_view workspaceName);

/**
 * Lends a peer room for requests that it admits unknown to others; this node may admit so many less meanwhile. Returns how many, at
 * most what was wanted and half of what this node has to spare.
 */
[[nodiscard]] std::uint32_t lendRoom(shared_rates &state, std::uint32_t workspace, std::uint32_t wanted, time_point now);

/** Adds room that a peer lent. */
void addRoom(shared_rates &state, std::uint32_t workspace, std::uint32_t requests);

/** Decides on a request of a workspace. One without a limit is always admitted. */
[[nodiscard]] rate_decision takeToken(shared_rates &state, std::string_view workspaceName, time_point now);

} // namespace ragwortpin

#endif
