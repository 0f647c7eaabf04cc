#include "bench/rights/arrivals.h"
#include "bench/rights/baselines.h"
#include "bench/rights/scenarios.h"
#include "bench/rights/virtual_fleet.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <memory>
#include <ostream>

namespace ragwortpin::bench {

namespace {

constexpr std::size_t Zones{4};
constexpr std::size_t NodesPerZone{4};
constexpr duration WarmUp{seconds{30}};
constexpr duration Span{seconds{60}};

struct skew_case
{
    workspace object;
    double load{0.0};
    caller_placement placement{caller_placement::Spread};
};

/** Results of one limiter for one run. Traffic is per node and second; `lowest` is the lowest level of the reference bucket. */
struct skew_result
{
    std::uint64_t offered{0};
    std::uint64_t admitted{0};
    std::uint64_t withinRate{0};
    std::uint64_t wronglyRefused{0};
    double lowest{0.0};
    double bytesMean{0.0};
    double bytesMax{0.0};
    double messagesMean{0.0};
    double storeCalls{0.0};
};

struct node_traffic
{
    double bytesMean{0.0};
    double bytesMax{0.0};
    double messagesMean{0.0};
};

[[nodiscard]] node_traffic measureTraffic(const virtual_fleet &fleet, double elapsed)
{
    node_traffic traffic;
    for (const auto &node : fleet.nodes) {
        const auto bytes = static_cast<double>(node.bytesSent) / elapsed;
        traffic.bytesMean += bytes / static_cast<double>(fleet.nodes.size());
        traffic.bytesMax = std::max(traffic.bytesMax, bytes);
        traffic.messagesMean += static_cast<double>(node.messagesSent) / elapsed / static_cast<double>(fleet.nodes.size());
    }
    return traffic;
}

[[nodiscard]] skew_result runRightsLimiter(const skew_case &item, const std::vector<arrival> &arrivals, std::uint64_t seed)
{
    const auto fleet = std::make_unique<virtual_fleet>();
    fleet_options options;
    options.seed = seed;
    options.zones = {"a", "b", "c", "d"};
    options.nodesPerZone = NodesPerZone;
    options.drift = ClockDriftBound;
    options.workspaces = {item.object};
    startFleet(*fleet, options);
    runUntil(*fleet, fleet->now + WarmUp);
    for (auto &node : fleet->nodes) {
        node.bytesSent = node.messagesSent = 0;
    }
    const auto storeCalls = fleet->store.calls;
    const auto start = fleet->now;
    skew_result result;
    for (const auto &next : arrivals) {
        runUntil(*fleet, start + next.at);
        offerRequest(*fleet, next.node, item.object.name);
    }
    runUntil(*fleet, start + Span);
    const auto &audit = fleet->audits.at(item.object.name);
    const auto traffic = measureTraffic(*fleet, toSeconds(Span));
    result.offered = arrivals.size();
    result.admitted = audit.admitted;
    result.withinRate = audit.withinRate;
    result.wronglyRefused = audit.wronglyRefused;
    result.lowest = audit.lowest;
    result.bytesMean = traffic.bytesMean;
    result.bytesMax = traffic.bytesMax;
    result.messagesMean = traffic.messagesMean;
    result.storeCalls = static_cast<double>(fleet->store.calls - storeCalls) / toSeconds(Span);
    return result;
}

/**
 * Runs a baseline limiter that decides immediately, together with two reference buckets: one over the offered requests, which
 * tells whether a refusal was wrong, and one over the admitted requests, which shows how far the limit was exceeded.
 */
template<typename TryTake>
[[nodiscard]] skew_result runBaseline(const skew_case &item, const std::vector<arrival> &arrivals, TryTake &&tryTakeOne)
{
    skew_result result;
    plain_bucket offered{item.object.rate, item.object.burst, item.object.burst, {}};
    plain_bucket used = offered;
    for (const auto &next : arrivals) {
        const time_point now{next.at};
        const auto within = tryTake(offered, now);
        const auto admitted = tryTakeOne(next.node, now);
        result.withinRate += within ? 1 : 0;
        result.admitted += admitted ? 1 : 0;
        result.wronglyRefused += within && !admitted ? 1 : 0;
        used.level = std::min(used.burst, used.level + used.rate * toSeconds(now - used.updatedAt)) - (admitted ? 1.0 : 0.0);
        used.updatedAt = now;
        result.lowest = std::min(result.lowest, used.level);
    }
    result.offered = arrivals.size();
    return result;
}

void printHeader(std::ostream &out)
{
    out << "rate/burst  load  callers   limiter         offered admitted wrongful  wrongful%  overissue  B/s/node mean,max  msg/s/node  "
           "store/s\n";
}

void printRow(std::ostream &out, const skew_case &item, std::string_view limiter, const skew_result &result)
{
    const auto wrongPercent
        = 100.0 * static_cast<double>(result.wronglyRefused) / static_cast<double>(std::max<std::uint64_t>(result.withinRate, 1));
    out << std::fixed << std::setprecision(0) << std::setw(5) << item.object.rate << '/' << std::left << std::setw(5) << item.object.burst
        << std::right << std::setprecision(2) << std::setw(5) << item.load << "  " << std::left << std::setw(10) << toText(item.placement)
        << std::setw(15) << limiter << std::right << std::setw(8) << result.offered << std::setw(9) << result.admitted << std::setw(9)
        << result.wronglyRefused << std::setprecision(3) << std::setw(11) << wrongPercent << std::setprecision(1) << std::setw(11)
        << -result.lowest << std::setprecision(0) << std::setw(9) << result.bytesMean << ',' << std::setw(6) << result.bytesMax
        << std::setprecision(1) << std::setw(13) << result.messagesMean << std::setw(9) << result.storeCalls << '\n';
}

void runSkewCase(const skew_case &item, std::uint64_t seed, std::ostream &out)
{
    const auto arrivals = drawArrivals(item.placement, item.object.rate * item.load, Span, Zones, NodesPerZone, seed);
    printRow(out, item, "rights", runRightsLimiter(item, arrivals, seed));
    auto shares = makeStaticShares(item.object.rate, item.object.burst, Zones * NodesPerZone);
    printRow(out, item, "static shares", runBaseline(item, arrivals, [&](std::size_t node, time_point now) {
                 return tryTake(shares, node, now);
             }));
    auto gossiped = makeGossipedCounter(item.object.rate, item.object.burst, Zones * NodesPerZone);
    printRow(out, item, "gossip", runBaseline(item, arrivals, [&](std::size_t node, time_point now) {
                 return tryTake(gossiped, node, now);
             }));
    plain_bucket counter{item.object.rate, item.object.burst, item.object.burst, {}};
    auto storeCounter = runBaseline(item, arrivals, [&](std::size_t, time_point now) {
        return tryTake(counter, now);
    });
    storeCounter.storeCalls = static_cast<double>(arrivals.size()) / toSeconds(Span);
    printRow(out, item, "store counter", storeCounter);
}

} // namespace

void measureSkew(std::uint64_t seed, std::ostream &out)
{
    printHeader(out);
    const std::array objects{
        workspace{"large", 400.0, 100.0, 1.0}, workspace{"middle", 40.0, 20.0, 1.0}, workspace{"small", 5.0, 5.0, 1.0}};
    const std::array placements{caller_placement::Spread, caller_placement::OneZone, caller_placement::OneNode, caller_placement::Moving};
    for (const auto &object : objects) {
        for (const auto load : {0.5, 0.8, 3.0}) {
            for (const auto placement : placements) {
                runSkewCase({object, load, placement}, seed, out);
            }
        }
    }
}

} // namespace ragwortpin::bench
