#include "ragwortpin/callers/split.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace ragwortpin {

namespace internal {

namespace {

[[nodiscard]] double totalWeight(const std::vector<weighted_service> &parts)
{
    return std::accumulate(parts.begin(), parts.end(), 0.0, [](double sum, const weighted_service &part) {
        return sum + part.weight;
    });
}

[[nodiscard]] std::size_t selectNextPart(route_split_state &routeState, double total)
{
    for (std::size_t index{0}; index < routeState.parts.size(); ++index) {
        routeState.currentWeights[index] += routeState.parts[index].weight / total;
    }
    const auto chosen = std::max_element(routeState.currentWeights.begin(), routeState.currentWeights.end());
    *chosen -= 1.0;
    return static_cast<std::size_t>(chosen - routeState.currentWeights.begin());
}

/** Resets a split to a random position in its cycle. */
void resetSplit(route_split_state &routeState, const std::vector<weighted_service> &parts, double random)
{
    constexpr double CycleRequests{64.0};
    routeState.parts = parts;
    routeState.currentWeights.assign(parts.size(), 0.0);
    const double total{totalWeight(parts)};
    for (double skipped{0.0}; skipped < random * CycleRequests; skipped += 1.0) {
        static_cast<void>(selectNextPart(routeState, total));
    }
}

} // namespace

} // namespace internal

const std::string &chooseService(split_state &state, const route &definition, double random)
{
    const double total{internal::totalWeight(definition.split)};
    if (definition.split.empty() || total <= 0.0) {
        return definition.service;
    }
    auto &routeState = state.routes[definition.name];
    if (routeState.parts != definition.split) {
        internal::resetSplit(routeState, definition.split, random);
    }
    return definition.split[internal::selectNextPart(routeState, total)].service;
}

} // namespace ragwortpin
