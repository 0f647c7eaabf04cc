#ifndef RAGWORTPIN_BENCH_OVERLOAD_EXPERIMENTS_H
#define RAGWORTPIN_BENCH_OVERLOAD_EXPERIMENTS_H

#include "bench/overload/report.h"
#include "bench/overload/scenario.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace ragwortpin::bench {

/** Deployments and random seed of an experiment. */
struct experiment_input
{
    std::vector<deployment_spec> deployments;
    std::uint64_t seed{1};
};

/** An experiment and its name on the command line. */
struct experiment
{
    std::string_view name;
    report (*run)(const experiment_input &input);
};

/** Measures goodput, answered requests of rank 0 and wasted work at 1, 2, 5 and 10 times the capacity under every policy. */
[[nodiscard]] report runGoodput(const experiment_input &input);

/** Runs the goodput experiment under `control_policy::Full` only, which is faster than all policies. */
[[nodiscard]] report runFullPolicyGoodput(const experiment_input &input);

/** Measures the recovery after the deepest service was slow for ten seconds and clients made up to ten retries each. */
[[nodiscard]] report runMetastable(const experiment_input &input);

/** Measures the answers lost to a cold start, a false load report, a hanging target, a draining target and a zone outage. */
[[nodiscard]] report runFaults(const experiment_input &input);

/** Measures the answers that the worst-served workspace gets while another one sends ten times its rate. */
[[nodiscard]] report runFairness(const experiment_input &input);

/** Measures the attempts at the deepest service per request if that service always fails and every other hop fails for one call in five. */
[[nodiscard]] report runAttempts(const experiment_input &input);

/** Measures the wall-clock cost of one admission, routing or first-hop decision. */
[[nodiscard]] report runCost(const experiment_input &input);

/** Returns all experiments. */
[[nodiscard]] std::span<const experiment> allExperiments() noexcept;

} // namespace ragwortpin::bench

#endif
