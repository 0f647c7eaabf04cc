#ifndef RAGWORTPIN_RUNTIME_LINE_LIMIT_H
#define RAGWORTPIN_RUNTIME_LINE_LIMIT_H

#include "ragwortpin/core/time.h"

#include <cstdint>
#include <optional>

namespace ragwortpin {

/** Log lines of one event that others cause. */
struct line_limit
{
    /** Begin of the period in which lines are counted. */
    time_point periodStart{};
    unsigned written{0};
    /** Lines that were left out since the last one that was written. */
    std::uint64_t leftOut{0};

    bool operator==(const line_limit &) const = default;
};

/** Period, and the number of lines of one event that are written in each. */
inline constexpr seconds LinePeriod{10};
inline constexpr unsigned MaxLinesPerPeriod{5};

/** Returns how many lines were left out before this one if it is to be written; nothing if it is to be left out too. */
[[nodiscard]] std::optional<std::uint64_t> admitLine(line_limit &limit, time_point now) noexcept;

} // namespace ragwortpin

#endif
