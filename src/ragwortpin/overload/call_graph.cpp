#include "ragwortpin/overload/call_graph.h"

#include "ragwortpin/rates/shared_rates.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace {

/** Time after which what was seen counts for 1/e. */
constexpr seconds Memory{6};

/** Calls and seconds that a route starts with, so that the first calls are shared out evenly and soon by what was seen. */
constexpr double PriorCalls{0.05};
constexpr double PriorExposure{0.1};

/** Fewest runs that a profile rests on, and fewest calls in a run that are worth telling. */
constexpr double LeastRuns{1.0};
constexpr double LeastCalls{0.03};

void advance(call_graph &graph, time_point now)
{
    const double elapsed{toSeconds(now - graph.updatedAt)};
    if (graph.updatedAt != time_point{} && elapsed > 0.0) {
        for (auto &[id, route] : graph.routes) {
            route.exposure += route.inFlight * elapsed;
        }
    }
    graph.updatedAt = now;
}

/** Calls of a route that a run makes in a second in flight. */
double callRate(const observed_route &route, std::uint32_t calledRoute)
{
    const auto found = route.calls.find(calledRoute);
    const double calls{found == route.calls.end() ? 0.0 : found->second};
    return (calls + PriorCalls) / (route.exposure + PriorExposure);
}

} // namespace

std::uint32_t routeId(std::string_view name) noexcept
{
    return workspaceId(name);
}

void observeStart(call_graph &graph, std::uint32_t route, time_point now)
{
    advance(graph, now);
    ++graph.routes[route].inFlight;
}

void observeEnd(call_graph &graph, std::uint32_t route, duration slotTime, time_point now)
{
    advance(graph, now);
    auto &observed = graph.routes[route];
    observed.inFlight -= observed.inFlight > 0 ? 1 : 0;
    observed.runs += 1.0;
    observed.slotTime += toSeconds(slotTime);
}

void observeCall(call_graph &graph, std::uint32_t calledRoute, std::span<const std::uint32_t> parents, time_point now)
{
    advance(graph, now);
    const auto weightOf = [&](std::uint32_t id, const observed_route &route) {
        const auto count = parents.empty() ? route.inFlight : std::count(parents.begin(), parents.end(), id);
        return static_cast<double>(count) * callRate(route, calledRoute);
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
    const double kept{std::exp(-toSeconds(elapsed) / toSeconds(Memory))};
    for (auto &[id, route] : graph.routes) {
        route.exposure *= kept;
        route.runs *= kept;
        route.slotTime *= kept;
        for (auto &[called, calls] : route.calls) {
            calls *= kept;
        }
    }
}

std::vector<route_profile> profilesOf(const call_graph &graph)
{
    std::vector<route_profile> profiles;
    for (const auto &[id, route] : graph.routes) {
        if (route.runs < LeastRuns) {
            continue;
        }
        route_profile profile{.route = id, .runs = route.runs, .slotTime = route.slotTime / route.runs, .calls = {}};
        for (const auto &[called, calls] : route.calls) {
            const double perRun{calls / std::max(PriorExposure, route.exposure) * profile.slotTime};
            if (perRun >= LeastCalls) {
                profile.calls.push_back({called, perRun});
            }
        }
        profiles.push_back(std::move(profile));
    }
    return profiles;
}

} // namespace ragwortpin
