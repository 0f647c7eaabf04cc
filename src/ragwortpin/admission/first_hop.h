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

/** Level heard of one route and workspace. */
struct heard_level
{
    /** Rank plus probability, smoothed over the answers of different instances. */
    double cursor{0.0};
    time_point heardAt{};

    bool operator==(const heard_level &) const = default;
};

/** Shed levels heard by workspace, of one route. */
using heard_levels = string_table<heard_level>;

/** Settings of the refusal at the first hop. */
struct first_hop_options
{
    /** Weight of a new answer against what was heard before. */
    double smoothing{0.3};
    /** Time over which what was heard before loses its weight. */
    duration memory{milliseconds{150}};
    /** Age up to which a level is taken as it was heard. */
    duration hold{milliseconds{2000}};
    /** Time over which an older level relaxes to shedding nothing. */
    duration relax{milliseconds{4000}};
    /** Share of requests that is always let pass, to keep the levels current. */
    double probeProbability{1.0 / 2048.0};

    bool operator==(const first_hop_options &) const = default;
};

/** What a first hop remembers of the levels that came up with answers, by route (or service) and workspace. */
struct shed_memory
{
    first_hop_options options;
    string_table<heard_levels> levels;

    bool operator==(const shed_memory &) const = default;
};

/** Decision of the first hop. */
struct first_hop_decision
{
    bool admitted{true};
    /** Probability that the decision was drawn with; carried with an admitted request as admitProbability. */
    double probability{1.0};

    bool operator==(const first_hop_decision &) const = default;
};

/** Records the level that an answer of the route carried for the workspace, refusals included. */
void observeShedLevel(shed_memory &state, std::string_view route, std::string_view workspace, const shed_level &level, time_point now);

/** Decides for new work, with a random value from [0, 1). A refusal here is overloaded and not run. */
[[nodiscard]] first_hop_decision admitAtFirstHop(
    const shed_memory &state, std::string_view route, std::string_view workspace, unsigned rank, double random, time_point now) noexcept;

/** Forgets levels that have relaxed wholly. To be called every few seconds. */
void forgetRelaxed(shed_memory &state, time_point now);

} // namespace ragwortpin

#endif
