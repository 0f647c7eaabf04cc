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

/** Time constant of the smoothing of what comes. */
constexpr duration ComingMemory{milliseconds{250}};

/** Weight of one request in the mean work. */
constexpr double MeanWorkGain{0.05};

/** Part of its relative error that the correction takes up in a second, and that when much capacity is free. */
constexpr double CorrectionGain{1.0};
constexpr double CatchUpGain{4.0};

/** Part of the capacity that must be free to catch up. */
constexpr double CatchUpFree{0.1};

/** Largest relative error that counts. */
constexpr double LargestError{2.0};

/** Bounds of the correction. */
constexpr double LeastCorrection{0.5};
constexpr double MostCorrection{16.0};

/** Standard deviations by which a demand must exceed the capacity before a rank is shed. */
constexpr double SheddingDeviations{2.0};

[[nodiscard]] auto findDemand(std::vector<workspace_demand> &demands, std::string_view workspace, unsigned rank)
{
    return std::lower_bound(demands.begin(), demands.end(), std::tuple{rank, workspace}, [](const auto &demand, const auto &key) {
        return std::tuple{demand.rank, std::string_view{demand.workspace}} < key;
    });
}

[[nodiscard]] double gainOver(double elapsedSeconds, duration memory) noexcept
{
    return 1.0 - std::exp(-elapsedSeconds / toSeconds(memory));
}

void smoothRates(demand_estimate &state, double elapsedSeconds)
{
    const double demandGain{gainOver(elapsedSeconds, DemandMemory)};
    const double comingGain{gainOver(elapsedSeconds, ComingMemory)};
    for (auto &demand : state.demands) {
        demand.rate += demandGain * (demand.arriving / elapsedSeconds - demand.rate);
        demand.comingRate += comingGain * (demand.coming / elapsedSeconds - demand.comingRate);
        demand.arriving = 0.0;
        demand.coming = 0.0;
    }
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

[[nodiscard]] double rateOf(std::span<const workspace_demand> demands) noexcept
{
    double rate{0.0};
    for (const auto &demand : demands) {
        rate += demand.rate;
    }
    return rate;
}

void takeWhole(std::span<workspace_demand> demands) noexcept
{
    for (auto &demand : demands) {
        demand.probability = 1.0;
    }
}

/** Shares the capacity out by weight. A correction below 1 is borne by the workspaces over their share alone. */
void shareRank(std::span<workspace_demand> demands, double capacity, double correction)
{
    const double raised{capacity * std::max(1.0, correction)};
    if (rateOf(demands) <= raised) {
        takeWhole(demands);
        return;
    }
    const double fair{fairRate(demands, raised)};
    for (auto &demand : demands) {
        const double share{fair * demand.weight};
        demand.probability = demand.rate <= share ? 1.0 : std::min(1.0, correction) * share / demand.rate;
    }
}

/** Returns the demand of a rank that is not distinguished from the capacity, for the noise of the estimate. */
[[nodiscard]] double toleratedRate(const demand_estimate &state, double capacity) noexcept
{
    if (capacity <= 0.0) {
        return 0.0;
    }
    const double deviation{std::sqrt(state.meanWork / (2.0 * toSeconds(DemandMemory) * capacity))};
    return capacity * (1.0 + SheddingDeviations * deviation);
}

/** Moves the correction so that the marginal rank takes up what the capacity leaves free. */
void correctMarginal(demand_estimate &state, double capacity, double elapsedSeconds) noexcept
{
    double all{0.0};
    double marginal{0.0};
    for (const auto &demand : state.demands) {
        all += demand.comingRate;
        marginal += demand.rank == state.marginalRank ? demand.comingRate : 0.0;
    }
    const double freePart{(capacity - all) / capacity};
    const double error{std::clamp((capacity - all) / std::max(marginal, ForgottenRate), -1.0, LargestError)};
    const double gain{freePart > CatchUpFree ? CatchUpGain : CorrectionGain};
    const double factor{1.0 + gain * std::min(0.1, elapsedSeconds) * error};
    state.correction = std::clamp(state.correction * factor, LeastCorrection, MostCorrection);
}

void enterRank(demand_estimate &state, unsigned rank) noexcept
{
    if (state.marginalRank != rank) {
        const bool lessImportant{rank > state.marginalRank && rank != NoShedRank};
        state.correction = lessImportant ? std::max(1.0, state.correction) : 1.0;
        state.marginalRank = rank;
    }
}

/** Returns the end of the demands of the rank that begins at the given position. */
[[nodiscard]] std::size_t endOfRank(const std::vector<workspace_demand> &demands, std::size_t first) noexcept
{
    std::size_t last{first};
    while (last < demands.size() && demands[last].rank == demands[first].rank) {
        ++last;
    }
    return last;
}

/** Takes the more important ranks whole, one rank in part and nothing of the others. */
void shareCapacity(demand_estimate &state, double capacity)
{
    double remaining{capacity};
    unsigned marginal{NoShedRank};
    for (std::size_t first{0}; first < state.demands.size();) {
        const std::size_t last{endOfRank(state.demands, first)};
        const std::span<workspace_demand> demands{std::span{state.demands}.subspan(first, last - first)};
        const double rate{rateOf(demands)};
        const bool fits{marginal == NoShedRank && rate <= toleratedRate(state, remaining)};
        if (fits) {
            takeWhole(demands);
        } else if (marginal == NoShedRank) {
            marginal = demands.front().rank;
            enterRank(state, marginal);
            shareRank(demands, remaining, state.correction);
        } else {
            shareRank(demands, 0.0, 1.0);
        }
        remaining = std::max(0.0, remaining - rate);
        first = last;
    }
    enterRank(state, marginal);
}

} // namespace

} // namespace internal

void observeDemand(
    demand_estimate &state, std::string_view workspace, unsigned rank, double weight, double workSeconds, double admitProbability)
{
    auto position = internal::findDemand(state.demands, workspace, rank);
    if (position == state.demands.end() || position->rank != rank || position->workspace != workspace) {
        position = state.demands.insert(position, workspace_demand{std::string{workspace}, rank, weight, 0.0, 0.0, 0.0, 0.0, 1.0});
    }
    const double thinned{std::max({admitProbability, position->probability, internal::LeastProbability})};
    position->weight = weight;
    position->arriving += workSeconds / thinned;
    position->coming += workSeconds;
    state.meanWork += internal::MeanWorkGain * (workSeconds - state.meanWork);
}

void updateDemand(demand_estimate &state, double capacity, time_point now)
{
    const duration elapsed{now - state.intervalStart};
    if (elapsed < internal::DemandInterval) {
        return;
    }
    state.intervalStart = now;
    internal::smoothRates(state, toSeconds(elapsed));
    if (capacity > 0.0 && state.marginalRank != NoShedRank) {
        internal::correctMarginal(state, capacity, toSeconds(elapsed));
    }
    internal::shareCapacity(state, capacity);
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
