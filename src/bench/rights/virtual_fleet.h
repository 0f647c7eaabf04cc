#ifndef RAGWORTPIN_BENCH_RIGHTS_VIRTUAL_FLEET_H
#define RAGWORTPIN_BENCH_RIGHTS_VIRTUAL_FLEET_H

#include "ragwortpin/rights/rights.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace ragwortpin::bench {

/** Settings of a fleet in virtual time. */
struct fleet_options
{
    std::uint64_t seed{1};
    std::vector<std::string> zones{"a", "b"};
    std::size_t nodesPerZone{3};
    rights_settings settings;
    duration tick{milliseconds{20}};
    /** One-way delay between nodes of a zone and of different zones; each delivery adds up to half as much at random. */
    duration delayInZone{microseconds{200}};
    duration delayBetweenZones{microseconds{1500}};
    duration storeDelay{milliseconds{3}};
    /** Relative clock error, by which each process runs fast or slow. */
    double drift{0.0};
    /** Fraction of processes whose clock runs fast. */
    double fastClocks{0.5};
    /** Time until the live nodes learn that a process started or ended. */
    duration detection{seconds{2}};
    std::vector<workspace> workspaces;
};

/** Audit of one workspace: a reference token bucket that goes below zero exactly if some window exceeds rate times window plus burst. */
struct usage_audit
{
    double rate{0.0};
    double burst{0.0};
    double level{0.0};
    double lowest{0.0};
    time_point updatedAt;
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
    /** Requests that the workspace's own offered load, measured by a bucket of its rate and burst, had room for. */
    std::uint64_t withinRate{0};
    /** Refused ones of them. */
    std::uint64_t wronglyRefused{0};
    double offeredLevel{0.0};
    time_point offeredAt;
};

/** A process of the fleet. */
struct virtual_node
{
    std::string name;
    std::string zone;
    std::string address;
    bool alive{false};
    bool paused{false};
    bool leaving{false};
    double clockRate{1.0};
    time_point clockStart;
    std::uint64_t incarnation{0};
    std::uint64_t lifetime{0};
    time_point startedAt;
    std::unique_ptr<rights_state> rights;
    std::vector<std::function<void()>> whilePaused;
    std::uint64_t messagesSent{0};
    std::uint64_t bytesSent{0};
};

/** A request that waits for a token. */
struct waiting_request
{
    std::string workspace;
    time_point arrivedAt;
    bool withinRate{false};
};

/** The platform's store with faults. */
struct virtual_store
{
    std::map<std::string, store_entry> entries;
    std::int64_t revision{0};
    bool outage{false};
    double lostAnswers{0.0};
    std::uint64_t calls{0};
    std::uint64_t writes{0};
};

/** A fleet of rate limiters with one fake network and store, in virtual time. */
struct virtual_fleet
{
    struct event
    {
        time_point at;
        std::uint64_t order{0};
        std::function<void()> run;
    };

    struct later
    {
        [[nodiscard]] bool operator()(const event &left, const event &right) const noexcept
        {
            return left.at == right.at ? left.order > right.order : left.at > right.at;
        }
    };

    fleet_options options;
    std::mt19937_64 random;
    time_point now;
    std::uint64_t eventOrder{0};
    std::priority_queue<event, std::vector<event>, later> events;
    std::vector<virtual_node> nodes;
    std::map<std::string, std::size_t> indices;
    std::vector<std::deque<waiting_request>> waiting;
    virtual_store store;
    /** View that processes of one start share. */
    std::shared_ptr<const membership_view> startingView;
    std::set<std::string> cutZones;
    std::set<std::size_t> cutNodes;
    double loss{0.0};
    double duplication{0.0};
    /** Largest extra delay of a message, so that messages overtake each other. */
    duration jitter{0};
    std::shared_ptr<const configuration> config;
    std::map<std::string, usage_audit> audits;
    /** Latest use of each published revision, kept until no right under it can be in use. */
    std::map<std::uint64_t, std::pair<std::shared_ptr<const configuration>, time_point>> revisions;
};

/** Starts all nodes of a fleet. The fleet must not move afterwards. */
void startFleet(virtual_fleet &fleet, const fleet_options &options);

/** Runs something at a time. */
void schedule(virtual_fleet &fleet, time_point at, std::function<void()> run);

/** Runs all events up to a time. */
void runUntil(virtual_fleet &fleet, time_point until);

/** Sends one request of a workspace to a node. */
void offerRequest(virtual_fleet &fleet, std::size_t node, const std::string &workspace);

/** Offers requests at random intervals of a mean rate to nodes chosen by a function, until a time. */
void offerLoad(virtual_fleet &fleet, const std::string &workspace, double rate, std::function<std::size_t()> chooseNode, time_point until);

/** Ends a process without warning. */
void killNode(virtual_fleet &fleet, std::size_t node);

/** Starts a process at the node's address after the former one ended; a kill comes first if it still runs. */
void restartNode(virtual_fleet &fleet, std::size_t node);

/** Replaces a node by one of another name and address. */
void replaceNode(virtual_fleet &fleet, std::size_t node);

/** Stops a process for a time; it then handles what arrived meanwhile. */
void pauseNode(virtual_fleet &fleet, std::size_t node, duration span);

/** Begins a graceful leave. The process ends when it holds nothing more. */
void leaveNode(virtual_fleet &fleet, std::size_t node);

/** Publishes a configuration; each node applies it after a random time up to the given one. */
void publish(virtual_fleet &fleet, configuration next, duration spread);

/** Makes a configuration with equal shares for all zones. */
[[nodiscard]] configuration
makeConfiguration(const std::vector<std::string> &zones, std::vector<workspace> workspaces, std::uint64_t revision);

/** Lets every node learn, within the detection time, which nodes it can reach then; to be called after a cut or its end. */
void updateMembers(virtual_fleet &fleet);

/** Lowest level of any workspace's reference bucket so far; below zero the bound was broken. */
[[nodiscard]] double lowestLevel(const virtual_fleet &fleet);

/** Indices of the nodes that run and are not paused. */
[[nodiscard]] std::vector<std::size_t> runningNodes(const virtual_fleet &fleet);

} // namespace ragwortpin::bench

#endif
