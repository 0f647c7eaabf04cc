#include "bench/overload/fleet.h"

#include <algorithm>

namespace ragwortpin::bench {

namespace {

/** Time after which a cold target is as fast as a warm one. */
constexpr double WarmUpSeconds{5.0};

/** Shape of the gamma distribution of service times; 4 gives a coefficient of variation of 0.5. */
constexpr double ServiceTimeShape{4.0};

[[nodiscard]] fleet_node makeNode(const fleet &state, std::size_t service, unsigned instance, time_point now)
{
    const service_spec &spec{state.deployment.services[service]};
    fleet_node node;
    node.name = spec.name + "-" + std::to_string(instance);
    node.service = service;
    node.availabilityZone = instance % state.deployment.availabilityZones;
    node.admission = makeAdmission(admission_options{}, spec.slots, spec.connections, false, now);
    node.limiter = baseline_limiter{state.policy, spec.slots, spec.connections, {}, {}, {}};
    node.routing.resize(state.deployment.services.size());
    node.retryBudgets.assign(state.deployment.services.size(), makeBudget(0.1));
    return node;
}

[[nodiscard]] std::vector<instance_summary> summariseInstances(const fleet &state, const fleet_node &observer, std::size_t service)
{
    std::vector<instance_summary> summaries;
    for (const auto &node : state.nodes) {
        if (node.service == service && node.alive) {
            const bool sameZone{node.availabilityZone == observer.availabilityZone};
            summaries.push_back(instance_summary{node.name, sameZone, node.draining, state.deployment.services[service].slots});
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

void replaceByColdInstance(fleet &state, fleet_node &node, double factor, time_point now)
{
    const service_spec &spec{state.deployment.services[node.service]};
    node.name += "-new";
    node.coldStartedAt = now;
    node.coldFactor = factor;
    node.admission = makeAdmission(admission_options{}, spec.slots, spec.connections, true, now);
    updateMembership(state, now);
}

void failFirstZone(fleet &state)
{
    for (auto &node : state.nodes) {
        node.alive = node.alive && node.availabilityZone != 0;
    }
}

} // namespace

fleet makeFleet(const deployment_spec &deployment, control_policy policy, time_point now)
{
    fleet state;
    state.deployment = deployment;
    state.policy = policy;
    state.serviceTimeFactors.assign(deployment.services.size(), 1.0);
    state.connectionFailureRatios.assign(deployment.services.size(), 0.0);
    for (std::size_t service{0}; service < deployment.services.size(); ++service) {
        for (unsigned instance{0}; instance < deployment.services[service].instances; ++instance) {
            state.nodes.push_back(makeNode(state, service, instance, now));
        }
    }
    updateMembership(state, now);
    return state;
}

void updateMembership(fleet &state, time_point now)
{
    for (auto &observer : state.nodes) {
        for (std::size_t service{0}; service < state.deployment.services.size(); ++service) {
            updateInstances(observer.routing[service], summariseInstances(state, observer, service), now);
        }
    }
}

std::size_t findNode(const fleet &state, const std::string &name)
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
    return findNode(state, routing.instances[*index].summary.name);
}

duration drawServiceTime(const fleet &state, const fleet_node &node, time_point now, std::mt19937_64 &random)
{
    const double mean{toSeconds(state.deployment.services[node.service].serviceTime)};
    const double coldRemainder{std::clamp(1.0 - toSeconds(now - node.coldStartedAt) / WarmUpSeconds, 0.0, 1.0)};
    const double factor{state.serviceTimeFactors[node.service] * node.slowFactor * (1.0 + (node.coldFactor - 1.0) * coldRemainder)};
    std::gamma_distribution<double> shape{ServiceTimeShape, 1.0 / ServiceTimeShape};
    return fromSeconds(mean * factor * shape(random));
}

duration delayBetween(const fleet &state, const fleet_node &from, const fleet_node &to) noexcept
{
    return from.availabilityZone == to.availabilityZone ? state.deployment.intraZoneDelay : state.deployment.interZoneDelay;
}

void beginFault(fleet &state, const fault_spec &fault, time_point now)
{
    fleet_node &node{firstInstance(state, fault.service)};
    switch (fault.kind) {
    case fault_kind::Slow:
        state.serviceTimeFactors[fault.service] = fault.factor;
        break;
    case fault_kind::ColdStart:
        replaceByColdInstance(state, node, fault.factor, now);
        break;
    case fault_kind::FalseLoadReport:
        node.reportsNoLoad = true;
        node.slowFactor = fault.factor;
        break;
    case fault_kind::Hang:
        node.hanging = true;
        break;
    case fault_kind::Drain:
        node.draining = true;
        break;
    case fault_kind::ZoneOutage:
        failFirstZone(state);
        break;
    case fault_kind::ConnectionFailure:
        state.connectionFailureRatios[fault.service] = fault.factor;
        break;
    }
}

void endFault(fleet &state, const fault_spec &fault, time_point now)
{
    fleet_node &node{firstInstance(state, fault.service)};
    state.serviceTimeFactors[fault.service] = 1.0;
    state.connectionFailureRatios[fault.service] = 0.0;
    node.reportsNoLoad = false;
    node.hanging = false;
    node.slowFactor = 1.0;
    updateMembership(state, now);
}

} // namespace ragwortpin::bench
