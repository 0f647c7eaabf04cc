#include "ragwortpin/overload/repeats.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace {

/** Window over which the limits of repeats apply, in seconds. */
constexpr double CountingWindow{10.0};

/**
 * Fractions of the limits that the buckets are computed from. Of the limit that is a fraction of the requests, most is used; the rest
 * is a margin, since requests are counted where they arrive and repeats where they are sent. Of the limit that is a number of
 * requests, one portion is the burst and another one refills the bucket over the window, also without any external requests. Both
 * portions can be spent within one window; together they are nine tenths.
 */
constexpr double PlannedDemandFraction{0.9};
constexpr double PlannedBurstFraction{0.6};
constexpr double PlannedRefillFraction{0.3};

/** Arrivals at a service per request up to which they are ignored, as calls that were attributed to the wrong route. */
constexpr double NegligibleArrivals{0.1};

const route *findDefinition(const configuration_index &index, std::string_view name)
{
    const auto found = std::find_if(index.routes.begin(), index.routes.end(), [name](const indexed_route &item) {
        return item.definition.name == name;
    });
    return found == index.routes.end() ? nullptr : &found->definition;
}

double totalOf(const service_arrivals &arrivals)
{
    double total{0.0};
    for (const auto &[service, count] : arrivals) {
        total += count;
    }
    return total;
}

} // namespace

std::string repeatBucket(std::string_view service)
{
    return "repeats at " + std::string{service};
}

std::vector<workspace> repeatBuckets(const configuration_index &index, const fleet_load &picture, const repeat_limits &limits)
{
    const auto demand = demandByService(index, picture);
    std::vector<workspace> buckets;
    for (const auto &item : index.value.services) {
        const auto found = demand.find(item.name);
        const double perSecond{found == demand.end() ? 0.0 : found->second};
        buckets.push_back(
            {.name = repeatBucket(item.name),
             .rate = PlannedDemandFraction * limits.part * perSecond + PlannedRefillFraction * limits.requests / CountingWindow,
             .burst = PlannedBurstFraction * limits.requests});
    }
    return buckets;
}

std::map<std::string, std::size_t> repeatCosts(const configuration_index &index, const fleet_load &picture, const repeat_request &request)
{
    const auto *definition = findDefinition(index, request.route);
    if (definition == nullptr) {
        return {};
    }
    const auto arrivals = arrivalsOf(index, request.isNotRun ? fleet_load{} : picture, *definition);
    const bool makesCalls{totalOf(arrivals) > 1.0 + NegligibleArrivals};
    std::map<std::string, std::size_t> costs;
    if (request.failedAtTarget && makesCalls) {
        return costs;
    }
    for (const auto &[service, count] : arrivals) {
        if (count > NegligibleArrivals) {
            costs.emplace(service, static_cast<std::size_t>(std::ceil(count - NegligibleArrivals)));
        }
    }
    return costs;
}

} // namespace ragwortpin
