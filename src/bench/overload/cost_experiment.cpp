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
constexpr std::size_t TodayTargets{40};
constexpr std::size_t DesignTargets{1400};
constexpr std::uint32_t Slots{35};

/** Returns the least mean time of one call over some repeats, in nanoseconds. */
template<typename Action>
[[nodiscard]] double nanosecondsOf(Action action)
{
    double least{1e18};
    for (int repeat{0}; repeat < Repeats; ++repeat) {
        const auto begin = std::chrono::steady_clock::now();
        for (int round{0}; round < Rounds; ++round) {
            action(round);
        }
        const std::chrono::duration<double, std::nano> span{std::chrono::steady_clock::now() - begin};
        least = std::min(least, span.count() / Rounds);
    }
    return least;
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

[[nodiscard]] double costOfRouting(std::size_t targets, std::uint64_t seed)
{
    routing_state state{makeRouting(targets)};
    std::mt19937_64 random{seed};
    return nanosecondsOf([&](int round) {
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

/** Offers and completes so that the given number of requests waits all the time. */
[[nodiscard]] double costOfAdmission(std::size_t targets, bool saturated)
{
    std::vector<admission_state> states(targets, makeAdmission(admission_options{}, Slots, 300, false, time_point{}));
    std::vector<std::vector<request_id>> running(targets);
    return nanosecondsOf([&](int round) {
        const time_point now{microseconds{50} * round};
        const std::size_t target{static_cast<std::size_t>(round) % targets};
        auto &held = running[target];
        const bool full{held.size() >= (saturated ? Slots : Slots / 2)};
        if (full) {
            const auto changes = complete(states[target], completion{held.back(), {}, false, false}, now);
            held.pop_back();
            held.insert(held.end(), changes.started.begin(), changes.started.end());
        }
        const admission_request request{makeRequest(round)};
        if (offer(states[target], request, now).verdict == admission_verdict::Started) {
            held.push_back(request.id);
        }
    });
}

[[nodiscard]] double costOfFirstHop(std::size_t routes)
{
    shed_level_cache memory;
    std::vector<std::string> names;
    for (std::size_t index{0}; index < routes; ++index) {
        names.push_back("route-" + std::to_string(index));
    }
    return nanosecondsOf([&](int round) {
        const time_point now{microseconds{50} * round};
        const std::string &name{names[static_cast<std::size_t>(round) % routes]};
        const auto decision = admitAtFirstHop(memory, name, "workspace-1", 2, 0.5, now);
        observeShedLevel(memory, name, "workspace-1", shed_level{2, decision.admitted ? 0.4 : 0.6}, now);
    });
}

void addCostRow(table &rows, const std::string &name, double today, double design)
{
    const double slope{(design - today) / static_cast<double>(DesignTargets - TodayTargets)};
    rows.rows.push_back({name, formatNumber(today, 0), formatNumber(design, 0), formatNumber(slope, 3)});
}

} // namespace

report runCost(const experiment_input &input)
{
    report found;
    table rows{"Wall-clock cost of one decision with its observation, in ns",
               {"decision", "40 targets", "1,400 targets", "slope, ns a target"},
               {}};
    addCostRow(
        rows, "routing, all targets in one service", costOfRouting(TodayTargets, input.seed), costOfRouting(DesignTargets, input.seed));
    addCostRow(rows, "admission, slots free", costOfAdmission(TodayTargets, false), costOfAdmission(DesignTargets, false));
    addCostRow(rows, "admission, queue full", costOfAdmission(TodayTargets, true), costOfAdmission(DesignTargets, true));
    addCostRow(rows, "first hop, as many routes as targets", costOfFirstHop(TodayTargets), costOfFirstHop(DesignTargets));
    found.tables.push_back(rows);
    return found;
}

} // namespace ragwortpin::bench
