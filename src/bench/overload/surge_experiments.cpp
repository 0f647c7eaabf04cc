#include "bench/overload/experiments.h"
#include "bench/overload/world.h"

#include <algorithm>
#include <string>

namespace ragwortpin::bench {

namespace {

constexpr double Loads[]{1.0, 2.0, 5.0, 10.0};

/** Targets of the goodput experiment. */
constexpr double TargetGoodput{0.95};
constexpr double TargetRankZero{0.999};
constexpr double TargetWaste{0.02};
constexpr double WasteLoad{5.0};

/** Times of the metastable experiment. */
constexpr time_point SlowFrom{seconds{10}};
constexpr time_point SlowUntil{seconds{20}};
constexpr duration MetastableLength{seconds{40}};
constexpr double TargetRecovered{0.99};
constexpr double TargetRecoverySeconds{2.0};

/** Windows that the recovery is judged over together. */
constexpr std::size_t JudgedWindows{4};

[[nodiscard]] std::vector<std::vector<std::size_t>> chainsOf(const deployment &place)
{
    std::vector<std::size_t> deep;
    for (std::size_t hop{0}; hop < 14; ++hop) {
        deep.push_back(hop % place.services.size());
    }
    if (place.services.size() == deep.size()) {
        return {deep};
    }
    return {{0, 2, 3}, deep};
}

[[nodiscard]] scenario surge(const deployment &place, const std::vector<std::size_t> &chain, double load, control_policy policy)
{
    const bool deep{chain.size() > 3};
    scenario plan;
    plan.place = place;
    plan.chain = chain;
    plan.policy = policy;
    plan.tenants = usualTenants(load);
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
    missed += goodput < TargetGoodput ? "goodput " : "";
    missed += rankZero < TargetRankZero ? "rank0 " : "";
    missed += load == WasteLoad && waste > TargetWaste ? "waste " : "";
    return missed.empty() ? "met" : "missed: " + missed;
}

void addGoodputRow(table &rows, series &line, const scenario &plan, double load)
{
    const run_result result{run(plan)};
    const double capacity{capacityOf(plan.place, plan.chain)};
    const double goodput{static_cast<double>(result.total.finished) / result.measuredSeconds / capacity};
    const double rankZero{ratio(result.byRank[0].answered, result.byRank[0].arrived)};
    const double waste{result.wastedWork / std::max(1e-9, result.usefulWork + result.wastedWork)};
    line.points.emplace_back(load, goodput);
    rows.rows.push_back({plan.place.name,
                         std::to_string(plan.chain.size()),
                         formatNumber(load, 0),
                         toString(plan.policy),
                         formatNumber(capacity, 0),
                         formatNumber(100.0 * goodput, 1),
                         formatNumber(100.0 * rankZero, 2),
                         formatNumber(100.0 * waste, 2),
                         verdict(plan, load, goodput, rankZero, waste)});
}

/** Part of the requests that arrived in a run of windows and were answered. */
[[nodiscard]] double answeredPart(const run_result &result, std::size_t first, std::size_t last)
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

/** Returns the seconds after the slowness until the answered part is and stays back; negative when it never is. */
[[nodiscard]] double recoverySeconds(const run_result &result, double before)
{
    std::size_t recovered{result.windows.size()};
    for (std::size_t first{result.windows.size() - JudgedWindows}; first >= windowAt(SlowUntil); --first) {
        if (answeredPart(result, first, first + JudgedWindows) < TargetRecovered * before) {
            break;
        }
        recovered = first;
    }
    if (recovered == result.windows.size()) {
        return -1.0;
    }
    return toSeconds(WindowLength) * static_cast<double>(recovered - windowAt(SlowUntil));
}

[[nodiscard]] series finishedOverTime(const run_result &result, const std::string &name)
{
    series line{name, {}};
    for (std::size_t window{0}; window < result.windows.size(); ++window) {
        const double at{toSeconds(WindowLength) * static_cast<double>(window)};
        line.points.emplace_back(at, static_cast<double>(result.windows[window].finished) / toSeconds(WindowLength));
    }
    return line;
}

void addMetastableRow(table &rows, line_chart &chart, const scenario &plan)
{
    const run_result result{run(plan)};
    const double before{answeredPart(result, windowAt(time_point{plan.warmUp}), windowAt(SlowFrom))};
    const double during{answeredPart(result, windowAt(SlowFrom), windowAt(SlowUntil))};
    const double after{answeredPart(result, windowAt(SlowUntil + seconds{2}), result.windows.size())};
    const double recovery{recoverySeconds(result, before)};
    const bool met{recovery >= 0.0 && recovery <= TargetRecoverySeconds};
    chart.lines.push_back(finishedOverTime(result, toString(plan.policy)));
    rows.rows.push_back({plan.place.name,
                         toString(plan.policy),
                         formatNumber(100.0 * before, 2),
                         formatNumber(100.0 * during, 2),
                         formatNumber(100.0 * after, 2),
                         recovery < 0.0 ? "not in 20 s" : formatNumber(recovery, 2) + " s",
                         plan.policy != control_policy::Full ? "baseline"
                             : met                           ? "met"
                                                             : "missed"});
}

[[nodiscard]] scenario metastable(const deployment &place, control_policy policy, std::uint64_t seed)
{
    scenario plan{surge(place, chainsOf(place).front(), 0.9, policy)};
    plan.length = MetastableLength;
    plan.clientRetries = 10;
    plan.faults = {fault{fault_kind::Slow, plan.chain.back(), SlowFrom, SlowUntil, 3.0}};
    plan.seed = seed;
    return plan;
}

} // namespace

namespace {

/** Runs the goodput experiment under some policies. */
[[nodiscard]] report goodputUnder(const experiment_input &input, std::span<const control_policy> policies)
{
    report found;
    table rows{"Goodput, rank 0 and wasted work under load",
               {"deployment", "depth", "load", "policy", "capacity/s", "goodput %", "rank 0 answered %", "wasted work %", "target"},
               {}};
    for (const auto &place : input.places) {
        for (const auto &chain : chainsOf(place)) {
            line_chart chart{place.name + ", depth " + std::to_string(chain.size()), "load / capacity", "goodput / capacity", {}};
            for (const auto policy : policies) {
                series line{toString(policy), {}};
                for (const double load : Loads) {
                    scenario plan{surge(place, chain, load, policy)};
                    plan.seed = input.seed;
                    addGoodputRow(rows, line, plan, load);
                }
                chart.lines.push_back(line);
            }
            found.charts.push_back(chart);
        }
    }
    found.tables.push_back(rows);
    return found;
}

} // namespace

report runGoodput(const experiment_input &input)
{
    return goodputUnder(input, AllPolicies);
}

report runControlledGoodput(const experiment_input &input)
{
    return goodputUnder(input, std::span{AllPolicies}.last(1));
}

report runMetastable(const experiment_input &input)
{
    report found;
    table rows{"Deepest service three times slower from 10 s to 20 s, 90 % load, ten hard retries of clients",
               {"deployment", "policy", "answered before %", "during %", "2 s after and on %", "recovery to 99 %", "target"},
               {}};
    for (const auto &place : input.places) {
        line_chart chart{place.name + ", slow from 10 s to 20 s", "seconds", "answered a second", {}};
        for (const auto policy : AllPolicies) {
            addMetastableRow(rows, chart, metastable(place, policy, input.seed));
        }
        found.charts.push_back(chart);
    }
    found.tables.push_back(rows);
    return found;
}

} // namespace ragwortpin::bench
