#ifndef RAGWORTPIN_CALLERS_SPLIT_H
#define RAGWORTPIN_CALLERS_SPLIT_H

#include "ragwortpin/callers/fwd.h"
#include "ragwortpin/config/model.h"
#include "ragwortpin/core/string_hash.h"

#include <string>
#include <vector>

namespace ragwortpin {

/** Requests that each part of one route's split is owed, in requests; the parts sum to zero between two choices. */
struct split_credit
{
    std::vector<weighted_service> parts;
    std::vector<double> owed;

    bool operator==(const split_credit &) const = default;
};

/** Credits of all routes with a split, by route. */
struct split_state
{
    string_table<split_credit> routes;

    bool operator==(const split_state &) const = default;
};

/**
 * Chooses the service of the next request of a route by smooth weighted round robin, so that every run of requests is shared
 * out by weight to within one request a part. The random number in [0, 1) shifts where a changed split begins, so that nodes
 * do not start with the same part. A route without a split has its own service.
 */
[[nodiscard]] const std::string &chooseService(split_state &state, const route &definition, double random);

} // namespace ragwortpin

#endif
