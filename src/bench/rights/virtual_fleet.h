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

/** Settings of a simulated fleet that runs in virtual time. */
struct fleet_options
{
    std::uint64_t seed{1};
    std::vector<std::string> zones{"a", "b"};
    std::size_t nodesPerZone{3};
    rights_settings settings;
    duration tickInterval{milliseconds{20}};
    /** Minimum one-way delay between nodes of one zone. Each delivery adds a random delay of up to half of the minimum. */
    duration delayInZone{microseconds{200}};
    /** Minimum one-way delay between nodes of different zones; random addition as in `delayInZone`. */
    duration delayBetweenZones{microseconds{1500}};
    /** Minimum duration of a store call. Each call adds a random duration of up to as much again. */
    duration storeDelay{milliseconds{3}};
    /** Relative clock error. The clock of each process runs fast or slow by this fraction. */
    double drift{0.0};
    /** Fraction of processes whose clock runs fast. */
    double fastClocks{0.5};
    /** Maximum time until a live node is notified that a process has started or ended. */
    duration detection{seconds{2}};
    std::vector<workspace> workspaces;
};

/**
 * Audit of the requests admitted for one workspace. The level of its reference token bucket is negative exactly if the admitted
 * requests of some time window exceed the rate times the window plus the burst.
 */
struct usage_audit
{
    double rate{0.0};
    double burst{0.0};
    double level{0.0};
    double lowest{0.0};
    time_point updatedAt;
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
    /** Offered requests that conform to the rate and burst, measured by a token bucket over the offered load. */
    std::uint64_t withinRate{0};
    /** Conforming requests (`withinRate`) that were refused all the same. */
    std::uint64_t wronglyRefused{0};
    double offeredLevel{0.0};
    time_point offeredAt;
};

/** A node of the fleet and its current process. */
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
    /** Number of process starts. Events of an earlier process are dropped. */
    std::uint64_t generation{0};
    time_point startedAt;
    std::unique_ptr<rights_state> rights;
    /** Actions that fell due while the process was paused; they run when it resumes. */
    std::vector<std::function<void()>> deferredActions;
    std::uint64_t messagesSent{0};
    std::uint64_t bytesSent{0};
};

/** A request that is waiting for a token. */
struct waiting_request
{
    std::string workspace;
    time_point arrivedAt;
    bool withinRate{false};
};

/** Simulated key-value store of the platform with fault injection. */
struct virtual_store
{
    std::map<std::string, store_entry> entries;
    std::int64_t revision{0};
    bool outage{false};
    /** Fraction of calls that are executed but whose reply is lost, so that the caller times out. */
    double replyLossFraction{0.0};
    std::uint64_t calls{0};
    std::uint64_t writes{0};
};

/** A fleet of rate limiters on a simulated network with a simulated store, in virtual time. */
struct virtual_fleet
{
    struct event
    {
        time_point at;
        std::uint64_t order{0};
        std::function<void()> run;
    };

    /** Orders the priority queue so that the earliest event, or the first one added of the same time, is on top. */
    struct runs_later
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
    std::priority_queue<event, std::vector<event>, runs_later> events;
    std::vector<virtual_node> nodes;
    std::map<std::string, std::size_t> indexByName;
    std::vector<std::deque<waiting_request>> waiting;
    virtual_store store;
    /** Membership view shared by all processes while the fleet starts; null afterwards. */
    std::shared_ptr<const membership_view> initialView;
    std::set<std::string> cutZones;
    std::set<std::size_t> cutNodes;
    double loss{0.0};
    double duplication{0.0};
    /** Maximum random extra delay of a message or store call, which causes reordering. */
    duration jitter{0};
    std::shared_ptr<const configuration> config;
    std::map<std::string, usage_audit> audits;
    /** Published configuration revisions, each with the time until which rights under it may still be in use. */
    std::map<std::uint64_t, std::pair<std::shared_ptr<const configuration>, time_point>> revisions;
};

/** Starts all nodes of a fleet. Scheduled events refer to the fleet, so it must not be moved afterwards. */
void startFleet(virtual_fleet &fleet, const fleet_options &options);

/** Schedules an action for the given virtual time. */
void schedule(virtual_fleet &fleet, time_point at, std::function<void()> run);

/** Runs all events up to and including the given time and sets the virtual time to it. */
void runUntil(virtual_fleet &fleet, time_point until);

/** Sends one request of a workspace to a node. Does nothing if the node is down, paused or leaving. */
void offerRequest(virtual_fleet &fleet, std::size_t node, const std::string &workspace);

/** Schedules Poisson arrivals with the given mean rate until the given time. `chooseNode` returns the node of each request. */
void offerLoad(virtual_fleet &fleet, const std::string &workspace, double rate, std::function<std::size_t()> chooseNode, time_point until);

/** Ends a process without a graceful leave. */
void killNode(virtual_fleet &fleet, std::size_t node);

/** Starts a new process at the node's address. Kills the current process first if it is still running. */
void restartNode(virtual_fleet &fleet, std::size_t node);

/** Kills a node and starts one with another name and address in its place. */
void replaceNode(virtual_fleet &fleet, std::size_t node);

/** Pauses a process for the given time. It then handles the messages and replies that arrived during the pause. */
void pauseNode(virtual_fleet &fleet, std::size_t node, duration span);

/** Begins a graceful leave. The process ends once it holds no more rights or tokens. */
void leaveNode(virtual_fleet &fleet, std::size_t node);

/** Publishes a configuration. Each node applies it after a random time of up to `spread`. */
void publish(virtual_fleet &fleet, configuration next, duration spread);

/** Returns a configuration with equal shares for all zones. */
[[nodiscard]] configuration
makeConfiguration(const std::vector<std::string> &zones, std::vector<workspace> workspaces, std::uint64_t revision);

/** Schedules a membership update of every node within the detection time. Must be called after a network cut begins or ends. */
void updateMembers(virtual_fleet &fleet);

/** Returns the lowest level so far of any reference bucket, at most zero. A negative level means that a workspace's limit was exceeded. */
[[nodiscard]] double lowestAuditLevel(const virtual_fleet &fleet);

/** Returns the indices of the nodes that are running and neither paused nor leaving. */
[[nodiscard]] std::vector<std::size_t> runningNodes(const virtual_fleet &fleet);

} // namespace ragwortpin::bench

#endif
