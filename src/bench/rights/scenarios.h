#ifndef RAGWORTPIN_BENCH_RIGHTS_SCENARIOS_H
#define RAGWORTPIN_BENCH_RIGHTS_SCENARIOS_H

#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

namespace ragwortpin::bench {

/** A measurement of the rate limiter that writes a table. */
struct rights_scenario
{
    std::string_view name;
    void (*run)(std::uint64_t seed, std::ostream &out);
};

/** All measurements in the order in which they run. */
[[nodiscard]] const std::vector<rights_scenario> &rightsScenarios();

/** Callers spread evenly, at one zone, at one node, and moving, with baselines. */
void measureSkew(std::uint64_t seed, std::ostream &out);

/** A cut between availability zones and a store outage. */
void measureFaults(std::uint64_t seed, std::ostream &out);

/** Crashes without replacement at 16 nodes for several lapses. */
void measureLapse(std::uint64_t seed, std::ostream &out);

/** Restarts and crashes at the size to design for. */
void measureDesignSize(std::uint64_t seed, std::ostream &out);

/** Processor time of the functions on the data path and of a tick. */
void measureCost(std::uint64_t seed, std::ostream &out);

} // namespace ragwortpin::bench

#endif
