#include "bench/rights/scenarios.h"
#include "bench/rights/virtual_fleet.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iomanip>
#include <map>
#include <memory>
#include <ostream>
#include <string>

namespace ragwortpin::bench {

namespace {

constexpr std::size_t NodesPerZone{4};
constexpr std::size_t TotalNodes{16};
constexpr double Load{0.8};
constexpr double SaturatingLoad{1.2};

[[nodiscard]] fleet_options makeFleetOptions(std::uint64_t seed)
{
    fleet_options options;
    options.seed = seed;
    options.zones = {"a", "b", "c", "d"};
    options.nodesPerZone = NodesPerZone;
    options.drift = ClockDriftBound;
    options.workspaces = {{"large", 400.0, 100.0, 1.0}, {"middle", 40.0, 20.0, 1.0}, {"small", 5.0, 5.0, 1.0}};
    return options;
}

/** Request counts of one workspace at the start of a phase. */
struct phase_start
{
    std::uint64_t admitted{0};
    std::uint64_t withinRate{0};
    std::uint64_t wronglyRefused{0};
};

[[nodiscard]] std::map<std::string, phase_start> recordPhaseStart(const virtual_fleet &fleet)
{
    std::map<std::string, phase_start> starts;
    for (const auto &[name, audit] : fleet.audits) {
        starts[name] = {audit.admitted, audit.withinRate, audit.wronglyRefused};
    }
    return starts;
}

void printPhase(const virtual_fleet &fleet, std::string_view phase, const std::map<std::string, phase_start> &starts, std::ostream &out)
{
    for (const auto &[name, audit] : fleet.audits) {
        const auto &start = starts.at(name);
        const auto withinRateCount = audit.withinRate - start.withinRate;
        const auto wronglyRefusedCount = audit.wronglyRefused - start.wronglyRefused;
        out << std::left << std::setw(34) << phase << std::setw(8) << name << std::right << std::setw(9) << withinRateCount << std::setw(9)
            << audit.admitted - start.admitted << std::setw(9) << wronglyRefusedCount << std::fixed << std::setprecision(3) << std::setw(11)
            << 100.0 * static_cast<double>(wronglyRefusedCount) / static_cast<double>(std::max<std::uint64_t>(withinRateCount, 1))
            << std::setprecision(1) << std::setw(11) << -audit.lowest << '\n';
    }
}

void runPhase(virtual_fleet &fleet, std::string_view phase, duration span, std::ostream &out)
{
    const auto starts = recordPhaseStart(fleet);
    runUntil(fleet, fleet.now + span);
    printPhase(fleet, phase, starts, out);
}

void offerUniformLoad(virtual_fleet &fleet, double load, time_point until, std::size_t nodes)
{
    for (const auto &object : fleet.options.workspaces) {
        offerLoad(
            fleet,
            object.name,
            object.rate * load,
            [&fleet, nodes] {
                return static_cast<std::size_t>(fleet.random() % nodes);
            },
            until);
    }
}

void measureZoneCut(std::uint64_t seed, std::ostream &out, std::size_t callerNodes, std::string_view label)
{
    const auto fleet = std::make_unique<virtual_fleet>();
    startFleet(*fleet, makeFleetOptions(seed));
    runUntil(*fleet, fleet->now + seconds{30});
    offerUniformLoad(*fleet, Load, fleet->now + seconds{90}, callerNodes);
    const std::string suffix{label};
    runPhase(*fleet, "before cut, " + suffix, seconds{20}, out);
    fleet->cutZones.insert("a");
    updateMembers(*fleet);
    runPhase(*fleet, "zone a cut 0-10 s, " + suffix, seconds{10}, out);
    runPhase(*fleet, "zone a cut 10-30 s, " + suffix, seconds{20}, out);
    fleet->cutZones.clear();
    updateMembers(*fleet);
    runPhase(*fleet, "healed 0-10 s, " + suffix, seconds{10}, out);
    runPhase(*fleet, "healed 10-30 s, " + suffix, seconds{20}, out);
}

void measureStoreOutage(std::uint64_t seed, std::ostream &out, seconds lapse)
{
    const auto fleet = std::make_unique<virtual_fleet>();
    auto options = makeFleetOptions(seed);
    options.settings.slotLapse = lapse;
    startFleet(*fleet, options);
    runUntil(*fleet, fleet->now + seconds{30});
    offerUniformLoad(*fleet, Load, fleet->now + seconds{180}, fleet->nodes.size());
    const auto suffix = ", lapse " + std::to_string(lapse.count()) + " s";
    fleet->store.outage = true;
    runPhase(*fleet, "store down 0-30 s" + suffix, seconds{30}, out);
    runPhase(*fleet, "store down 30-120 s" + suffix, seconds{90}, out);
    fleet->store.outage = false;
    runPhase(*fleet, "store up 0-30 s" + suffix, seconds{30}, out);
    runPhase(*fleet, "store up 30-60 s" + suffix, seconds{30}, out);
}

[[nodiscard]] std::size_t countOwnedSlots(const virtual_fleet &fleet)
{
    std::size_t owned{0};
    for (const auto &node : fleet.nodes) {
        owned += node.alive ? node.rights->slots.owned.size() : 0;
    }
    return owned;
}

/** Kills a node without replacement and runs until its slots are owned again or the time limit is reached. */
void measureCrash(std::uint64_t seed, std::ostream &out, seconds lapse)
{
    const auto fleet = std::make_unique<virtual_fleet>();
    auto options = makeFleetOptions(seed);
    options.tickInterval = milliseconds{100};
    options.workspaces = {{"middle", 40.0, 20.0, 1.0}};
    options.settings.slotLapse = lapse;
    startFleet(*fleet, options);
    runUntil(*fleet, fleet->now + seconds{30});
    const auto total = countOwnedSlots(*fleet);
    const auto limit = fleet->now + 2 * lapse + seconds{60};
    offerUniformLoad(*fleet, SaturatingLoad, limit, fleet->nodes.size());
    const auto crashedAt = fleet->now;
    const auto admitted = fleet->audits.at("middle").admitted;
    const auto calls = fleet->store.calls;
    killNode(*fleet, 1);
    const auto remaining = countOwnedSlots(*fleet);
    while (countOwnedSlots(*fleet) < total && fleet->now < limit) {
        runUntil(*fleet, fleet->now + milliseconds{500});
    }
    const auto unownedSeconds = toSeconds(fleet->now - crashedAt);
    const auto rate = static_cast<double>(fleet->audits.at("middle").admitted - admitted) / unownedSeconds;
    out << std::setw(8) << lapse.count() << std::setw(12) << total - remaining << " of " << total << std::fixed << std::setprecision(1)
        << std::setw(14) << unownedSeconds << std::setw(20) << rate << " of 40" << std::setprecision(2) << std::setw(14)
        << static_cast<double>(fleet->store.calls - calls) / unownedSeconds << std::setprecision(0) << std::setw(16)
        << 0.99 * static_cast<double>(lapse.count()) << '\n';
}

} // namespace

void measureFaults(std::uint64_t seed, std::ostream &out)
{
    out << "16 nodes, load 0.8 of each rate\n"
        << "phase                             workspace within admitted wrongful  wrongful%  overissue\n";
    measureZoneCut(seed, out, TotalNodes, "spread");
    measureZoneCut(seed, out, NodesPerZone, "callers in a");
    measureStoreOutage(seed, out, seconds{3600});
    measureStoreOutage(seed, out, seconds{60});
}

void measureLapse(std::uint64_t seed, std::ostream &out)
{
    out << "16 nodes, one crashes without replacement, load 1.2 of rate 40\n"
        << " lapse s  slots unowned until owned s   admitted a second    store calls/s  survives cut s\n";
    for (const auto lapse : {seconds{60}, seconds{600}, seconds{3600}}) {
        measureCrash(seed, out, lapse);
    }
}

} // namespace ragwortpin::bench
