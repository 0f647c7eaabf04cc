#include "bench/overload/experiments.h"
#include "bench/overload/world.h"

#include <algorithm>
#include <string>

namespace ragwortpin::bench {

namespace {

constexpr double Loads[]{1.0, 2.0, 5.0, 10.0};

/** Limits that the goodput experiment checks, as fractions; wasted work is checked at WasteCheckLoad only. */
constexpr double MinGoodput{0.95};
constexpr double MinRankZeroAnswered{0.999};
constexpr double MaxWaste{0.02};
constexpr double WasteCheckLoad{5.0};

/** Times and limits of the metastable failure experiment. */
constexpr time_point SlowdownBegin{seconds{10}};
constexpr time_point SlowdownEnd{seconds{20}};
constexpr duration MetastableRunLength{seconds{40}};
constexpr double MinRecoveredFraction{0.99};
constexpr double MaxRecoverySeconds{2.0};

/** Number of consecutive windows over which the answered fraction is averaged to detect the recovery. */
constexpr std::size_t RecoveryWindows{4};

[[nodiscard]] std::vector<std::vector<std::size_t>> callChains(const deployment_spec &deployment)
{
    std::vector<std::size_t> deep;
    for (std::size_t hop{0}; hop < 14; ++hop) {
        deep.push_back(hop % deployment.services.size());
    }
    if (deployment.services.size() == deep.size()) {
        return {deep};
    }
    return {{0, 2, 3}, deep};
}

[[nodiscard]] scenario
makeLoadScenario(const deployment_spec &deployment, const std::vector<std::size_t> &chain, double load, control_policy policy)
{
    const bool deep{chain.size() > 3};
    scenario plan;
    plan.deployment = deployment;
    plan.chain = chain;
    plan.policy = policy;
    plan.workspaces = makeWorkspaces(load);
    plan.clientTimeout = milliseconds{deep ? 2000 : 1000};
    plan.warmUp = seconds{deep ? 5 : 2};
    plan.length = seconds{deep ? 20 : 12};
    return plan;
}

[[nodiscard]] double ratio(std::uint64_t part, std::uint64_t whole) noexcept
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

[[nodiscard]] std::string verdict(const scenario &plan, double load, double goodput, double rankZero, double waste)
{
    if (plan.policy != control_policy::Full) {
        return "baseline";
    }
    std::string missed;
    missed += goodput < MinGoodput ? "goodput " : "";
    missed += rankZero < MinRankZeroAnswered ? "rank0 " : "";
    missed += load == WasteCheckLoad && waste > MaxWaste ? "waste " : "";
    return missed.empty() ? "met" : "missed: " + missed;
}

void addGoodputRow(table &results, series &line, const scenario &plan, double load)
{
    const run_result result{run(plan)};
    const double capacity{capacityOf(plan.deployment, plan.chain)};
    const double goodput{static_cast<double>(result.total.completed) / result.measuredSeconds / capacity};
    const double rankZero{ratio(result.byRank[0].answered, result.byRank[0].arrived)};
    const double waste{result.wastedWorkSeconds / std::max(1e-9, result.usefulWorkSeconds + result.wastedWorkSeconds)};
    line.points.emplace_back(load, goodput);
    results.rows.push_back({plan.deployment.name,
                            std::to_string(plan.chain.size()),
                            formatNumber(load, 0),
                            toString(plan.policy),
                            formatNumber(capacity, 0),
                            formatNumber(100.0 * goodput, 1),
                            formatNumber(100.0 * rankZero, 2),
                            formatNumber(100.0 * waste, 2),
                            verdict(plan, load, goodput, rankZero, waste)});
}

/** Returns the fraction of the requests that arrived in the windows [first, last) and were answered. */
[[nodiscard]] double answeredFraction(const run_result &result, std::size_t first, std::size_t last)
{
    std::uint64_t arrived{0};
    std::uint64_t answered{0};
    for (std::size_t window{first}; window < last; ++window) {
        arrived += result.windows[window].arrived;
        answered += result.windows[window].answered;
    }
    return ratio(answered, arrived);
}

[[nodiscard]] std::size_t windowAt(time_point at) noexcept
{
    return static_cast<std::size_t>(at.time_since_epoch() / WindowLength);
}

/**
 * Returns the seconds from the end of the slowdown until the answered fraction is back at MinRecoveredFraction of `before` for the rest
 * of the run, or -1 if it does not recover.
 */
[[nodiscard]] double recoverySeconds(const run_result &result, double before)
{
    std::size_t recovered{result.windows.size()};
    for (std::size_t first{result.windows.size() - RecoveryWindows}; first >= windowAt(SlowdownEnd); --first) {
        if (answeredFraction(result, first, first + RecoveryWindows) < MinRecoveredFraction * before) {
            break;
        }
        recovered = first;
    }
    if (recovered == result.windows.size()) {
        return -1.0;
    }
    return toSeconds(WindowLength) * static_cast<double>(recovered - windowAt(SlowdownEnd));
}

[[nodiscard]] series answerRateOverTime(const run_result &result, const std::string &name)
{
    series line{name, {}};
    for (std::size_t window{0}; window < result.windows.size(); ++window) {
        const double at{toSeconds(WindowLength) * static_cast<double>(window)};
        line.points.emplace_back(at, static_cast<double>(result.windows[window].completed) / toSeconds(WindowLength));
    }
    return line;
}

void addMetastableRow(table &results, line_chart &chart, const scenario &plan)
{
    const run_result result{run(plan)};
    const double before{answeredFraction(result, windowAt(time_point{plan.warmUp}), windowAt(SlowdownBegin))};
    const double during{answeredFraction(result, windowAt(SlowdownBegin), windowAt(SlowdownEnd))};
    const double after{answeredFraction(result, windowAt(SlowdownEnd + seconds{2}), result.windows.size())};
    const double recovery{recoverySeconds(result, before)};
    const bool met{recovery >= 0.0 && recovery <= MaxRecoverySeconds};
    chart.lines.push_back(answerRateOverTime(result, toString(plan.policy)));
    results.rows.push_back({plan.deployment.name,
                            toString(plan.policy),
                            formatNumber(100.0 * before, 2),
                            formatNumber(100.0 * during, 2),
                            formatNumber(100.0 * after, 2),
                            recovery < 0.0 ? "not in 20 s" : formatNumber(recovery, 2) + " s",
                            plan.policy != control_policy::Full ? "baseline"
                                : met                           ? "met"
                                                                : "missed"});
}

[[nodiscard]] scenario makeMetastableScenario(const deployment_spec &deployment, control_policy policy, std::uint64_t seed)
{
    scenario plan{makeLoadScenario(deployment, callChains(deployment).front(), 0.9, policy)};
    plan.length = MetastableRunLength;
    plan.clientRetries = 10;
    plan.faults = {fault_spec{fault_kind::Slow, plan.chain.back(), SlowdownBegin, SlowdownEnd, 3.0}};
    plan.seed = seed;
    return plan;
}

} // namespace

namespace {

/** Runs the goodput experiment under the given policies. */
[[nodiscard]] report runGoodputUnder(const experiment_input &input, std::span<const control_policy> policies)
{
    report output;
    table results{"Goodput, rank 0 and wasted work under load",
                  {"deployment", "depth", "load", "policy", "capacity/s", "goodput %", "rank 0 answered %", "wasted work %", "target"},
                  {}};
    for (const auto &deployment : input.deployments) {
        for (const auto &chain : callChains(deployment)) {
            line_chart chart{deployment.name + ", depth " + std::to_string(chain.size()), "load / capacity", "goodput / capacity", {}};
            for (const auto policy : policies) {
                series line{toString(policy), {}};
                for (const double load : Loads) {
                    scenario plan{makeLoadScenario(deployment, chain, load, policy)};
                    plan.seed = input.seed;
                    addGoodputRow(results, line, plan, load);
                }
                chart.lines.push_back(line);
            }
            output.charts.push_back(chart);
        }
    }
    output.tables.push_back(results);
    return output;
}

} // namespace

report runGoodput(const experiment_input &input)
{
    return runGoodputUnder(input, AllPolicies);
}

report runFullPolicyGoodput(const experiment_input &input)
{
    return runGoodputUnder(input, std::span{AllPolicies}.last(1));
}

report runMetastable(const experiment_input &input)
{
    report output;
    table results{"Deepest service three times slower from 10 s to 20 s, 90 % load, up to ten client retries, each after 10 ms",
                  {"deployment", "policy", "answered before %", "during %", "2 s after and on %", "recovery to 99 %", "target"},
                  {}};
    for (const auto &deployment : input.deployments) {
        line_chart chart{deployment.name + ", slow from 10 s to 20 s", "seconds", "answers per second", {}};
        for (const auto policy : AllPolicies) {
            addMetastableRow(results, chart, makeMetastableScenario(deployment, policy, input.seed));
        }
        output.charts.push_back(chart);
    }
    output.tables.push_back(results);
    return output;
}

} // namespace ragwortpin::bench
