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

/** A target with the node beside it. */
struct fleet_node
{
    std::string name;
    std::size_t service{0};
    unsigned availabilityZone{0};
    bool alive{true};
    bool draining{false};
    bool hanging{false};
    bool lying{false};
    /** Instant at which the target was cold, and its factor then; 1 when it never was. */
    time_point coldAt{};
    double coldFactor{1.0};
    double slowFactor{1.0};
    admission_state admission;
    baseline_gate gate;
    /** By service. */
    std::vector<routing_state> routing;
    std::vector<retry_budget> budgets;
    shed_level_cache memory;
};

/** All nodes of a deployment. */
struct fleet
{
    deployment place;
    control_policy policy{control_policy::Full};
    std::vector<fleet_node> nodes;
    /** Factor on the service time, by service. */
    std::vector<double> slowness;
    /** Part of requests whose connection breaks, by service. */
    std::vector<double> broken;
};

/** Makes the nodes of a deployment, spread over its availability zones. */
[[nodiscard]] fleet makeFleet(const deployment &place, control_policy policy, time_point now);

/** Tells every node which instances there are. */
void announceMembership(fleet &state, time_point now);

/** Finds the node of an instance by its name. */
[[nodiscard]] std::size_t nodeNamed(const fleet &state, const std::string &name);

/** Chooses the node that a call to a service goes to; the routing index goes to tried. Nothing when none is left. */
[[nodiscard]] std::optional<std::size_t>
chooseNode(fleet &state, fleet_node &caller, std::size_t service, std::vector<std::size_t> &tried, time_point now, std::mt19937_64 &random);

/** Draws the time that a target works on a request itself. */
[[nodiscard]] duration drawServiceTime(const fleet &state, const fleet_node &node, time_point now, std::mt19937_64 &random);

/** One-way delay between two nodes. */
[[nodiscard]] duration delayBetween(const fleet &state, const fleet_node &from, const fleet_node &to) noexcept;

/** Brings a fault about. */
void beginFault(fleet &state, const fault &cause, time_point now);

/** Ends a fault. */
void endFault(fleet &state, const fault &cause, time_point now);

} // namespace ragwortpin::bench

#endif
