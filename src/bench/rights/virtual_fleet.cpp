#include "bench/rights/virtual_fleet.h"

#include "bench/rights/conservation.h"
#include "bench/rights/internal/virtual_network.h"
#include "bench/rights/internal/virtual_requests.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragwortpin::bench {

namespace {

using internal::canReach;
using internal::drawDuration;
using internal::drawFraction;
using internal::retryWaitingRequests;
using internal::runInProcess;
using internal::sendOutput;

/** Returns the live nodes that the viewer can reach, sorted by name. */
[[nodiscard]] std::shared_ptr<const membership_view> collectReachableMembers(const virtual_fleet &fleet, std::size_t viewer)
{
    auto view = std::make_shared<membership_view>();
    for (std::size_t index{0}; index < fleet.nodes.size(); ++index) {
        const auto &node = fleet.nodes[index];
        if (node.alive && canReach(fleet, viewer, index)) {
            instance_record record;
            record.name = node.name;
            record.availabilityZone = node.zone;
            record.state = node.leaving ? instance_state::Draining : instance_state::Ready;
            view->instances.push_back(std::move(record));
        }
    }
    std::sort(view->instances.begin(), view->instances.end(), [](const auto &left, const auto &right) {
        return left.name < right.name;
    });
    return view;
}

void scheduleTick(virtual_fleet &fleet, std::size_t index, std::uint64_t generation)
{
    schedule(fleet, fleet.now + fleet.options.tickInterval, [&fleet, index, generation] {
        const auto &node = fleet.nodes[index];
        if (!node.alive || node.generation != generation) {
            return;
        }
        if (!node.paused) {
            runInProcess(fleet, index, generation, [](rights_state &state, time_point now) {
                onTick(state, now);
            });
            retryWaitingRequests(fleet, index);
        }
        if (node.leaving && isReleaseComplete(*node.rights)) {
            killNode(fleet, index);
            return;
        }
        scheduleTick(fleet, index, generation);
    });
}

/**
 * Schedules a membership update of every node after a random time of up to the detection time. During a cut, each node gets the
 * nodes that it can reach when the update runs; otherwise all nodes share one view made now.
 */
void scheduleMembershipUpdates(virtual_fleet &fleet)
{
    if (fleet.cutZones.empty() && fleet.cutNodes.empty()) {
        const auto view = collectReachableMembers(fleet, 0);
        for (std::size_t index{0}; index < fleet.nodes.size(); ++index) {
            schedule(fleet, fleet.now + drawDuration(fleet, fleet.options.detection), [&fleet, index, view] {
                runInProcess(fleet, index, fleet.nodes[index].generation, [view](rights_state &state, time_point now) {
                    onMembers(state, view, now);
                });
            });
        }
        return;
    }
    for (std::size_t index{0}; index < fleet.nodes.size(); ++index) {
        schedule(fleet, fleet.now + drawDuration(fleet, fleet.options.detection), [&fleet, index] {
            const auto generation = fleet.nodes[index].generation;
            runInProcess(fleet, index, generation, [&fleet, index](rights_state &state, time_point now) {
                onMembers(state, collectReachableMembers(fleet, index), now);
            });
        });
    }
}

/** Returns the time after which no right granted under a revision can be in use once a node has stopped using the revision. */
[[nodiscard]] duration revisionGracePeriod(const rights_settings &settings)
{
    return settings.loanTerm + settings.batchTerm + 10 * settings.clockMargin;
}

void extendRevisionUse(virtual_fleet &fleet, std::uint64_t revision)
{
    const auto found = fleet.revisions.find(revision);
    if (found != fleet.revisions.end()) {
        found->second.second = std::max(found->second.second, fleet.now + revisionGracePeriod(fleet.options.settings));
    }
}

[[nodiscard]] bool isRevisionInUse(const virtual_fleet &fleet, std::uint64_t revision, time_point lastUse)
{
    return fleet.now <= lastUse || std::any_of(fleet.nodes.begin(), fleet.nodes.end(), [revision](const virtual_node &node) {
               return node.alive && node.rights->config && node.rights->config->revision == revision;
           });
}

void applyConfiguration(virtual_fleet &fleet, std::size_t index, const std::shared_ptr<const configuration> &config)
{
    auto &node = fleet.nodes[index];
    if (!node.alive) {
        return;
    }
    runInProcess(fleet, index, node.generation, [&fleet, config](rights_state &state, time_point now) {
        if (state.config) {
            extendRevisionUse(fleet, state.config->revision);
        }
        onConfiguration(state, config, now);
        updateLimits(fleet);
    });
}

void startProcess(virtual_fleet &fleet, std::size_t index)
{
    auto &node = fleet.nodes[index];
    fleet.indexByName[node.name] = index;
    node.alive = true;
    node.paused = false;
    node.leaving = false;
    ++node.generation;
    node.deferredActions.clear();
    node.incarnation = fleet.random();
    node.startedAt = fleet.now;
    node.clockRate = 1.0 + fleet.options.drift * (drawFraction(fleet) < fleet.options.fastClocks ? 1.0 : -1.0);
    node.clockStart = time_point{duration{static_cast<duration::rep>(fleet.random() % 1'000'000'000'000ULL)}};
    const rights_identity self{node.name, node.zone, node.address, node.incarnation};
    node.rights = std::make_unique<rights_state>(makeRights(fleet.options.settings, self, localTime(fleet, node)));
    fleet.waiting[index].clear();
    const auto view = fleet.initialView ? fleet.initialView : collectReachableMembers(fleet, index);
    runInProcess(fleet, index, node.generation, [&fleet, view](rights_state &state, time_point now) {
        onMembers(state, view, now);
        onConfiguration(state, fleet.config, now);
    });
    scheduleTick(fleet, index, node.generation);
}

} // namespace

time_point localTime(const virtual_fleet &fleet, const virtual_node &node)
{
    const auto elapsed = static_cast<double>(fleet.now.time_since_epoch().count());
    return node.clockStart + duration{static_cast<duration::rep>(elapsed * node.clockRate)};
}

void updateLimits(virtual_fleet &fleet)
{
    std::map<std::string, std::pair<double, double>> limits;
    for (const auto &[revision, item] : fleet.revisions) {
        if (!isRevisionInUse(fleet, revision, item.second) && revision != fleet.config->revision) {
            continue;
        }
        for (const auto &object : item.first->workspaces) {
            auto &limit = limits[object.name];
            limit = {std::max(limit.first, object.rate), std::max(limit.second, std::floor(object.burst))};
        }
    }
    for (auto &[name, audit] : fleet.audits) {
        const auto limit = limits[name];
        const auto elapsed = toSeconds(fleet.now - audit.updatedAt);
        audit.level = std::min(audit.burst, audit.level + elapsed * audit.rate);
        audit.updatedAt = fleet.now;
        audit.level += std::max(limit.second - audit.burst, 0.0);
        audit.rate = limit.first;
        audit.burst = limit.second;
        audit.level = std::min(audit.level, audit.burst);
    }
}

void schedule(virtual_fleet &fleet, time_point at, std::function<void()> run)
{
    fleet.events.push({at, ++fleet.eventOrder, std::move(run)});
}

void runUntil(virtual_fleet &fleet, time_point until)
{
    while (!fleet.events.empty() && fleet.events.top().at <= until) {
        const auto next = fleet.events.top();
        fleet.events.pop();
        fleet.now = next.at;
        next.run();
    }
    fleet.now = until;
}

configuration makeConfiguration(const std::vector<std::string> &zones, std::vector<workspace> workspaces, std::uint64_t revision)
{
    configuration config;
    config.revision = revision;
    config.workspaces = std::move(workspaces);
    for (const auto &zone : zones) {
        config.availabilityZones.push_back({zone, "region", 1.0 / static_cast<double>(zones.size())});
    }
    return config;
}

void startFleet(virtual_fleet &fleet, const fleet_options &options)
{
    fleet.options = options;
    fleet.random.seed(options.seed);
    fleet.now = time_point{seconds{1}};
    fleet.config = std::make_shared<configuration>(makeConfiguration(options.zones, options.workspaces, 1));
    fleet.revisions[1] = {fleet.config, fleet.now};
    for (const auto &object : options.workspaces) {
        usage_audit audit;
        audit.rate = object.rate;
        audit.burst = std::floor(object.burst);
        audit.level = audit.offeredLevel = audit.burst;
        audit.updatedAt = audit.offeredAt = fleet.now;
        fleet.audits.emplace(object.name, audit);
    }
    for (const auto &zone : options.zones) {
        for (std::size_t number{0}; number < options.nodesPerZone; ++number) {
            virtual_node node;
            node.name = zone + '-' + std::to_string(number);
            node.zone = zone;
            node.address = node.name + ".address";
            fleet.nodes.push_back(std::move(node));
        }
    }
    fleet.waiting.resize(fleet.nodes.size());
    for (auto &node : fleet.nodes) {
        node.alive = true;
    }
    fleet.initialView = collectReachableMembers(fleet, 0);
    for (std::size_t index{0}; index < fleet.nodes.size(); ++index) {
        startProcess(fleet, index);
    }
    fleet.initialView.reset();
}

void killNode(virtual_fleet &fleet, std::size_t index)
{
    auto &node = fleet.nodes[index];
    if (!node.alive) {
        return;
    }
    if (node.rights->config) {
        extendRevisionUse(fleet, node.rights->config->revision);
    }
    node.alive = false;
    fleet.waiting[index].clear();
    scheduleMembershipUpdates(fleet);
}

void restartNode(virtual_fleet &fleet, std::size_t index)
{
    killNode(fleet, index);
    startProcess(fleet, index);
    scheduleMembershipUpdates(fleet);
}

void replaceNode(virtual_fleet &fleet, std::size_t index)
{
    killNode(fleet, index);
    fleet.indexByName.erase(fleet.nodes[index].name);
    fleet.nodes[index].name += '\'';
    fleet.nodes[index].address += '\'';
    startProcess(fleet, index);
    scheduleMembershipUpdates(fleet);
}

void pauseNode(virtual_fleet &fleet, std::size_t index, duration span)
{
    auto &node = fleet.nodes[index];
    if (!node.alive || node.paused) {
        return;
    }
    node.paused = true;
    schedule(fleet, fleet.now + span, [&fleet, index, generation = node.generation] {
        auto &resumed = fleet.nodes[index];
        if (!resumed.alive || resumed.generation != generation) {
            return;
        }
        resumed.paused = false;
        const auto arrived = std::exchange(resumed.deferredActions, {});
        for (const auto &run : arrived) {
            run();
        }
    });
}

void leaveNode(virtual_fleet &fleet, std::size_t index)
{
    auto &node = fleet.nodes[index];
    if (!node.alive || node.paused) {
        return;
    }
    node.leaving = true;
    runInProcess(fleet, index, node.generation, [](rights_state &state, time_point now) {
        beginRelease(state, now);
    });
    scheduleMembershipUpdates(fleet);
}

void publish(virtual_fleet &fleet, configuration next, duration spread)
{
    next.revision = fleet.config->revision + 1;
    fleet.config = std::make_shared<configuration>(std::move(next));
    fleet.revisions[fleet.config->revision] = {fleet.config, fleet.now + revisionGracePeriod(fleet.options.settings)};
    for (const auto &object : fleet.config->workspaces) {
        const auto [audit, added] = fleet.audits.try_emplace(object.name);
        if (added) {
            audit->second.updatedAt = fleet.now;
        }
    }
    updateLimits(fleet);
    schedule(fleet, fleet.now + spread + 2 * revisionGracePeriod(fleet.options.settings), [&fleet] {
        updateLimits(fleet);
    });
    for (std::size_t index{0}; index < fleet.nodes.size(); ++index) {
        schedule(fleet, fleet.now + drawDuration(fleet, spread), [&fleet, index, config = fleet.config] {
            applyConfiguration(fleet, index, config);
        });
    }
}

void updateMembers(virtual_fleet &fleet)
{
    scheduleMembershipUpdates(fleet);
}

double lowestAuditLevel(const virtual_fleet &fleet)
{
    double lowest{0.0};
    for (const auto &[name, audit] : fleet.audits) {
        lowest = std::min(lowest, audit.lowest);
    }
    return lowest;
}

std::vector<std::size_t> runningNodes(const virtual_fleet &fleet)
{
    std::vector<std::size_t> running;
    for (std::size_t index{0}; index < fleet.nodes.size(); ++index) {
        if (fleet.nodes[index].alive && !fleet.nodes[index].paused && !fleet.nodes[index].leaving) {
            running.push_back(index);
        }
    }
    return running;
}

} // namespace ragwortpin::bench
