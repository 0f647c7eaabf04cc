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

[[nodiscard]] std::size_t takeNext(split_credit &credit, double total)
{
    for (std::size_t index{0}; index < credit.parts.size(); ++index) {
        credit.owed[index] += credit.parts[index].weight / total;
    }
    const auto chosen = std::max_element(credit.owed.begin(), credit.owed.end());
    *chosen -= 1.0;
    return static_cast<std::size_t>(chosen - credit.owed.begin());
}

/** Starts a split at a random place of its cycle. */
void restart(split_credit &credit, const std::vector<weighted_service> &parts, double random)
{
    constexpr double CycleRequests{64.0};
    credit.parts = parts;
    credit.owed.assign(parts.size(), 0.0);
    const double total{totalWeight(parts)};
    for (double skipped{0.0}; skipped < random * CycleRequests; skipped += 1.0) {
        static_cast<void>(takeNext(credit, total));
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
    auto &credit = state.routes[definition.name];
    if (credit.parts != definition.split) {
        internal::restart(credit, definition.split, random);
    }
    return definition.split[internal::takeNext(credit, total)].service;
}

} // namespace ragwortpin
