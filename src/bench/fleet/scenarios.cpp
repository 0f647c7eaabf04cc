#include "bench/fleet/scenarios.h"

#include "ragwortpin/membership/table.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>

namespace ragwortpin::fleet_bench {

namespace {

constexpr seconds SettleTime{3};
constexpr seconds TrialLimit{60};
constexpr seconds ConvergenceLimit{600};
constexpr seconds SteadyDuration{120};
/** Corresponds to 3,700 configuration changes a day. */
constexpr milliseconds RevisionInterval{23'350};
constexpr seconds PauseDuration{4};
constexpr seconds CutDuration{120};
constexpr double MedianFraction{0.5};
constexpr double NinetyNinthFraction{0.99};
constexpr double Percent{100.0};

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return std::nan("");
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(index, 1) - 1];
}

void addQuantiles(std::vector<figure> &figures, const std::string &name, const std::vector<double> &values)
{
    figures.push_back({name + " p50", "s", quantile(values, MedianFraction)});
    figures.push_back({name + " p99", "s", quantile(values, NinetyNinthFraction)});
    figures.push_back({name + " max", "s", quantile(values, 1.0)});
}

/** Appends the seconds until the condition holds, or the trial limit if it does not hold within that time. */
void recordTrial(std::vector<double> &times, fleet &nodes, const std::function<bool()> &condition)
{
    times.push_back(toSeconds(nodes.runUntil(condition, TrialLimit).value_or(TrialLimit)));
}

/** Returns the delay before a trial. It differs between trials so that they do not start at the same phase of the nodes' periodic work. */
duration trialDelay(std::size_t trial)
{
    constexpr milliseconds Step{137};
    return seconds{5} + static_cast<duration::rep>(trial) * Step;
}

/** Cumulative counters of one node. */
struct node_totals
{
    double sentBytes{0.0};
    double receivedBytes{0.0};
    double pullBytes{0.0};
    double processorSeconds{0.0};
    std::uint64_t suspicions{0};
    std::uint64_t deaths{0};
};

std::vector<node_totals> collectTotals(const fleet &nodes)
{
    std::vector<node_totals> totals;
    for (const auto &node : nodes.nodes()) {
        const auto &counters = node.membership.counters;
        totals.push_back({static_cast<double>(node.bytes.sentBytes),
                          static_cast<double>(node.bytes.receivedBytes),
                          static_cast<double>(node.bytes.pullBytes),
                          std::chrono::duration<double>(node.processorTime).count(),
                          counters.suspicions,
                          counters.deaths});
    }
    return totals;
}

/** Appends the increase per second between two sets of totals: the mean and the maximum over all nodes. */
void addRates(std::vector<figure> &figures,
              const std::string &name,
              const std::string &unit,
              const std::vector<node_totals> &before,
              const std::vector<node_totals> &after,
              double span,
              const std::function<double(const node_totals &)> &value)
{
    double sum{0.0};
    double maxRate{0.0};
    for (std::size_t index{0}; index < before.size(); ++index) {
        const auto rate = (value(after[index]) - value(before[index])) / span;
        sum += rate;
        maxRate = std::max(maxRate, rate);
    }
    figures.push_back({name + " mean", unit, sum / static_cast<double>(before.size())});
    figures.push_back({name + " max node", unit, maxRate});
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace

std::vector<figure> measureRevisionSpread(const scenario_options &options)
{
    fleet nodes{options.fleet};
    nodes.runFor(SettleTime);
    std::vector<double> timesToLast;
    std::vector<double> timesToHalf;
    for (std::size_t trial{0}; trial < options.trials; ++trial) {
        nodes.runFor(trialDelay(trial));
        nodes.publish();
        const auto start = nodes.now();
        const auto revision = nodes.publishedRevision();
        const auto liveCount = nodes.liveNodes();
        recordTrial(timesToHalf, nodes, [&] {
            return 2 * nodes.countNodesAtRevision(revision) >= liveCount;
        });
        const auto remaining = nodes.runUntil(
            [&] {
                return nodes.countNodesAtRevision(revision) == liveCount;
            },
            TrialLimit);
        timesToLast.push_back(remaining ? toSeconds(nodes.now() - start) : toSeconds(TrialLimit));
    }
    std::vector<figure> figures;
    addQuantiles(figures, "revision at half the nodes", timesToHalf);
    addQuantiles(figures, "revision at the last node", timesToLast);
    return figures;
}

std::vector<figure> measureDraining(const scenario_options &options)
{
    fleet nodes{options.fleet};
    nodes.runFor(SettleTime);
    std::vector<double> times;
    for (std::size_t trial{0}; trial < options.trials; ++trial) {
        nodes.runFor(trialDelay(trial));
        const auto drainingNode = (7 * trial + 5) % options.fleet.nodes;
        nodes.setState(drainingNode, instance_state::Draining);
        recordTrial(times, nodes, [&] {
            return nodes.countNodesSeeingState(drainingNode, instance_state::Draining) + 1 == nodes.liveNodes();
        });
        nodes.runFor(SettleTime);
        nodes.setState(drainingNode, instance_state::Ready);
    }
    std::vector<figure> figures;
    addQuantiles(figures, "draining known to all", times);
    return figures;
}

std::vector<figure> measureSteadyState(const scenario_options &options)
{
    const auto heapBefore = heapBytes();
    fleet nodes{options.fleet};
    const auto heapPerNode = (heapBytes() - heapBefore) / static_cast<double>(options.fleet.nodes);
    nodes.runFor(seconds{10});
    const auto before = collectTotals(nodes);
    const auto callsBefore = nodes.storeCalls();
    const auto start = nodes.now();
    nodes.setState(options.fleet.nodes - 1, instance_state::Draining);
    for (auto next = start + RevisionInterval; next < start + SteadyDuration; next += RevisionInterval) {
        nodes.runFor(next - nodes.now());
        nodes.publish();
    }
    nodes.runFor(start + SteadyDuration - nodes.now());
    const auto after = collectTotals(nodes);
    const auto span = toSeconds(SteadyDuration);
    std::vector<figure> figures;
    addRates(figures, "sent", "B/s", before, after, span, [](const node_totals &totals) {
        return totals.sentBytes;
    });
    addRates(figures, "sent and received", "B/s", before, after, span, [](const node_totals &totals) {
        return totals.sentBytes + totals.receivedBytes + totals.pullBytes;
    });
    addRates(figures, "of these pulls", "B/s", before, after, span, [](const node_totals &totals) {
        return totals.pullBytes;
    });
    addRates(figures, "control CPU", "% of a core", before, after, span, [](const node_totals &totals) {
        return Percent * totals.processorSeconds;
    });
    addRates(figures, "wrong suspicions seen", "/s", before, after, span, [](const node_totals &totals) {
        return static_cast<double>(totals.suspicions);
    });
    addRates(figures, "wrong deaths seen", "/s", before, after, span, [](const node_totals &totals) {
        return static_cast<double>(totals.deaths);
    });
    figures.push_back({"store calls", "/s", static_cast<double>(nodes.storeCalls() - callsBefore) / span});
    figures.push_back({"heap per node", "MB", heapPerNode / 1e6});
    figures.push_back({"greatest datagram", "B", static_cast<double>(nodes.maxDatagramBytes())});
    return figures;
}

std::vector<figure> measureDetection(const scenario_options &options)
{
    fleet nodes{options.fleet};
    nodes.runFor(SettleTime);
    std::vector<double> firstTimes;
    std::vector<double> timesToLast;
    const auto trials = std::min<std::size_t>(options.trials, options.fleet.nodes / 4);
    for (std::size_t trial{0}; trial < trials; ++trial) {
        nodes.runFor(trialDelay(trial));
        const auto killedNode = (11 * trial + 4) % options.fleet.nodes;
        nodes.kill(killedNode);
        const auto start = nodes.now();
        recordTrial(firstTimes, nodes, [&] {
            return nodes.countNodesSeeingState(killedNode, std::nullopt) > 0;
        });
        const auto remaining = nodes.runUntil(
            [&] {
                return nodes.countNodesSeeingState(killedNode, std::nullopt) == nodes.liveNodes();
            },
            TrialLimit);
        timesToLast.push_back(remaining ? toSeconds(nodes.now() - start) : toSeconds(TrialLimit));
        nodes.restart(killedNode);
        nodes.runFor(seconds{10});
    }
    std::vector<figure> figures;
    addQuantiles(figures, "death known first", firstTimes);
    addQuantiles(figures, "death known to all", timesToLast);
    nodes.runFor(seconds{20});
    const auto before = collectTotals(nodes);
    const auto pausedCount = std::max<std::size_t>(1, options.fleet.nodes / 100);
    for (std::size_t index{0}; index < pausedCount; ++index) {
        nodes.pause(index * 100 % options.fleet.nodes, PauseDuration);
    }
    nodes.runFor(seconds{30});
    const auto after = collectTotals(nodes);
    std::uint64_t deaths{0};
    std::uint64_t suspicions{0};
    for (std::size_t index{0}; index < before.size(); ++index) {
        deaths += after[index].deaths - before[index].deaths;
        suspicions += after[index].suspicions - before[index].suspicions;
    }
    figures.push_back({"nodes paused 4 s", "", static_cast<double>(pausedCount)});
    figures.push_back({"suspicions seen for pauses", "", static_cast<double>(suspicions)});
    figures.push_back({"deaths seen for pauses", "", static_cast<double>(deaths)});
    return figures;
}

std::vector<figure> measureMerging(const scenario_options &options)
{
    std::vector<figure> figures;
    const auto measureConvergence = [&figures](fleet &nodes, const std::string &name) {
        const auto before = collectTotals(nodes);
        const auto elapsed = nodes.runUntil(
            [&nodes] {
                return nodes.isConverged();
            },
            ConvergenceLimit);
        const auto span = toSeconds(elapsed.value_or(ConvergenceLimit));
        figures.push_back({name, "s", elapsed ? span : std::nan("")});
        addRates(figures, name + " bytes", "B/s", before, collectTotals(nodes), span, [](const node_totals &totals) {
            return totals.sentBytes + totals.receivedBytes + totals.pullBytes;
        });
    };
    {
        fleet nodes{options.fleet};
        nodes.runFor(SettleTime);
        nodes.cut({0});
        nodes.runFor(CutDuration);
        nodes.heal();
        measureConvergence(nodes, "merged after a cut of 120 s");
    }
    auto coldOptions = options.fleet;
    coldOptions.startsSynchronized = false;
    fleet nodes{coldOptions};
    measureConvergence(nodes, "all started at once");
    return figures;
}

} // namespace ragwortpin::fleet_bench
