#include "bench/overload/fleet.h"

#include <algorithm>

namespace ragwortpin::bench {

namespace {

/** Time over which a cold target becomes as fast as a warm one. */
constexpr double WarmingSeconds{5.0};

/** Shape of the distribution of service times; its coefficient of variation is 0.5. */
constexpr double ServiceTimeShape{4.0};

[[nodiscard]] fleet_node makeNode(const fleet &state, std::size_t service, unsigned instance, time_point now)
{
    const service_spec &spec{state.place.services[service]};
    fleet_node node;
    node.name = spec.name + "-" + std::to_string(instance);
    node.service = service;
    node.availabilityZone = instance % state.place.availabilityZones;
    node.admission = makeAdmission(admission_options{}, spec.slots, spec.connections, false, now);
    node.gate = baseline_gate{state.policy, spec.slots, spec.connections, {}, {}, {}};
    node.routing.resize(state.place.services.size());
    node.budgets.assign(state.place.services.size(), makeBudget(0.1));
    return node;
}

[[nodiscard]] std::vector<instance_summary> summariesFor(const fleet &state, const fleet_node &viewer, std::size_t service)
{
    std::vector<instance_summary> summaries;
    for (const auto &node : state.nodes) {
        if (node.service == service && node.alive) {
            const bool own{node.availabilityZone == viewer.availabilityZone};
            summaries.push_back(instance_summary{node.name, own, node.draining, state.place.services[service].slots});
        }
    }
    return summaries;
}

[[nodiscard]] fleet_node &firstInstance(fleet &state, std::size_t service)
{
    return *std::find_if(state.nodes.begin(), state.nodes.end(), [&](const auto &node) {
        return node.service == service;
    });
}

void replaceByCold(fleet &state, fleet_node &node, double factor, time_point now)
{
    const service_spec &spec{state.place.services[node.service]};
    node.name += "-new";
    node.coldAt = now;
    node.coldFactor = factor;
    node.admission = makeAdmission(admission_options{}, spec.slots, spec.connections, true, now);
    announceMembership(state, now);
}

void removeZone(fleet &state)
{
    for (auto &node : state.nodes) {
        node.alive = node.alive && node.availabilityZone != 0;
    }
}

} // namespace

fleet makeFleet(const deployment &place, control_policy policy, time_point now)
{
    fleet state;
    state.place = place;
    state.policy = policy;
    state.slowness.assign(place.services.size(), 1.0);
    state.broken.assign(place.services.size(), 0.0);
    for (std::size_t service{0}; service < place.services.size(); ++service) {
        for (unsigned instance{0}; instance < place.services[service].instances; ++instance) {
            state.nodes.push_back(makeNode(state, service, instance, now));
        }
    }
    announceMembership(state, now);
    return state;
}

void announceMembership(fleet &state, time_point now)
{
    for (auto &viewer : state.nodes) {
        for (std::size_t service{0}; service < state.place.services.size(); ++service) {
            updateInstances(viewer.routing[service], summariesFor(state, viewer, service), now);
        }
    }
}

std::size_t nodeNamed(const fleet &state, const std::string &name)
{
    const auto found = std::find_if(state.nodes.begin(), state.nodes.end(), [&](const auto &node) {
        return node.name == name;
    });
    return static_cast<std::size_t>(found - state.nodes.begin());
}

std::optional<std::size_t>
chooseNode(fleet &state, fleet_node &caller, std::size_t service, std::vector<std::size_t> &tried, time_point now, std::mt19937_64 &random)
{
    const routing_state &routing{caller.routing[service]};
    std::optional<std::size_t> index;
    if (state.policy == control_policy::Full) {
        index = chooseInstance(routing, tried, now, random);
    } else if (!routing.instances.empty()) {
        index = random() % routing.instances.size();
    }
    if (!index) {
        return std::nullopt;
    }
    tried.push_back(*index);
    return nodeNamed(state, routing.instances[*index].summary.name);
}

duration drawServiceTime(const fleet &state, const fleet_node &node, time_point now, std::mt19937_64 &random)
{
    const double mean{toSeconds(state.place.services[node.service].serviceTime)};
    const double cold{std::clamp(1.0 - toSeconds(now - node.coldAt) / WarmingSeconds, 0.0, 1.0)};
    const double factor{state.slowness[node.service] * node.slowFactor * (1.0 + (node.coldFactor - 1.0) * cold)};
    std::gamma_distribution<double> shape{ServiceTimeShape, 1.0 / ServiceTimeShape};
    return fromSeconds(mean * factor * shape(random));
}

duration delayBetween(const fleet &state, const fleet_node &from, const fleet_node &to) noexcept
{
    return from.availabilityZone == to.availabilityZone ? state.place.withinAvailabilityZone : state.place.betweenAvailabilityZones;
}

void beginFault(fleet &state, const fault &cause, time_point now)
{
    fleet_node &node{firstInstance(state, cause.service)};
    switch (cause.kind) {
    case fault_kind::Slow:
        state.slowness[cause.service] = cause.factor;
        break;
    case fault_kind::Cold:
        replaceByCold(state, node, cause.factor, now);
        break;
    case fault_kind::LyingReport:
        node.lying = true;
        node.slowFactor = cause.factor;
        break;
    case fault_kind::Hang:
        node.hanging = true;
        break;
    case fault_kind::Leave:
        node.draining = true;
        break;
    case fault_kind::ZoneGone:
        removeZone(state);
        break;
    case fault_kind::Broken:
        state.broken[cause.service] = cause.factor;
        break;
    }
}

void endFault(fleet &state, const fault &cause, time_point now)
{
    fleet_node &node{firstInstance(state, cause.service)};
    state.slowness[cause.service] = 1.0;
    state.broken[cause.service] = 0.0;
    node.lying = false;
    node.hanging = false;
    node.slowFactor = 1.0;
    announceMembership(state, now);
}

} // namespace ragwortpin::bench
