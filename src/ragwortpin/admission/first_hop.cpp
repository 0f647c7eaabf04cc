#include "ragwortpin/admission/first_hop.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace internal {

namespace {

/** Part of a rank that counts as the whole rank once nothing is shed any more. */
constexpr double NearlyWhole{0.98};

/** Returns the part of the way back to shedding nothing that a level of this age has gone. */
[[nodiscard]] double relaxation(const first_hop_options &options, duration age) noexcept
{
    if (age <= options.hold) {
        return 0.0;
    }
    return std::min(1.0, toSeconds(age - options.hold) / toSeconds(options.relax));
}

[[nodiscard]] double cursorOf(const shed_level &level, double current) noexcept
{
    if (level.rank == NoShedRank) {
        return std::floor(current) + 1.0;
    }
    return level.rank + std::min(level.probability, NearlyWhole);
}

[[nodiscard]] const heard_level *findLevel(const shed_memory &state, std::string_view route, std::string_view workspace) noexcept
{
    const auto levels = state.levels.find(route);
    if (levels == state.levels.end()) {
        return nullptr;
    }
    const auto level = levels->second.find(workspace);
    return level == levels->second.end() ? nullptr : &level->second;
}

[[nodiscard]] double passProbability(const heard_level &level, unsigned rank, double relaxed) noexcept
{
    const double heard{std::clamp(level.cursor - rank, 0.0, 1.0)};
    return heard + (1.0 - heard) * relaxed;
}

void mergeLevel(heard_level &heard, const shed_level &level, const first_hop_options &options, time_point now) noexcept
{
    const double faded{1.0 - std::exp(-toSeconds(now - heard.heardAt) / toSeconds(options.memory))};
    const double gain{std::max(options.smoothing, faded)};
    heard.cursor += gain * (cursorOf(level, heard.cursor) - heard.cursor);
    heard.heardAt = now;
}

[[nodiscard]] bool shedsNothing(const heard_level &heard, const shed_level &level) noexcept
{
    return level.rank == NoShedRank && heard.cursor - std::floor(heard.cursor) >= NearlyWhole;
}

} // namespace

} // namespace internal

void observeShedLevel(shed_memory &state, std::string_view route, std::string_view workspace, const shed_level &level, time_point now)
{
    auto levels = state.levels.find(route);
    if (levels == state.levels.end()) {
        if (level.rank == NoShedRank) {
            return;
        }
        levels = state.levels.emplace(std::string{route}, heard_levels{}).first;
    }
    auto heard = levels->second.find(workspace);
    if (heard == levels->second.end()) {
        if (level.rank != NoShedRank) {
            levels->second.emplace(std::string{workspace}, heard_level{internal::cursorOf(level, 0.0), now});
        }
        return;
    }
    internal::mergeLevel(heard->second, level, state.options, now);
    if (internal::shedsNothing(heard->second, level)) {
        levels->second.erase(heard);
    }
}

first_hop_decision admitAtFirstHop(
    const shed_memory &state, std::string_view route, std::string_view workspace, unsigned rank, double random, time_point now) noexcept
{
    const heard_level *level{internal::findLevel(state, route, workspace)};
    if (level == nullptr) {
        return first_hop_decision{true, 1.0};
    }
    const double relaxed{internal::relaxation(state.options, now - level->heardAt)};
    const double probability{std::max(state.options.probeProbability, internal::passProbability(*level, rank, relaxed))};
    return first_hop_decision{random < probability, probability};
}

void forgetRelaxed(shed_memory &state, time_point now)
{
    for (auto &[route, levels] : state.levels) {
        std::erase_if(levels, [&](const auto &entry) {
            return internal::relaxation(state.options, now - entry.second.heardAt) >= 1.0;
        });
    }
    std::erase_if(state.levels, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace ragwortpin
