#ifndef RAGWORTPIN_ADMISSION_SHED_LEVEL_H
#define RAGWORTPIN_ADMISSION_SHED_LEVEL_H

#include "ragwortpin/admission/fwd.h"

#include <limits>

namespace ragwortpin {

/** Rank of a shed level at which nothing is shed. */
inline constexpr unsigned NoShedRank{std::numeric_limits<unsigned>::max()};

/**
 * Which requests of one workspace a target admits. Requests more important than the rank are all admitted, those of the rank
 * with the given probability, and less important ones only as rare probes. Sent upstream with every response.
 */
struct shed_level
{
    unsigned rank{NoShedRank};
    /** Fraction of the rank's requests that is admitted, from 0 to 1. */
    double probability{1.0};

    bool operator==(const shed_level &) const = default;
};

/** Returns the level that admits less. A node uses it to merge its own level with those of the responses that it received. */
[[nodiscard]] constexpr shed_level strictest(const shed_level &left, const shed_level &right) noexcept
{
    if (left.rank != right.rank) {
        return left.rank < right.rank ? left : right;
    }
    return left.probability <= right.probability ? left : right;
}

} // namespace ragwortpin

#endif
