#ifndef RAGWORTPIN_OVERLOAD_CALL_GRAPH_H
#define RAGWORTPIN_OVERLOAD_CALL_GRAPH_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/overload/fwd.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortpin {

/** Mean number of calls to a route that one run of another route makes. */
struct calls_per_run
{
    /** Identifies the called route; see routeId(). */
    std::uint32_t route{0};
    double calls{0.0};

    bool operator==(const calls_per_run &) const = default;
};

/** Estimated cost of the runs of one route at one target. */
struct route_profile
{
    std::uint32_t route{0};
    /** Number of runs that the estimate is based on, decayed with their age. */
    double runs{0.0};
    /** Mean time that a run occupies a slot, in seconds, including the time in which it waits for callees. */
    double slotTime{0.0};
    std::vector<calls_per_run> calls;

    bool operator==(const route_profile &) const = default;
};

/** Runs of one route at this node's target. All sums decay with time. */
struct observed_route
{
    unsigned inFlight{0};
    /** Sum of the times in flight over all runs, in seconds. */
    double inFlightTime{0.0};
    /** Number of completed runs. */
    double runs{0.0};
    /** Sum of the slot times of the completed runs, in seconds. */
    double totalSlotTime{0.0};
    /** Calls attributed to runs of this route, by called route. */
    std::unordered_map<std::uint32_t, double> calls;

    bool operator==(const observed_route &) const = default;
};

/**
 * Estimates which calls the runs at a target make, although a call does not identify the run that makes it. A call can only come
 * from a run in flight. It is divided between the routes in flight in proportion to the calls per second that their runs made so
 * far. With each call, the estimate moves towards the maximum-likelihood estimate for the observed calls. Must only be modified
 * through the functions below.
 */
struct call_graph
{
    std::unordered_map<std::uint32_t, observed_route> routes;
    time_point updatedAt{};

    bool operator==(const call_graph &) const = default;
};

/** Returns the id of a route in digests, a hash of its name. */
[[nodiscard]] std::uint32_t routeId(std::string_view name) noexcept;

/** Records that a run of a route starts at the target. */
void observeStart(call_graph &graph, std::uint32_t route, time_point now);

/** Records that a run of a route ended after it occupied a slot for the given time. */
void observeEnd(call_graph &graph, std::uint32_t route, duration slotTime, time_point now);

/**
 * Records that the target calls a route. The parents are the routes of the runs in flight that may have made the call, one entry per
 * run. If there are none, any run in flight may have made it.
 */
void observeCall(call_graph &graph, std::uint32_t calledRoute, std::span<const std::uint32_t> parents, time_point now);

/** Reduces the weight of earlier observations according to the time elapsed since the last call. Must be called a few times per second. */
void decay(call_graph &graph, duration elapsed);

/** Returns the profiles of all routes with enough observed runs. */
[[nodiscard]] std::vector<route_profile> profilesOf(const call_graph &graph);

} // namespace ragwortpin

#endif
