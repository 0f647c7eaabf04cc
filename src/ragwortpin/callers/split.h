#ifndef RAGWORTPIN_CALLERS_SPLIT_H
#define RAGWORTPIN_CALLERS_SPLIT_H

#include "ragwortpin/callers/fwd.h"
#include "ragwortpin/config/model.h"
#include "ragwortpin/core/string_hash.h"

#include <string>
#include <vector>

namespace ragwortpin {

/** Smooth weighted round robin state of one route's traffic split. */
struct route_split_state
{
    std::vector<weighted_service> parts;
    /** Current weight of each part, in requests; the sum is zero between two choices. */
    std::vector<double> currentWeights;

    bool operator==(const route_split_state &) const = default;
};

/** State of all routes with a traffic split, by route name. */
struct split_state
{
    string_map<route_split_state> routes;

    bool operator==(const split_state &) const = default;
};

/**
 * Returns the service for the next request of a route. Uses smooth weighted round robin, so that every sequence of requests is
 * distributed by weight to within one request per part. The random number in [0, 1) determines the position at which a changed
 * split begins, so that nodes do not all start with the same part. Returns the route's own service if it has no split.
 */
[[nodiscard]] const std::string &chooseService(split_state &state, const route &definition, double random);

} // namespace ragwortpin

#endif
