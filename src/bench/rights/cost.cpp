#include "bench/rights/scenarios.h"
#include "bench/rights/virtual_fleet.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <memory>
#include <ostream>
#include <string>

namespace ragwortpin::bench {

namespace {

using stopwatch = std::chrono::steady_clock;

/** Returns the mean time of one call in nanoseconds. Wall clock time stands for processor time, as the loop never blocks. */
template<typename Function>
[[nodiscard]] double nanosecondsPerCall(int calls, Function &&function)
{
    const auto start = stopwatch::now();
    for (int number{0}; number < calls; ++number) {
        function();
    }
    return std::chrono::duration<double, std::nano>(stopwatch::now() - start).count() / calls;
}

[[nodiscard]] std::vector<workspace> makeWorkspaces(std::size_t count)
{
    std::vector<workspace> workspaces;
    for (std::size_t number{0}; number < count; ++number) {
        workspaces.push_back({"workspace-" + std::to_string(1000 + number), 1e6, 1e6, 1.0});
    }
    return workspaces;
}

/** Returns the state of the node that is the workspace's first pool as seen by the first node. */
[[nodiscard]] rights_state &findPoolState(virtual_fleet &fleet, const std::string &workspace)
{
    const auto &pool = fleet.nodes.front().rights->workspaces.at(workspace).poolNodes.front();
    return *fleet.nodes[fleet.indexByName.at(pool)].rights;
}

void measureCalls(std::uint64_t seed, std::size_t workspaces, std::ostream &out)
{
    constexpr int Calls{200'000};
    constexpr int Ticks{20'000};
    const auto fleet = std::make_unique<virtual_fleet>();
    fleet_options options;
    options.seed = seed;
    options.zones = {"a", "b", "c", "d"};
    options.nodesPerZone = 4;
    options.workspaces = makeWorkspaces(workspaces);
    startFleet(*fleet, options);
    runUntil(*fleet, fleet->now + seconds{20});
    const auto name = options.workspaces[workspaces / 2].name;
    auto &state = findPoolState(*fleet, name);
    auto now = state.lastTickAt;
    std::uint64_t admitted{0};
    const auto takeNanoseconds = nanosecondsPerCall(Calls, [&] {
        now += microseconds{5};
        admitted += takeToken(state, name, now, now).verdict == token_verdict::Admitted ? 1 : 0;
    });
    (void)takeOutput(state);
    const auto tickNanoseconds = nanosecondsPerCall(Ticks, [&] {
        now += milliseconds{20};
        onTick(state, now);
        (void)takeOutput(state);
    });
    out << std::setw(10) << workspaces << std::fixed << std::setprecision(0) << std::setw(16) << takeNanoseconds << std::setw(18)
        << admitted << std::setw(12) << tickNanoseconds << std::setprecision(4) << std::setw(18) << 100.0 * tickNanoseconds * 50.0 / 1e9
        << '\n';
}

[[nodiscard]] double maxTraffic(const virtual_fleet &fleet, double span)
{
    std::uint64_t maxBytes{0};
    for (const auto &node : fleet.nodes) {
        maxBytes = std::max(maxBytes, node.bytesSent);
    }
    return static_cast<double>(maxBytes) / span;
}

[[nodiscard]] double meanTraffic(const virtual_fleet &fleet, double span)
{
    double sum{0.0};
    for (const auto &node : fleet.nodes) {
        sum += static_cast<double>(node.bytesSent);
    }
    return sum / static_cast<double>(fleet.nodes.size()) / span;
}

void resetTraffic(virtual_fleet &fleet)
{
    for (auto &node : fleet.nodes) {
        node.bytesSent = node.messagesSent = 0;
    }
    fleet.store.calls = fleet.store.writes = 0;
}

void scheduleRestarts(virtual_fleet &fleet, int restarts, duration span)
{
    for (int number{0}; number < restarts; ++number) {
        const auto at = fleet.now + duration{static_cast<duration::rep>(fleet.random() % static_cast<std::uint64_t>(span.count()))};
        schedule(fleet, at, [&fleet, number] {
            const auto node = fleet.random() % fleet.nodes.size();
            number % 2 == 0 ? restartNode(fleet, node) : replaceNode(fleet, node);
        });
    }
    schedule(fleet, fleet.now + span / 2, [&fleet] {
        killNode(fleet, fleet.random() % fleet.nodes.size());
    });
}

void printFleet(const virtual_fleet &fleet, std::string_view phase, double span, std::ostream &out)
{
    std::uint64_t withinRateCount{0};
    std::uint64_t wronglyRefusedCount{0};
    for (const auto &[name, audit] : fleet.audits) {
        withinRateCount += audit.withinRate;
        wronglyRefusedCount += audit.wronglyRefused;
    }
    out << std::setw(7) << fleet.nodes.size() << "  " << std::left << std::setw(26) << phase << std::right << std::fixed
        << std::setprecision(0) << std::setw(10) << meanTraffic(fleet, span) << std::setw(10) << maxTraffic(fleet, span)
        << std::setprecision(2) << std::setw(12) << static_cast<double>(fleet.store.calls) / span << std::setw(12)
        << static_cast<double>(fleet.store.writes) / span << std::setw(10) << withinRateCount << std::setw(8) << wronglyRefusedCount
        << std::setprecision(1) << std::setw(10) << -lowestAuditLevel(fleet) << '\n';
}

void measureFleetSize(std::uint64_t seed, std::size_t nodesPerZone, std::ostream &out)
{
    constexpr duration Span{seconds{30}};
    constexpr int Restarts{6};
    const auto fleet = std::make_unique<virtual_fleet>();
    fleet_options options;
    options.seed = seed;
    options.zones = {"a", "b", "c", "d", "e", "f", "g", "h"};
    options.nodesPerZone = nodesPerZone;
    options.tickInterval = milliseconds{50};
    options.drift = ClockDriftBound;
    for (int number{0}; number < 8; ++number) {
        options.workspaces.push_back({"workspace-" + std::to_string(number), 400.0, 200.0, 1.0});
    }
    startFleet(*fleet, options);
    runUntil(*fleet, fleet->now + seconds{30});
    resetTraffic(*fleet);
    runUntil(*fleet, fleet->now + Span);
    printFleet(*fleet, "idle", toSeconds(Span), out);
    resetTraffic(*fleet);
    for (const auto &object : options.workspaces) {
        offerLoad(
            *fleet,
            object.name,
            320.0,
            [fleetPointer = fleet.get()] {
                return static_cast<std::size_t>(fleetPointer->random() % fleetPointer->nodes.size());
            },
            fleet->now + 2 * Span);
    }
    runUntil(*fleet, fleet->now + Span);
    printFleet(*fleet, "load 0.8", toSeconds(Span), out);
    resetTraffic(*fleet);
    scheduleRestarts(*fleet, Restarts, Span);
    runUntil(*fleet, fleet->now + Span);
    printFleet(*fleet, "load 0.8, 6 restarts, 1 crash", toSeconds(Span), out);
}

} // namespace

void measureCost(std::uint64_t seed, std::ostream &out)
{
    out << "workspaces  takeToken ns  admitted of 200000   tick ns  % of a core, ticks\n";
    for (const auto workspaces : {8U, 64U, 500U}) {
        measureCalls(seed, workspaces, out);
    }
}

void measureDesignSize(std::uint64_t seed, std::ostream &out)
{
    out << "8 zones, 8 workspaces of rate 400 and burst 200; payload bytes sent a second per node\n"
        << "  nodes  phase                         mean B    most B    store/s    writes/s    within   wrong overissue\n";
    for (const auto nodesPerZone : {2U, 8U, 32U, 175U}) {
        measureFleetSize(seed, nodesPerZone, out);
    }
}

} // namespace ragwortpin::bench
