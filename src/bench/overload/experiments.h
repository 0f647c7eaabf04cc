#ifndef RAGWORTPIN_BENCH_OVERLOAD_EXPERIMENTS_H
#define RAGWORTPIN_BENCH_OVERLOAD_EXPERIMENTS_H

#include "bench/overload/report.h"
#include "bench/overload/scenario.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace ragwortpin::bench {

/** What an experiment runs on. */
struct experiment_input
{
    std::vector<deployment> places;
    std::uint64_t seed{1};
};

/** An experiment by its name on the command line. */
struct experiment
{
    std::string_view name;
    report (*run)(const experiment_input &input);
};

/** Goodput, requests of rank 0 and wasted work at 1, 2, 5 and 10 times the capacity, under every policy. */
[[nodiscard]] report runGoodput(const experiment_input &input);

/** The same under the product's decisions alone, for a quick look. */
[[nodiscard]] report runControlledGoodput(const experiment_input &input);

/** Recovery after the deepest service was slow for ten seconds, with clients that retry hard. */
[[nodiscard]] report runMetastable(const experiment_input &input);

/** Requests lost to a cold start, a wrong load report, a hanging target, a leaving one and the loss of a zone's targets. */
[[nodiscard]] report runFaults(const experiment_input &input);

/** The worst-served workspace while another one sends ten times its rate. */
[[nodiscard]] report runFairness(const experiment_input &input);

/** Attempts at the deepest service for one request when every hop fails. */
[[nodiscard]] report runAttempts(const experiment_input &input);

/** Wall-clock cost of one decision on admission and one on routing. */
[[nodiscard]] report runCost(const experiment_input &input);

/** Returns all experiments. */
[[nodiscard]] std::span<const experiment> allExperiments() noexcept;

} // namespace ragwortpin::bench

#endif
