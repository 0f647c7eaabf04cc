#include "bench/overload/experiments.h"
#include "bench/overload/world.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

namespace ragwortpin::bench {

namespace {

constexpr time_point FaultBegin{seconds{6}};
constexpr time_point FaultEnd{seconds{16}};
constexpr duration FaultRunLength{seconds{18}};

/** Attempts per hop under the baseline policies, as a common client library makes them. */
constexpr double BaselineAttempts{3.0};

/** A fault with the settings of its run. */
struct fault_case
{
    const char *name;
    fault_kind kind;
    double factor;
    double load;
};

constexpr fault_case FaultCases[]{
    {"cold start, 4 times slower at first", fault_kind::ColdStart, 4.0, 0.7},
    {"reports no load and is 4 times slower", fault_kind::FalseLoadReport, 4.0, 0.7},
    {"accepts and never answers", fault_kind::Hang, 1.0, 0.7},
    {"leaves", fault_kind::Drain, 1.0, 0.7},
    {"all targets of one zone gone", fault_kind::ZoneOutage, 1.0, 0.6},
};

[[nodiscard]] std::vector<std::size_t> shallowCallChain(const deployment_spec &deployment)
{
    return deployment.services.size() >= 14 ? std::vector<std::size_t>{0, 1, 13} : std::vector<std::size_t>{0, 2, 3};
}

[[nodiscard]] double answeredFraction(const request_counts &counts) noexcept
{
    return counts.arrived == 0 ? 1.0 : static_cast<double>(counts.answered) / static_cast<double>(counts.arrived);
}

void addFaultRow(table &results, const deployment_spec &deployment, const fault_case &faultCase, control_policy policy, std::uint64_t seed)
{
    scenario plan;
    plan.deployment = deployment;
    plan.policy = policy;
    plan.chain = shallowCallChain(deployment);
    plan.workspaces = makeWorkspaces(faultCase.load);
    plan.length = FaultRunLength;
    plan.warmUp = FaultBegin.time_since_epoch();
    plan.seed = seed;
    const double answeredWithoutFault{answeredFraction(run(plan).total)};
    plan.faults = {fault_spec{faultCase.kind, plan.chain.back(), FaultBegin, FaultEnd, faultCase.factor}};
    const run_result result{run(plan)};
    results.rows.push_back({deployment.name,
                            faultCase.name,
                            formatNumber(faultCase.load, 1),
                            toString(policy),
                            formatNumber(100.0 * (answeredWithoutFault - answeredFraction(result.total)), 2),
                            formatNumber(100.0 * answeredFraction(result.byRank[0]), 2),
                            faultCase.kind == fault_kind::Drain ? std::to_string(result.lostToDrain) : "-"});
}

/** A case of the fairness experiment. */
struct fairness_case
{
    const char *name;
    /** Request rate of each workspace that does not flood, as a fraction of the capacity. */
    double regularLoad;
};

constexpr fairness_case FairnessCases[]{{"capacity allows", 0.08}, {"capacity does not allow", 0.2}};

/** Required fraction of the requests of the worst-served workspace that are answered if the capacity allows it. */
constexpr double MinAnsweredFraction{0.99};

/** Required fraction of its weighted share that the worst-served workspace gets if the capacity does not allow it. */
constexpr double MinShareFraction{0.95};

/** Request rate of the flooding workspace relative to the others. */
constexpr double FloodingRateFactor{10.0};
constexpr std::size_t Workspaces{8};

[[nodiscard]] scenario
makeFloodingScenario(const deployment_spec &deployment, double regularLoad, control_policy policy, std::uint64_t seed)
{
    scenario plan;
    plan.deployment = deployment;
    plan.policy = policy;
    plan.chain = shallowCallChain(deployment);
    plan.rankShares = {0.0, 1.0};
    plan.length = seconds{14};
    plan.warmUp = seconds{4};
    plan.seed = seed;
    for (std::size_t index{0}; index < Workspaces; ++index) {
        const double load{index == 0 ? FloodingRateFactor * regularLoad : regularLoad};
        plan.workspaces.push_back(workspace_spec{"workspace-" + std::to_string(index), 1.0, load});
    }
    return plan;
}

void addFairnessRow(
    table &results, const deployment_spec &deployment, const fairness_case &fairnessCase, control_policy policy, std::uint64_t seed)
{
    const scenario plan{makeFloodingScenario(deployment, fairnessCase.regularLoad, policy, seed)};
    const run_result result{run(plan)};
    const double capacity{capacityOf(deployment, plan.chain) * result.measuredSeconds};
    double served{1.0};
    double share{std::numeric_limits<double>::max()};
    for (std::size_t index{1}; index < Workspaces; ++index) {
        served = std::min(served, answeredFraction(result.byWorkspace[index]));
        share = std::min(share, static_cast<double>(result.byWorkspace[index].answered) * Workspaces / capacity);
    }
    const bool capacityAllows{fairnessCase.regularLoad * Workspaces < 1.0};
    const bool met{capacityAllows ? served >= MinAnsweredFraction : share >= MinShareFraction};
    results.rows.push_back({deployment.name,
                            fairnessCase.name,
                            toString(policy),
                            formatNumber(100.0 * served, 2),
                            formatNumber(100.0 * share, 1),
                            formatNumber(100.0 * answeredFraction(result.byWorkspace[0]), 1),
                            policy != control_policy::Full ? "baseline"
                                : met                      ? "met"
                                                           : "missed"});
}

[[nodiscard]] scenario makeFailingHopsScenario(std::size_t depth, control_policy policy, std::uint64_t seed)
{
    scenario plan;
    plan.deployment = deepChain();
    plan.policy = policy;
    for (std::size_t hop{14 - depth}; hop < 14; ++hop) {
        plan.chain.push_back(hop);
        const double failureRatio{hop == 13 ? 1.0 : 0.2};
        plan.faults.push_back(fault_spec{fault_kind::ConnectionFailure, hop, time_point{}, time_point{seconds{60}}, failureRatio});
    }
    plan.workspaces = {workspace_spec{"workspace-0", 1.0, policy == control_policy::Full ? 0.05 : 0.0005}};
    plan.length = seconds{policy == control_policy::Full ? 10 : 4};
    plan.warmUp = duration{0};
    plan.clientTimeout = seconds{2};
    plan.seed = seed;
    return plan;
}

} // namespace

report runFaults(const experiment_input &input)
{
    report output;
    table results{"Answers lost to a fault at the deepest service, against the same run without it",
                  {"deployment", "fault", "load", "policy", "answers lost, points", "rank 0 answered %", "cut in flight"},
                  {}};
    for (const auto &deployment : input.deployments) {
        for (const auto &faultCase : FaultCases) {
            for (const auto policy : {control_policy::None, control_policy::StaticLimit, control_policy::Full}) {
                addFaultRow(results, deployment, faultCase, policy, input.seed);
            }
        }
    }
    output.tables.push_back(results);
    return output;
}

report runFairness(const experiment_input &input)
{
    report output;
    table results{
        "One of eight workspaces of equal weight sends ten times the others' rate",
        {"deployment", "case", "policy", "worst-served answered %", "of its weighted share %", "flooding one answered %", "target"},
        {}};
    for (const auto &deployment : input.deployments) {
        for (const auto &fairnessCase : FairnessCases) {
            for (const auto policy : AllPolicies) {
                addFairnessRow(results, deployment, fairnessCase, policy, input.seed);
            }
        }
    }
    output.tables.push_back(results);
    return output;
}

report runAttempts(const experiment_input &input)
{
    report output;
    table results{"Attempts at the deepest service for one request: it always fails, every other hop fails in one of five calls",
                  {"depth", "policy", "requests", "mean", "most", "bound"},
                  {}};
    for (const std::size_t depth : {std::size_t{3}, std::size_t{6}, std::size_t{8}, std::size_t{14}}) {
        for (const auto policy : {control_policy::None, control_policy::Full}) {
            if (policy == control_policy::None && depth > 8) {
                results.rows.push_back(
                    {std::to_string(depth), toString(policy), "not run", "-", "-", formatNumber(std::pow(BaselineAttempts, depth), 0)});
                continue;
            }
            const run_result result{run(makeFailingHopsScenario(depth, policy, input.seed))};
            const double mean{static_cast<double>(result.deepestAttempts)
                              / static_cast<double>(std::max<std::uint64_t>(1, result.admittedClientAttempts))};
            const bool full{policy == control_policy::Full};
            results.rows.push_back({std::to_string(depth),
                                    toString(policy),
                                    std::to_string(result.admittedClientAttempts),
                                    formatNumber(mean, 2),
                                    std::to_string(result.maxDeepestAttempts),
                                    full ? "4" : formatNumber(std::pow(BaselineAttempts, depth), 0)});
        }
    }
    output.tables.push_back(results);
    return output;
}

} // namespace ragwortpin::bench
