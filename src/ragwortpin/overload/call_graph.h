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

/** Calls of one route that a run of another one makes. */
struct calls_per_run
{
    /** Identifies the called route; see routeId(). */
    std::uint32_t route{0};
    double calls{0.0};

    bool operator==(const calls_per_run &) const = default;
};

/** What runs of one route at one target cost, as learned. */
struct route_profile
{
    std::uint32_t route{0};
    /** Runs that the figures rest on; older ones count for less. */
    double runs{0.0};
    /** Mean time in a slot, in seconds, the waits for callees included. */
    double slotTime{0.0};
    std::vector<calls_per_run> calls;

    bool operator==(const route_profile &) const = default;
};

/** Runs of one route at the own target, with decaying sums. */
struct observed_route
{
    unsigned inFlight{0};
    /** Seconds in flight, over all runs. */
    double exposure{0.0};
    double runs{0.0};
    double slotTime{0.0};
    /** Calls attributed to runs of this route, by called route. */
    std::unordered_map<std::uint32_t, double> calls;

    bool operator==(const observed_route &) const = default;
};

/**
 * Learns which calls the runs at a target make, although calls do not name the run that makes them. A call came from a run that was
 * in flight: it is attributed to the routes in flight by how many calls a second their runs made so far. With each call the
 * figures come closer to the ones that make the observed calls most likely. Changed through the functions below only.
 */
struct call_graph
{
    std::unordered_map<std::uint32_t, observed_route> routes;
    time_point updatedAt{};

    bool operator==(const call_graph &) const = default;
};

/** Identifies a route in digests by a hash of its name. */
[[nodiscard]] std::uint32_t routeId(std::string_view name) noexcept;

/** Notes that a run of a route starts at the target. */
void observeStart(call_graph &graph, std::uint32_t route, time_point now);

/** Notes that a run ended after the given time in its slot. */
void observeEnd(call_graph &graph, std::uint32_t route, duration slotTime, time_point now);

/**
 * Notes that the target calls a route. The parents are the routes of the runs in flight that the call may belong to; none means
 * that it may belong to any.
 */
void observeCall(call_graph &graph, std::uint32_t calledRoute, std::span<const std::uint32_t> parents, time_point now);

/** Lets what was seen long ago count for less. To be called a few times a second. */
void decay(call_graph &graph, duration elapsed);

/** What was learned, by route. */
[[nodiscard]] std::vector<route_profile> profilesOf(const call_graph &graph);

} // namespace ragwortpin

#endif
