#include "ragwortpin/admission/demand.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <span>
#include <tuple>

namespace ragwortpin {

namespace internal {

namespace {

/** Shortest interval between two estimates. */
constexpr duration DemandInterval{milliseconds{50}};

/** Time constant of the smoothing. */
constexpr duration DemandMemory{milliseconds{500}};

/** Least probability that a request's work is scaled up by. */
constexpr double LeastProbability{1.0 / 2048.0};

/** Rate, in seconds of service time a second, below which a demand is forgotten. */
constexpr double ForgottenRate{1e-6};

/** Part of the relative error of the arrivals that the correction takes up in a second. */
constexpr double CorrectionGain{0.25};

/** Bounds of the correction. */
constexpr double LeastCorrection{0.8};
constexpr double MostCorrection{1.05};

[[nodiscard]] auto findDemand(std::vector<workspace_demand> &demands, std::string_view workspace, unsigned rank)
{
    return std::lower_bound(demands.begin(), demands.end(), std::tuple{rank, workspace}, [](const auto &demand, const auto &key) {
        return std::tuple{demand.rank, std::string_view{demand.workspace}} < key;
    });
}

void smoothRates(demand_estimate &state, double elapsedSeconds)
{
    const double gain{1.0 - std::exp(-elapsedSeconds / toSeconds(DemandMemory))};
    for (auto &demand : state.demands) {
        demand.rate += gain * (demand.arriving / elapsedSeconds - demand.rate);
        demand.arriving = 0.0;
    }
    state.arrivalRate += gain * (state.arriving / elapsedSeconds - state.arrivalRate);
    state.arriving = 0.0;
    std::erase_if(state.demands, [](const auto &demand) {
        return demand.rate < ForgottenRate;
    });
}

/** Finds the rate for each unit of weight at which the demands of one rank, each capped by it, sum up to the capacity. */
[[nodiscard]] double fairRate(std::span<const workspace_demand> demands, double capacity)
{
    std::vector<std::size_t> order(demands.size());
    for (std::size_t i{0}; i < order.size(); ++i) {
        order[i] = i;
    }
    const auto perWeight = [&](std::size_t index) {
        return demands[index].rate / demands[index].weight;
    };
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return perWeight(left) < perWeight(right);
    });
    double weights{0.0};
    for (const auto &demand : demands) {
        weights += demand.weight;
    }
    double remaining{capacity};
    for (const std::size_t index : order) {
        const double fair{remaining / weights};
        if (perWeight(index) >= fair) {
            return fair;
        }
        remaining -= demands[index].rate;
        weights -= demands[index].weight;
    }
    return 0.0;
}

void shareRank(std::span<workspace_demand> demands, double capacity)
{
    const double fair{fairRate(demands, capacity)};
    for (auto &demand : demands) {
        demand.probability = std::min(1.0, fair * demand.weight / demand.rate);
    }
}

[[nodiscard]] bool isShedding(const demand_estimate &state) noexcept
{
    return std::any_of(state.demands.begin(), state.demands.end(), [](const auto &demand) {
        return demand.probability < 1.0;
    });
}

void correctCapacity(demand_estimate &state, double capacity, double elapsedSeconds) noexcept
{
    const double error{isShedding(state) ? (capacity - state.arrivalRate) / capacity : 1.0 - state.correction};
    const double corrected{state.correction + CorrectionGain * std::min(1.0, elapsedSeconds) * error};
    state.correction = std::clamp(corrected, LeastCorrection, MostCorrection);
}

void shareCapacity(std::vector<workspace_demand> &demands, double capacity, double correction)
{
    double remaining{capacity};
    for (std::size_t first{0}; first < demands.size();) {
        std::size_t last{first};
        double rate{0.0};
        while (last < demands.size() && demands[last].rank == demands[first].rank) {
            demands[last].probability = 1.0;
            rate += demands[last].rate;
            ++last;
        }
        if (rate > remaining) {
            shareRank(std::span{demands}.subspan(first, last - first), remaining * correction);
        }
        remaining = std::max(0.0, remaining - rate);
        first = last;
    }
}

} // namespace

} // namespace internal

void observeDemand(
    demand_estimate &state, std::string_view workspace, unsigned rank, double weight, double workSeconds, double admitProbability)
{
    auto position = internal::findDemand(state.demands, workspace, rank);
    if (position == state.demands.end() || position->rank != rank || position->workspace != workspace) {
        position = state.demands.insert(position, workspace_demand{std::string{workspace}, rank, weight, 0.0, 0.0, 1.0});
    }
    const double thinned{std::max({admitProbability, position->probability, internal::LeastProbability})};
    position->weight = weight;
    position->arriving += workSeconds / thinned;
    state.arriving += workSeconds;
}

void updateDemand(demand_estimate &state, double capacity, time_point now)
{
    const duration elapsed{now - state.intervalStart};
    if (elapsed < internal::DemandInterval) {
        return;
    }
    state.intervalStart = now;
    internal::smoothRates(state, toSeconds(elapsed));
    if (capacity > 0.0) {
        internal::correctCapacity(state, capacity, toSeconds(elapsed));
    }
    internal::shareCapacity(state.demands, capacity, state.correction);
}

shed_level levelOf(const demand_estimate &state, std::string_view workspace) noexcept
{
    for (const auto &demand : state.demands) {
        if (demand.workspace == workspace && demand.probability < 1.0) {
            return shed_level{demand.rank, demand.probability};
        }
    }
    return shed_level{};
}

} // namespace ragwortpin
