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

/** A request that shall be sent to another target although it arrived at one. */
struct repeat_request
{
    std::string route;
    /** Whether the target refused to run it, so that it made no calls of its own. */
    bool isNotRun{false};
    /** Whether the target ran it and answered that it failed. */
    bool failedAtTarget{false};

    bool operator==(const repeat_request &) const = default;
};

/** Requests that the whole fleet may send to a service again, within the window in which its users count them. */
struct repeat_limits
{
    /** Part of the requests from outside whose route leads to the service. */
    double part{0.0};
    /** Requests beyond that part. */
    double requests{0.0};

    bool operator==(const repeat_limits &) const = default;
};

/** Name of the shared bucket for requests that are sent to a service again. No workspace has such a name. */
[[nodiscard]] std::string repeatBucket(std::string_view service);

/**
 * Works out the rate and burst of each service's bucket so that the limits hold over any window of 10 s, from the requests that
 * arrive from outside at present.
 */
[[nodiscard]] std::vector<workspace>
repeatBuckets(const configuration_index &index, const load_picture &picture, const repeat_limits &limits);

/**
 * Works out what sending a request again takes from the buckets, in tokens by service: one for each arrival of the request and of
 * the calls that its run makes. Nothing where it shall not be sent again: its route is not known, or its run failed and makes calls.
 * In the latter case one of the calls failed, most likely, and was sent again where it did.
 */
[[nodiscard]] std::map<std::string, std::size_t>
repeatCosts(const configuration_index &index, const load_picture &picture, const repeat_request &request);

} // namespace ragwortpin

#endif
