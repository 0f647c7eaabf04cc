#ifndef RAGWORTPIN_ADMISSION_DEMAND_H
#define RAGWORTPIN_ADMISSION_DEMAND_H

#include "ragwortpin/admission/fwd.h"
#include "ragwortpin/admission/shed_level.h"
#include "ragwortpin/core/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Work that one workspace requests from a target at one importance rank. */
struct workspace_demand
{
    std::string workspace;
    unsigned rank{0};
    double weight{1.0};
    /** Work offered in the current interval, in seconds of service time, including estimated work that first hops shed. */
    double offeredWork{0.0};
    /** Work that arrived at the target in the current interval, in seconds of service time. */
    double arrivedWork{0.0};
    /** Smoothed rate of arrivedWork, in seconds of service time per second. */
    double arrivalRate{0.0};
    /** Smoothed rate of offeredWork, that is before shedding at first hops, in seconds of service time per second. */
    double offeredRate{0.0};
    /** Fraction of the demand that the target admits. */
    double probability{1.0};

    bool operator==(const workspace_demand &) const = default;
};

/** Estimate of the demand on a target and of the fraction of it that fits the capacity. */
struct demand_estimate
{
    /** Sorted by rank, then workspace. */
    std::vector<workspace_demand> demands;
    time_point intervalStart{};
    /** Smoothed work of one request, in seconds of service time. */
    double meanWork{0.0};
    /** Rank that is admitted in part; NoShedRank if everything is admitted. */
    unsigned marginalRank{NoShedRank};
    /**
     * Factor on the admitted part of the marginal rank. It keeps the arriving work at the capacity although clients retry and
     * first hops act on outdated levels.
     */
    double correctionFactor{1.0};

    bool operator==(const demand_estimate &) const = default;
};

/**
 * Records the work of one arriving request. The work is multiplied by 1 / admitProbability to account for the requests that
 * first hops refused on behalf of this target, so that the estimate does not depend on the shed levels in force.
 */
void observeDemand(
    demand_estimate &state, std::string_view workspace, unsigned rank, double weight, double workSeconds, double admitProbability);

/**
 * Ends the interval if it is over and distributes the capacity, in seconds of service time per second: by rank, then by weight
 * within a rank.
 */
void updateDemand(demand_estimate &state, double capacity, time_point now);

/** Returns the shed level of a workspace as of the last update. */
[[nodiscard]] shed_level findShedLevel(const demand_estimate &state, std::string_view workspace) noexcept;

} // namespace ragwortpin

#endif
