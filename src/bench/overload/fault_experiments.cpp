#include "bench/overload/experiments.h"
#include "bench/overload/world.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

namespace ragwortpin::bench {

namespace {

constexpr time_point FaultFrom{seconds{6}};
constexpr time_point FaultUntil{seconds{16}};
constexpr duration FaultLength{seconds{18}};

/** Attempts of a common client library at each hop. */
constexpr double BaselineAttempts{3.0};

/** A kind of fault with the settings of its run. */
struct fault_case
{
    const char *name;
    fault_kind kind;
    double factor;
    double load;
};

constexpr fault_case FaultCases[]{
    {"cold start, 4 times slower at first", fault_kind::Cold, 4.0, 0.7},
    {"reports no load and is 4 times slower", fault_kind::LyingReport, 4.0, 0.7},
    {"accepts and never answers", fault_kind::Hang, 1.0, 0.7},
    {"leaves", fault_kind::Leave, 1.0, 0.7},
    {"all targets of one zone gone", fault_kind::ZoneGone, 1.0, 0.6},
};

[[nodiscard]] std::vector<std::size_t> shallowChain(const deployment &place)
{
    return place.services.size() >= 14 ? std::vector<std::size_t>{0, 1, 13} : std::vector<std::size_t>{0, 2, 3};
}

[[nodiscard]] double answeredPart(const tally &counts) noexcept
{
    return counts.arrived == 0 ? 1.0 : static_cast<double>(counts.answered) / static_cast<double>(counts.arrived);
}

void addFaultRow(table &rows, const deployment &place, const fault_case &wanted, control_policy policy, std::uint64_t seed)
{
    scenario plan;
    plan.place = place;
    plan.policy = policy;
    plan.chain = shallowChain(place);
    plan.tenants = usualTenants(wanted.load);
    plan.length = FaultLength;
    plan.warmUp = FaultFrom.time_since_epoch();
    plan.seed = seed;
    const double without{answeredPart(run(plan).total)};
    plan.faults = {fault{wanted.kind, plan.chain.back(), FaultFrom, FaultUntil, wanted.factor}};
    const run_result result{run(plan)};
    rows.rows.push_back({place.name,
                         wanted.name,
                         formatNumber(wanted.load, 1),
                         toString(policy),
                         formatNumber(100.0 * (without - answeredPart(result.total)), 2),
                         formatNumber(100.0 * answeredPart(result.byRank[0]), 2),
                         wanted.kind == fault_kind::Leave ? std::to_string(result.cutByDrain) : "-"});
}

/** A setting of the fairness experiment: what each polite workspace sends, as a part of the capacity. */
struct fairness_case
{
    const char *name;
    double polite;
};

constexpr fairness_case FairnessCases[]{{"capacity allows", 0.08}, {"capacity does not allow", 0.2}};

/** Targets: part of its requests when capacity allows, and part of its weighted share when not. */
constexpr double TargetServed{0.99};
constexpr double TargetShare{0.95};
constexpr double FloodFactor{10.0};
constexpr std::size_t Workspaces{8};

[[nodiscard]] scenario flood(const deployment &place, double polite, control_policy policy, std::uint64_t seed)
{
    scenario plan;
    plan.place = place;
    plan.policy = policy;
    plan.chain = shallowChain(place);
    plan.rankShares = {0.0, 1.0};
    plan.length = seconds{14};
    plan.warmUp = seconds{4};
    plan.seed = seed;
    for (std::size_t index{0}; index < Workspaces; ++index) {
        const double load{index == 0 ? FloodFactor * polite : polite};
        plan.tenants.push_back(tenant{"workspace-" + std::to_string(index), 1.0, load});
    }
    return plan;
}

void addFairnessRow(table &rows, const deployment &place, const fairness_case &wanted, control_policy policy, std::uint64_t seed)
{
    const scenario plan{flood(place, wanted.polite, policy, seed)};
    const run_result result{run(plan)};
    const double capacity{capacityOf(place, plan.chain) * result.measuredSeconds};
    double served{1.0};
    double share{std::numeric_limits<double>::max()};
    for (std::size_t index{1}; index < Workspaces; ++index) {
        served = std::min(served, answeredPart(result.byTenant[index]));
        share = std::min(share, static_cast<double>(result.byTenant[index].answered) * Workspaces / capacity);
    }
    const bool allows{wanted.polite * Workspaces < 1.0};
    const bool met{allows ? served >= TargetServed : share >= TargetShare};
    rows.rows.push_back({place.name,
                         wanted.name,
                         toString(policy),
                         formatNumber(100.0 * served, 2),
                         formatNumber(100.0 * share, 1),
                         formatNumber(100.0 * answeredPart(result.byTenant[0]), 1),
                         policy != control_policy::Full ? "baseline"
                             : met                      ? "met"
                                                        : "missed"});
}

[[nodiscard]] scenario allHopsFailing(std::size_t depth, control_policy policy, std::uint64_t seed)
{
    scenario plan;
    plan.place = deepChain();
    plan.policy = policy;
    for (std::size_t hop{14 - depth}; hop < 14; ++hop) {
        plan.chain.push_back(hop);
        const double part{hop == 13 ? 1.0 : 0.2};
        plan.faults.push_back(fault{fault_kind::Broken, hop, time_point{}, time_point{seconds{60}}, part});
    }
    plan.tenants = {tenant{"workspace-0", 1.0, policy == control_policy::Full ? 0.05 : 0.0005}};
    plan.length = seconds{policy == control_policy::Full ? 10 : 4};
    plan.warmUp = duration{0};
    plan.clientTimeout = seconds{2};
    plan.seed = seed;
    return plan;
}

} // namespace

report runFaults(const experiment_input &input)
{
    report found;
    table rows{"Answers lost to a fault at the deepest service, against the same run without it",
               {"deployment", "fault", "load", "policy", "answers lost, points", "rank 0 answered %", "cut in flight"},
               {}};
    for (const auto &place : input.places) {
        for (const auto &wanted : FaultCases) {
            for (const auto policy : {control_policy::None, control_policy::StaticLimit, control_policy::Full}) {
                addFaultRow(rows, place, wanted, policy, input.seed);
            }
        }
    }
    found.tables.push_back(rows);
    return found;
}

report runFairness(const experiment_input &input)
{
    report found;
    table rows{"One of eight workspaces of equal weight sends ten times the others' rate",
               {"deployment", "case", "policy", "worst-served answered %", "of its weighted share %", "flooding one answered %", "target"},
               {}};
    for (const auto &place : input.places) {
        for (const auto &wanted : FairnessCases) {
            for (const auto policy : AllPolicies) {
                addFairnessRow(rows, place, wanted, policy, input.seed);
            }
        }
    }
    found.tables.push_back(rows);
    return found;
}

report runAttempts(const experiment_input &input)
{
    report found;
    table rows{"Attempts at the deepest service for one request: it always fails, every other hop fails in one of five calls",
               {"depth", "policy", "requests", "mean", "most", "bound"},
               {}};
    for (const std::size_t depth : {std::size_t{3}, std::size_t{6}, std::size_t{8}, std::size_t{14}}) {
        for (const auto policy : {control_policy::None, control_policy::Full}) {
            if (policy == control_policy::None && depth > 8) {
                rows.rows.push_back(
                    {std::to_string(depth), toString(policy), "not run", "-", "-", formatNumber(std::pow(BaselineAttempts, depth), 0)});
                continue;
            }
            const run_result result{run(allHopsFailing(depth, policy, input.seed))};
            const double mean{static_cast<double>(result.deepestAttempts) / static_cast<double>(std::max<std::uint64_t>(1, result.roots))};
            const bool full{policy == control_policy::Full};
            rows.rows.push_back({std::to_string(depth),
                                 toString(policy),
                                 std::to_string(result.roots),
                                 formatNumber(mean, 2),
                                 std::to_string(result.mostDeepestAttempts),
                                 full ? "4" : formatNumber(std::pow(BaselineAttempts, depth), 0)});
        }
    }
    found.tables.push_back(rows);
    return found;
}

} // namespace ragwortpin::bench
