#include "bench/overload/experiments.h"

namespace ragwortpin::bench {

namespace {

constexpr experiment Experiments[]{
    {"goodput", runGoodput},
    {"goodput-full", runFullPolicyGoodput},
    {"metastable", runMetastable},
    {"faults", runFaults},
    {"fairness", runFairness},
    {"attempts", runAttempts},
    {"cost", runCost},
};

} // namespace

std::span<const experiment> allExperiments() noexcept
{
    return Experiments;
}

} // namespace ragwortpin::bench
