#ifndef RAGWORTPIN_BENCH_FLEET_SCENARIOS_H
#define RAGWORTPIN_BENCH_FLEET_SCENARIOS_H

#include "bench/fleet/fleet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace ragwortpin::fleet_bench {

/** What a scenario of the fleet bench is run with. */
struct scenario_options
{
    fleet_options fleet;
    /** Repetitions of the event that a scenario measures. */
    std::size_t trials{20};
};

/** One figure that a scenario yields. */
struct figure
{
    std::string name;
    std::string unit;
    double value{0.0};
};

/** Seconds from publishing until a revision is in force at the last node. */
[[nodiscard]] std::vector<figure> measureRevisionSpread(const scenario_options &options);

/** Seconds until every node knows of a draining one. */
[[nodiscard]] std::vector<figure> measureDraining(const scenario_options &options);

/** Bytes, store calls, processor time, memory and wrong suspicions under the ordinary changes of the design size. */
[[nodiscard]] std::vector<figure> measureSteadyState(const scenario_options &options);

/** Seconds until killed nodes are removed everywhere, and what short pauses do. */
[[nodiscard]] std::vector<figure> measureDetection(const scenario_options &options);

/** Seconds until all nodes know each other after a cut of one availability zone, and after a start of all at once. */
[[nodiscard]] std::vector<figure> measureMerging(const scenario_options &options);

} // namespace ragwortpin::fleet_bench

#endif
