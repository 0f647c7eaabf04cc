#ifndef RAGWORTPIN_BENCH_FLEET_SCENARIOS_H
#define RAGWORTPIN_BENCH_FLEET_SCENARIOS_H

#include "bench/fleet/fleet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortpin::fleet_bench {

/** Options of a scenario. */
struct scenario_options
{
    fleet_options fleet;
    /** Repetitions of the event that a scenario measures. */
    std::size_t trials{20};
};

/** A result of a scenario. */
struct figure
{
    std::string name;
    std::string unit;
    double value{0.0};
};

/** Measures the seconds from the publication of a revision until it is in force at half of the nodes and at all of them. */
[[nodiscard]] std::vector<figure> measureRevisionSpread(const scenario_options &options);

/** Measures the seconds until every node has the draining state of a node in its member table. */
[[nodiscard]] std::vector<figure> measureDraining(const scenario_options &options);

/**
 * Measures bytes, store calls, processor time, memory and false suspicions while revisions are published at the rate of the design
 * size and one node is draining.
 */
[[nodiscard]] std::vector<figure> measureSteadyState(const scenario_options &options);

/** Measures the seconds until killed nodes are detected by the first and by all nodes, and the suspicions caused by short pauses. */
[[nodiscard]] std::vector<figure> measureDetection(const scenario_options &options);

/**
 * Measures the seconds until the member tables of all nodes are complete after a cut of one availability zone and after a
 * simultaneous start of all nodes.
 */
[[nodiscard]] std::vector<figure> measureMerging(const scenario_options &options);

} // namespace ragwortpin::fleet_bench

#endif
