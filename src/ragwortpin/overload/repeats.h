#ifndef RAGWORTPIN_OVERLOAD_REPEATS_H
#define RAGWORTPIN_OVERLOAD_REPEATS_H

#include "ragwortpin/config/lookup.h"
#include "ragwortpin/overload/fwd.h"
#include "ragwortpin/overload/plan.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** A request to be sent again, to another target, after it arrived at one. */
struct repeat_request
{
    std::string route;
    /** Whether the target refused to run the request, so that the request made no calls of its own. */
    bool isNotRun{false};
    /** Whether the target ran the request and answered that it failed. */
    bool failedAtTarget{false};

    bool operator==(const repeat_request &) const = default;
};

/** Limit of the requests that the whole fleet may send to a service again, within any window of 10 s. */
struct repeat_limits
{
    /** Fraction of the external requests whose route leads to the service. */
    double part{0.0};
    /** Number of requests allowed in addition to that fraction. */
    double requests{0.0};

    bool operator==(const repeat_limits &) const = default;
};

/** Returns the name of the shared bucket for requests that are sent to a service again. No workspace has such a name. */
[[nodiscard]] std::string repeatBucket(std::string_view service);

/**
 * Returns a bucket for each service, whose rate and burst are computed from the current external demand so that the limits hold over
 * any window of 10 s.
 */
[[nodiscard]] std::vector<workspace>
repeatBuckets(const configuration_index &index, const fleet_load &picture, const repeat_limits &limits);

/**
 * Returns the number of tokens by service that sending a request again takes: one for each arrival of the request and of the calls
 * that its run makes. Empty if the request must not be sent again, because its route is unknown, or because its run failed and makes
 * calls. In the latter case, most likely one of the calls failed and was already sent again by the hop that made it.
 */
[[nodiscard]] std::map<std::string, std::size_t>
repeatCosts(const configuration_index &index, const fleet_load &picture, const repeat_request &request);

} // namespace ragwortpin

#endif
