#include "ragwortpin/overload/call_graph.h"

#include "ragwortpin/rates/shared_rates.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace {

/** Time after which the weight of an observation has decayed to 1/e. */
constexpr seconds DecayTimeConstant{6};

/**
 * Calls and seconds in flight that each route starts with. They are small, so that the first calls are divided evenly and later ones soon
 * by what was observed.
 */
constexpr double PriorCalls{0.05};
constexpr double PriorInFlightTime{0.1};

/** Number of runs below which a route gets no profile. */
constexpr double MinRuns{1.0};

/** Calls per run below which a called route is omitted from a profile. */
constexpr double MinCallsPerRun{0.03};

void accumulateInFlightTime(call_graph &graph, time_point now)
{
    const double elapsed{toSeconds(now - graph.updatedAt)};
    if (graph.updatedAt != time_point{} && elapsed > 0.0) {
        for (auto &[id, route] : graph.routes) {
            route.inFlightTime += route.inFlight * elapsed;
        }
    }
    graph.updatedAt = now;
}

/** Returns the calls to a route that one run makes per second in flight. */
double callsPerSecond(const observed_route &route, std::uint32_t calledRoute)
{
    const auto found = route.calls.find(calledRoute);
    const double calls{found == route.calls.end() ? 0.0 : found->second};
    return (calls + PriorCalls) / (route.inFlightTime + PriorInFlightTime);
}

} // namespace

std::uint32_t routeId(std::string_view name) noexcept
{
    return workspaceId(name);
}

void observeStart(call_graph &graph, std::uint32_t route, time_point now)
{
    accumulateInFlightTime(graph, now);
    ++graph.routes[route].inFlight;
}

void observeEnd(call_graph &graph, std::uint32_t route, duration slotTime, time_point now)
{
    accumulateInFlightTime(graph, now);
    auto &observed = graph.routes[route];
    observed.inFlight -= observed.inFlight > 0 ? 1 : 0;
    observed.runs += 1.0;
    observed.totalSlotTime += toSeconds(slotTime);
}

void observeCall(call_graph &graph, std::uint32_t calledRoute, std::span<const std::uint32_t> parents, time_point now)
{
    accumulateInFlightTime(graph, now);
    const auto weightOf = [&](std::uint32_t id, const observed_route &route) {
        const auto count = parents.empty() ? route.inFlight : std::count(parents.begin(), parents.end(), id);
        return static_cast<double>(count) * callsPerSecond(route, calledRoute);
    };
    double total{0.0};
    for (const auto &[id, route] : graph.routes) {
        total += weightOf(id, route);
    }
    if (total <= 0.0) {
        return;
    }
    for (auto &[id, route] : graph.routes) {
        const double part{weightOf(id, route) / total};
        if (part > 0.0) {
            route.calls[calledRoute] += part;
        }
    }
}

void decay(call_graph &graph, duration elapsed)
{
    const double decayFactor{std::exp(-toSeconds(elapsed) / toSeconds(DecayTimeConstant))};
    for (auto &[id, route] : graph.routes) {
        route.inFlightTime *= decayFactor;
        route.runs *= decayFactor;
        route.totalSlotTime *= decayFactor;
        for (auto &[called, calls] : route.calls) {
            calls *= decayFactor;
        }
    }
}

std::vector<route_profile> profilesOf(const call_graph &graph)
{
    std::vector<route_profile> profiles;
    for (const auto &[id, route] : graph.routes) {
        if (route.runs < MinRuns) {
            continue;
        }
        route_profile profile{.route = id, .runs = route.runs, .slotTime = route.totalSlotTime / route.runs, .calls = {}};
        for (const auto &[called, calls] : route.calls) {
            const double perRun{calls / std::max(PriorInFlightTime, route.inFlightTime) * profile.slotTime};
            if (perRun >= MinCallsPerRun) {
                profile.calls.push_back({called, perRun});
            }
        }
        profiles.push_back(std::move(profile));
    }
    return profiles;
}

} // namespace ragwortpin
