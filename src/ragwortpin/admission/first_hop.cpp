#include "ragwortpin/admission/first_hop.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace internal {

namespace {

/**
 * Largest admitted fraction of a rank that a shedding level sets, and the fraction from which the rank counts as fully admitted
 * once the target sheds nothing.
 */
constexpr double FullyAdmittedFraction{0.98};

/** Returns how far a level of the given age has relaxed: 0 if it applies unchanged, 1 if it sheds nothing any more. */
[[nodiscard]] double relaxedFraction(const first_hop_options &options, duration age) noexcept
{
    if (age <= options.holdTime) {
        return 0.0;
    }
    return std::min(1.0, toSeconds(age - options.holdTime) / toSeconds(options.relaxationTime));
}

[[nodiscard]] double thresholdOf(const shed_level &level, double current) noexcept
{
    if (level.rank == NoShedRank) {
        return std::floor(current) + 1.0;
    }
    return level.rank + std::min(level.probability, FullyAdmittedFraction);
}

[[nodiscard]] const observed_level *findLevel(const shed_level_cache &state, std::string_view route, std::string_view workspace) noexcept
{
    const auto levels = state.levels.find(route);
    if (levels == state.levels.end()) {
        return nullptr;
    }
    const auto level = levels->second.find(workspace);
    return level == levels->second.end() ? nullptr : &level->second;
}

[[nodiscard]] double passProbability(const observed_level &level, unsigned rank, double relaxed) noexcept
{
    const double observed{std::clamp(level.threshold - rank, 0.0, 1.0)};
    return observed + (1.0 - observed) * relaxed;
}

void mergeLevel(observed_level &observed, const shed_level &level, const first_hop_options &options, time_point now) noexcept
{
    const double decayedWeight{1.0 - std::exp(-toSeconds(now - observed.observedAt) / toSeconds(options.decayTime))};
    const double gain{std::max(options.minGain, decayedWeight)};
    observed.threshold += gain * (thresholdOf(level, observed.threshold) - observed.threshold);
    observed.observedAt = now;
}

[[nodiscard]] bool shedsNothing(const observed_level &observed, const shed_level &level) noexcept
{
    return level.rank == NoShedRank && observed.threshold - std::floor(observed.threshold) >= FullyAdmittedFraction;
}

} // namespace

} // namespace internal

void observeShedLevel(shed_level_cache &state, std::string_view route, std::string_view workspace, const shed_level &level, time_point now)
{
    auto levels = state.levels.find(route);
    if (levels == state.levels.end()) {
        if (level.rank == NoShedRank) {
            return;
        }
        levels = state.levels.emplace(std::string{route}, observed_level_table{}).first;
    }
    auto observed = levels->second.find(workspace);
    if (observed == levels->second.end()) {
        if (level.rank != NoShedRank) {
            levels->second.emplace(std::string{workspace}, observed_level{internal::thresholdOf(level, 0.0), now});
        }
        return;
    }
    internal::mergeLevel(observed->second, level, state.options, now);
    if (internal::shedsNothing(observed->second, level)) {
        levels->second.erase(observed);
    }
}

first_hop_decision admitAtFirstHop(const shed_level_cache &state,
                                   std::string_view route,
                                   std::string_view workspace,
                                   unsigned rank,
                                   double random,
                                   time_point now) noexcept
{
    const observed_level *level{internal::findLevel(state, route, workspace)};
    if (level == nullptr) {
        return first_hop_decision{true, 1.0};
    }
    const double relaxed{internal::relaxedFraction(state.options, now - level->observedAt)};
    const double probability{std::max(state.options.probeProbability, internal::passProbability(*level, rank, relaxed))};
    return first_hop_decision{random < probability, probability};
}

void removeRelaxedLevels(shed_level_cache &state, time_point now)
{
    for (auto &[route, levels] : state.levels) {
        std::erase_if(levels, [&](const auto &entry) {
            return internal::relaxedFraction(state.options, now - entry.second.observedAt) >= 1.0;
        });
    }
    std::erase_if(state.levels, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace ragwortpin
