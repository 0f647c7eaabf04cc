#ifndef RAGWORTPIN_ADMISSION_FIRST_HOP_H
#define RAGWORTPIN_ADMISSION_FIRST_HOP_H

#include "ragwortpin/admission/fwd.h"
#include "ragwortpin/admission/shed_level.h"
#include "ragwortpin/core/string_hash.h"
#include "ragwortpin/core/time.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ragwortpin {

/** Shed level received for one route and workspace. */
struct observed_level
{
    /** Rank plus probability, smoothed over the responses of different instances. Ranks up to threshold - 1 are fully admitted. */
    double threshold{0.0};
    time_point observedAt{};

    bool operator==(const observed_level &) const = default;
};

/** Received shed levels of one route, by workspace. */
using observed_level_table = string_map<observed_level>;

/** Settings of load shedding at the first hop. */
struct first_hop_options
{
    /** Minimum weight of a new level relative to the stored one. */
    double minGain{0.3};
    /** Time constant with which the weight of the stored level decays until the next response. */
    duration decayTime{milliseconds{150}};
    /** Age up to which a level is applied unchanged. */
    duration holdTime{milliseconds{2000}};
    /** Time after the hold time over which a level relaxes linearly to shedding nothing. */
    duration relaxationTime{milliseconds{4000}};
    /** Minimum fraction of requests that is admitted, so that their responses keep the levels current. */
    double probeProbability{1.0 / 2048.0};

    bool operator==(const first_hop_options &) const = default;
};

/** Shed levels that a first hop received with responses, by route (or service) and workspace. */
struct shed_level_cache
{
    first_hop_options options;
    string_map<observed_level_table> levels;

    bool operator==(const shed_level_cache &) const = default;
};

/** Decision of a first hop on a request. */
struct first_hop_decision
{
    bool admitted{true};
    /** Probability of admission; sent with an admitted request as admitProbability. */
    double probability{1.0};

    bool operator==(const first_hop_decision &) const = default;
};

/** Records the shed level that a response of the route, which may be a refusal, carried for the workspace. */
void observeShedLevel(shed_level_cache &state, std::string_view route, std::string_view workspace, const shed_level &level, time_point now);

/** Decides on new work, using a random value from [0, 1). A request refused here is reported as overloaded and not run. */
[[nodiscard]] first_hop_decision admitAtFirstHop(const shed_level_cache &state,
                                                 std::string_view route,
                                                 std::string_view workspace,
                                                 unsigned rank,
                                                 double random,
                                                 time_point now) noexcept;

/** Removes levels that have fully relaxed. Call it every few seconds. */
void removeRelaxedLevels(shed_level_cache &state, time_point now);

} // namespace ragwortpin

#endif
