#include "bench/overload/experiments.h"
#include "ragwortpin/admission/admission.h"
#include "ragwortpin/admission/first_hop.h"
#include "ragwortpin/routing/routing.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace ragwortpin::bench {

namespace {

constexpr int Rounds{200000};
constexpr int Repeats{5};

/** Number of targets of today's deployments and of the size that ragwortpin is designed for. */
constexpr std::size_t CurrentTargets{40};
constexpr std::size_t DesignTargets{1400};

/** Slots of each target. */
constexpr std::uint32_t Slots{35};

/** Returns the mean time of one call in nanoseconds, as the smallest mean of all repeats. */
template<typename Action>
[[nodiscard]] double measureNanoseconds(Action action)
{
    double smallestMean{1e18};
    for (int repeat{0}; repeat < Repeats; ++repeat) {
        const auto begin = std::chrono::steady_clock::now();
        for (int round{0}; round < Rounds; ++round) {
            action(round);
        }
        const std::chrono::duration<double, std::nano> span{std::chrono::steady_clock::now() - begin};
        smallestMean = std::min(smallestMean, span.count() / Rounds);
    }
    return smallestMean;
}

[[nodiscard]] routing_state makeRouting(std::size_t targets)
{
    std::vector<instance_summary> instances;
    for (std::size_t index{0}; index < targets; ++index) {
        instances.push_back(instance_summary{"instance-" + std::to_string(index), index % 4 == 0, false, Slots});
    }
    routing_state state;
    updateInstances(state, std::move(instances), time_point{});
    return state;
}

[[nodiscard]] double measureRoutingCost(std::size_t targets, std::uint64_t seed)
{
    routing_state state{makeRouting(targets)};
    std::mt19937_64 random{seed};
    return measureNanoseconds([&](int round) {
        const time_point now{microseconds{50} * round};
        const auto index = chooseInstance(state, {}, now, random);
        beginAttempt(state, *index, now);
        const attempt_result result{attempt_kind::Answered, milliseconds{20}, load_report{0.5}};
        observeAttempt(state, *index, result, now);
    });
}

[[nodiscard]] admission_request makeRequest(int round)
{
    admission_request request;
    request.id = static_cast<request_id>(round);
    request.rank = static_cast<unsigned>(round % 4);
    request.workspace = "workspace-" + std::to_string(round % 8);
    request.deadline = time_point{seconds{1000}};
    return request;
}

/**
 * Returns the time of one offer in nanoseconds. A request is completed before the offer if the running requests take up all slots of the
 * target (saturated) or half of them (not saturated).
 */
[[nodiscard]] double measureAdmissionCost(std::size_t targets, bool saturated)
{
    std::vector<admission_state> states(targets, makeAdmission(admission_options{}, Slots, 300, false, time_point{}));
    std::vector<std::vector<request_id>> running(targets);
    return measureNanoseconds([&](int round) {
        const time_point now{microseconds{50} * round};
        const std::size_t target{static_cast<std::size_t>(round) % targets};
        auto &runningIds = running[target];
        const bool full{runningIds.size() >= (saturated ? Slots : Slots / 2)};
        if (full) {
            const auto changes = complete(states[target], completion{runningIds.back(), {}, false, false}, now);
            runningIds.pop_back();
            runningIds.insert(runningIds.end(), changes.started.begin(), changes.started.end());
        }
        const admission_request request{makeRequest(round)};
        if (offer(states[target], request, now).verdict == admission_verdict::Started) {
            runningIds.push_back(request.id);
        }
    });
}

[[nodiscard]] double measureFirstHopCost(std::size_t routes)
{
    shed_level_cache memory;
    std::vector<std::string> names;
    for (std::size_t index{0}; index < routes; ++index) {
        names.push_back("route-" + std::to_string(index));
    }
    return measureNanoseconds([&](int round) {
        const time_point now{microseconds{50} * round};
        const std::string &name{names[static_cast<std::size_t>(round) % routes]};
        const auto decision = admitAtFirstHop(memory, name, "workspace-1", 2, 0.5, now);
        observeShedLevel(memory, name, "workspace-1", shed_level{2, decision.admitted ? 0.4 : 0.6}, now);
    });
}

void addCostRow(table &results, const std::string &name, double currentCost, double designCost)
{
    const double slope{(designCost - currentCost) / static_cast<double>(DesignTargets - CurrentTargets)};
    results.rows.push_back({name, formatNumber(currentCost, 0), formatNumber(designCost, 0), formatNumber(slope, 3)});
}

} // namespace

report runCost(const experiment_input &input)
{
    report output;
    table results{"Wall-clock cost of one decision with its observation, in ns",
                  {"decision", "40 targets", "1,400 targets", "slope, ns a target"},
                  {}};
    addCostRow(results,
               "routing, all targets in one service",
               measureRoutingCost(CurrentTargets, input.seed),
               measureRoutingCost(DesignTargets, input.seed));
    addCostRow(results, "admission, slots free", measureAdmissionCost(CurrentTargets, false), measureAdmissionCost(DesignTargets, false));
    addCostRow(results, "admission, queue full", measureAdmissionCost(CurrentTargets, true), measureAdmissionCost(DesignTargets, true));
    addCostRow(results, "first hop, as many routes as targets", measureFirstHopCost(CurrentTargets), measureFirstHopCost(DesignTargets));
    output.tables.push_back(results);
    return output;
}

} // namespace ragwortpin::bench
