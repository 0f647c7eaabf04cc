#ifndef RAGWORTPIN_ADMISSION_SHED_LEVEL_H
#define RAGWORTPIN_ADMISSION_SHED_LEVEL_H

#include "ragwortpin/admission/fwd.h"

#include <limits>

namespace ragwortpin {

/** Rank of a shed level that sheds nothing. */
inline constexpr unsigned NoShedRank{std::numeric_limits<unsigned>::max()};

/**
 * What a target would take of one workspace. Requests more important than the rank are all taken, those of the rank
 * with the given probability, and less important ones only as rare probes. Travels up the chain with every answer.
 */
struct shed_level
{
    unsigned rank{NoShedRank};
    /** Share of the rank's requests that is taken, from 0 to 1. */
    double probability{1.0};

    bool operator==(const shed_level &) const = default;
};

/** Returns the level that takes less; a node merges its own with those of the answers it received. */
[[nodiscard]] constexpr shed_level strictest(const shed_level &left, const shed_level &right) noexcept
{
    if (left.rank != right.rank) {
        return left.rank < right.rank ? left : right;
    }
    return left.probability <= right.probability ? left : right;
}

} // namespace ragwortpin

#endif
