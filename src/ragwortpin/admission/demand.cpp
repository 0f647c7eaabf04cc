#include "ragwortpin/admission/demand.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <span>
#include <tuple>

namespace ragwortpin {

namespace internal {

namespace {

/** Minimum interval between two estimates. */
constexpr duration DemandInterval{milliseconds{50}};

/** Time constant of the smoothed rate of offered work. */
constexpr duration OfferedRateTimeConstant{milliseconds{500}};

/** Lower bound of the probability by which the work of a request is divided. */
constexpr double MinProbability{1.0 / 2048.0};

/** Rate, in seconds of service time per second, below which a demand is removed. */
constexpr double NegligibleRate{1e-6};

/** Time constant of the smoothed rate of arriving work. */
constexpr duration ArrivalRateTimeConstant{milliseconds{250}};

/** Smoothing gain of one request in the mean work. */
constexpr double MeanWorkGain{0.05};

/** Gain per second with which the correction factor follows its relative error. */
constexpr double CorrectionGain{1.0};

/** The same gain while more than CatchUpFreeFraction of the capacity is free. */
constexpr double CatchUpGain{4.0};

/** Fraction of the capacity that must be free for CatchUpGain to apply. */
constexpr double CatchUpFreeFraction{0.1};

/** Upper limit of the relative error that the correction responds to. */
constexpr double MaxRelativeError{2.0};

/** Bounds of the correction factor. */
constexpr double MinCorrection{0.5};
constexpr double MaxCorrection{16.0};

/** Number of standard deviations by which the estimated demand must exceed the capacity before a rank is shed. */
constexpr double SheddingDeviations{2.0};

[[nodiscard]] auto findDemand(std::vector<workspace_demand> &demands, std::string_view workspace, unsigned rank)
{
    return std::lower_bound(demands.begin(), demands.end(), std::tuple{rank, workspace}, [](const auto &demand, const auto &key) {
        return std::tuple{demand.rank, std::string_view{demand.workspace}} < key;
    });
}

[[nodiscard]] double smoothingGainOver(double elapsedSeconds, duration timeConstant) noexcept
{
    return 1.0 - std::exp(-elapsedSeconds / toSeconds(timeConstant));
}

void smoothRates(demand_estimate &state, double elapsedSeconds)
{
    const double offeredGain{smoothingGainOver(elapsedSeconds, OfferedRateTimeConstant)};
    const double arrivalGain{smoothingGainOver(elapsedSeconds, ArrivalRateTimeConstant)};
    for (auto &demand : state.demands) {
        demand.offeredRate += offeredGain * (demand.offeredWork / elapsedSeconds - demand.offeredRate);
        demand.arrivalRate += arrivalGain * (demand.arrivedWork / elapsedSeconds - demand.arrivalRate);
        demand.offeredWork = 0.0;
        demand.arrivedWork = 0.0;
    }
    std::erase_if(state.demands, [](const auto &demand) {
        return demand.offeredRate < NegligibleRate;
    });
}

/** Returns the rate per unit of weight at which the demands of one rank, each capped at its weighted rate, add up to the capacity. */
[[nodiscard]] double fairRatePerWeight(std::span<const workspace_demand> demands, double capacity)
{
    std::vector<std::size_t> order(demands.size());
    for (std::size_t i{0}; i < order.size(); ++i) {
        order[i] = i;
    }
    const auto perWeight = [&](std::size_t index) {
        return demands[index].offeredRate / demands[index].weight;
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
        remaining -= demands[index].offeredRate;
        weights -= demands[index].weight;
    }
    return 0.0;
}

[[nodiscard]] double totalOfferedRate(std::span<const workspace_demand> demands) noexcept
{
    double rate{0.0};
    for (const auto &demand : demands) {
        rate += demand.offeredRate;
    }
    return rate;
}

void admitAll(std::span<workspace_demand> demands) noexcept
{
    for (auto &demand : demands) {
        demand.probability = 1.0;
    }
}

/**
 * Distributes the capacity among the workspaces of one rank by weight. A correction factor below 1 only reduces workspaces that
 * exceed their share.
 */
void shareWithinRank(std::span<workspace_demand> demands, double capacity, double correctionFactor)
{
    const double raisedCapacity{capacity * std::max(1.0, correctionFactor)};
    if (totalOfferedRate(demands) <= raisedCapacity) {
        admitAll(demands);
        return;
    }
    const double fair{fairRatePerWeight(demands, raisedCapacity)};
    for (auto &demand : demands) {
        const double share{fair * demand.weight};
        demand.probability = demand.offeredRate <= share ? 1.0 : std::min(1.0, correctionFactor) * share / demand.offeredRate;
    }
}

/** Returns the rate up to which a demand counts as within the capacity, given the noise of the estimate. */
[[nodiscard]] double capacityWithNoiseMargin(const demand_estimate &state, double capacity) noexcept
{
    if (capacity <= 0.0) {
        return 0.0;
    }
    const double deviation{std::sqrt(state.meanWork / (2.0 * toSeconds(OfferedRateTimeConstant) * capacity))};
    return capacity * (1.0 + SheddingDeviations * deviation);
}

/** Adjusts the correction factor so that the marginal rank uses the capacity that is left free. */
void adjustCorrection(demand_estimate &state, double capacity, double elapsedSeconds) noexcept
{
    double totalArrivalRate{0.0};
    double marginal{0.0};
    for (const auto &demand : state.demands) {
        totalArrivalRate += demand.arrivalRate;
        marginal += demand.rank == state.marginalRank ? demand.arrivalRate : 0.0;
    }
    const double freeFraction{(capacity - totalArrivalRate) / capacity};
    const double error{std::clamp((capacity - totalArrivalRate) / std::max(marginal, NegligibleRate), -1.0, MaxRelativeError)};
    const double gain{freeFraction > CatchUpFreeFraction ? CatchUpGain : CorrectionGain};
    const double factor{1.0 + gain * std::min(0.1, elapsedSeconds) * error};
    state.correctionFactor = std::clamp(state.correctionFactor * factor, MinCorrection, MaxCorrection);
}

/** Changes the marginal rank. The correction factor restarts at 1, but keeps a larger value when a less important rank follows. */
void changeMarginalRank(demand_estimate &state, unsigned rank) noexcept
{
    if (state.marginalRank != rank) {
        const bool lessImportant{rank > state.marginalRank && rank != NoShedRank};
        state.correctionFactor = lessImportant ? std::max(1.0, state.correctionFactor) : 1.0;
        state.marginalRank = rank;
    }
}

/** Returns the position past the last demand of the rank that begins at the given position. */
[[nodiscard]] std::size_t endOfRank(const std::vector<workspace_demand> &demands, std::size_t first) noexcept
{
    std::size_t last{first};
    while (last < demands.size() && demands[last].rank == demands[first].rank) {
        ++last;
    }
    return last;
}

/** Admits the most important ranks that fit completely, the next rank in part and nothing of the remaining ones. */
void shareCapacity(demand_estimate &state, double capacity)
{
    double remaining{capacity};
    unsigned marginal{NoShedRank};
    for (std::size_t first{0}; first < state.demands.size();) {
        const std::size_t last{endOfRank(state.demands, first)};
        const std::span<workspace_demand> demands{std::span{state.demands}.subspan(first, last - first)};
        const double rate{totalOfferedRate(demands)};
        const bool fits{marginal == NoShedRank && rate <= capacityWithNoiseMargin(state, remaining)};
        if (fits) {
            admitAll(demands);
        } else if (marginal == NoShedRank) {
            marginal = demands.front().rank;
            changeMarginalRank(state, marginal);
            shareWithinRank(demands, remaining, state.correctionFactor);
        } else {
            shareWithinRank(demands, 0.0, 1.0);
        }
        remaining = std::max(0.0, remaining - rate);
        first = last;
    }
    changeMarginalRank(state, marginal);
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
    const double passedFraction{std::max({admitProbability, position->probability, internal::MinProbability})};
    position->weight = weight;
    position->offeredWork += workSeconds / passedFraction;
    position->arrivedWork += workSeconds;
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
        internal::adjustCorrection(state, capacity, toSeconds(elapsed));
    }
    internal::shareCapacity(state, capacity);
}

shed_level findShedLevel(const demand_estimate &state, std::string_view workspace) noexcept
{
    for (const auto &demand : state.demands) {
        if (demand.workspace == workspace && demand.probability < 1.0) {
            return shed_level{demand.rank, demand.probability};
        }
    }
    return shed_level{};
}

} // namespace ragwortpin
