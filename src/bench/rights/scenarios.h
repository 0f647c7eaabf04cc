#ifndef RAGWORTPIN_BENCH_RIGHTS_SCENARIOS_H
#define RAGWORTPIN_BENCH_RIGHTS_SCENARIOS_H

#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

namespace ragwortpin::bench {

/** A measurement of the rate limiter that writes its results as a table. */
struct rights_scenario
{
    std::string_view name;
    void (*run)(std::uint64_t seed, std::ostream &out);
};

/** Returns all measurements in the order in which they run. */
[[nodiscard]] const std::vector<rights_scenario> &rightsScenarios();

/**
 * Compares the limiter with baseline limiters for callers at all nodes, in one zone, at one node and at a node that changes over
 * time.
 */
void measureSkew(std::uint64_t seed, std::ostream &out);

/** Measures wrongful refusals and overissue during a network cut between availability zones and during a store outage. */
void measureFaults(std::uint64_t seed, std::ostream &out);

/** Measures, for several slot lapse times, how long the slots of a crashed node stay unowned in a fleet of 16 nodes. */
void measureLapse(std::uint64_t seed, std::ostream &out);

/** Measures traffic and store calls with restarts and crashes, from 16 nodes up to the design size of 1,400 nodes. */
void measureDesignSize(std::uint64_t seed, std::ostream &out);

/** Measures the processor time of the token function on the data path and of a tick. */
void measureCost(std::uint64_t seed, std::ostream &out);

} // namespace ragwortpin::bench

#endif
