#ifndef RAGWORTPIN_ADMISSION_DEMAND_H
#define RAGWORTPIN_ADMISSION_DEMAND_H

#include "ragwortpin/admission/fwd.h"
#include "ragwortpin/admission/shed_level.h"
#include "ragwortpin/core/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Work that one workspace asked of a target at one rank. */
struct workspace_demand
{
    std::string workspace;
    unsigned rank{0};
    double weight{1.0};
    /** Work asked in the running interval, in seconds of service time. */
    double arriving{0.0};
    /** Work that came in the running interval, and its smoothed rate, in seconds of service time (a second). */
    double coming{0.0};
    double comingRate{0.0};
    /** Smoothed work asked a second, in seconds of service time, before any first hop thinned it out. */
    double rate{0.0};
    /** Share of the demand that the target would take. */
    double probability{1.0};

    bool operator==(const workspace_demand &) const = default;
};

/** Estimate of the demand on a target and of the share of it that fits. */
struct demand_estimate
{
    /** Sorted by rank, then workspace. */
    std::vector<workspace_demand> demands;
    time_point intervalStart{};
    /** Smoothed work of one request in seconds of service time. */
    double meanWork{0.0};
    /** Rank of which a part is taken; NoShedRank when all is taken. */
    unsigned marginalRank{NoShedRank};
    /** Factor on the part of the marginal rank that keeps what arrives at the capacity, although clients retry and levels are old. */
    double correction{1.0};

    bool operator==(const demand_estimate &) const = default;
};

/**
 * Records the work of one arriving request. The work counts 1 / admitProbability times, for the requests that a first hop
 * refused on behalf of this target; so the estimate does not depend on the levels that are in force.
 */
void observeDemand(
    demand_estimate &state, std::string_view workspace, unsigned rank, double weight, double workSeconds, double admitProbability);

/** Closes the interval if it is over and shares the capacity (seconds of service time a second) out: by rank, then by weight. */
void updateDemand(demand_estimate &state, double capacity, time_point now);

/** Returns what the target would take of a workspace, as of the last update. */
[[nodiscard]] shed_level levelOf(const demand_estimate &state, std::string_view workspace) noexcept;

} // namespace ragwortpin

#endif
