#ifndef RAGWORTPIN_BENCH_OVERLOAD_FLEET_H
#define RAGWORTPIN_BENCH_OVERLOAD_FLEET_H

#include "bench/overload/baseline.h"
#include "bench/overload/scenario.h"
#include "ragwortpin/admission/admission.h"
#include "ragwortpin/admission/first_hop.h"
#include "ragwortpin/retries/retries.h"
#include "ragwortpin/routing/routing.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace ragwortpin::bench {

/** A target together with its node. */
struct fleet_node
{
    std::string name;
    std::size_t service{0};
    unsigned availabilityZone{0};
    bool alive{true};
    bool draining{false};
    bool hanging{false};
    bool reportsNoLoad{false};
    /** Time of the cold start; not used while coldFactor is 1. */
    time_point coldStartedAt{};
    /** Factor on the service time at the cold start; 1 if the target has had none. */
    double coldFactor{1.0};
    /** Factor on the service time while the target reports a false load. */
    double slowFactor{1.0};
    admission_state admission;
    baseline_limiter limiter;
    /** Routing state per service that the node calls. */
    std::vector<routing_state> routing;
    /** Retry budget per service that the node calls. */
    std::vector<retry_budget> retryBudgets;
    shed_level_cache shedMemory;
};

/** All nodes of a deployment. */
struct fleet
{
    deployment_spec deployment;
    control_policy policy{control_policy::Full};
    std::vector<fleet_node> nodes;
    /** Factor on the service time, per service. */
    std::vector<double> serviceTimeFactors;
    /** Fraction of requests whose connection fails, per service. */
    std::vector<double> connectionFailureRatios;
};

/** Creates the nodes of a deployment, spread over its availability zones. */
[[nodiscard]] fleet makeFleet(const deployment_spec &deployment, control_policy policy, time_point now);

/** Updates the routing state of every node with the current instances. */
void updateMembership(fleet &state, time_point now);

/** Returns the index of the node of the named instance, or the number of nodes if there is none. */
[[nodiscard]] std::size_t findNode(const fleet &state, const std::string &name);

/**
 * Returns the index of the node that a call to a service is sent to, and appends the index of its instance in the routing state to
 * `tried`. Returns no value if no instance is left. Baseline
 * policies choose at random among all instances, including those already tried.
 */
[[nodiscard]] std::optional<std::size_t>
chooseNode(fleet &state, fleet_node &caller, std::size_t service, std::vector<std::size_t> &tried, time_point now, std::mt19937_64 &random);

/** Draws a random service time of a target, without the time spent in downstream calls. */
[[nodiscard]] duration drawServiceTime(const fleet &state, const fleet_node &node, time_point now, std::mt19937_64 &random);

/** Returns the one-way network delay between two nodes. */
[[nodiscard]] duration delayBetween(const fleet &state, const fleet_node &from, const fleet_node &to) noexcept;

/** Injects a fault. */
void beginFault(fleet &state, const fault_spec &fault, time_point now);

/** Removes the effects of a fault and updates the membership of all nodes. */
void endFault(fleet &state, const fault_spec &fault, time_point now);

} // namespace ragwortpin::bench

#endif
