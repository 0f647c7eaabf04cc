#include "ragwortpin/overload/repeats.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin {

namespace {

/** Window in which repeats are counted, in seconds. */
constexpr double Window{10.0};

/**
 * How the allowed repeats are planned for: of the part of requests most is used, the rest covers that they are counted where they
 * arrive and repeats where they are sent. What is allowed beyond is kept as burst, but for a portion that refills a bucket also
 * where no requests come from outside. Within a window both portions are spent at most, nine tenths together.
 */
constexpr double PlannedPart{0.9};
constexpr double PlannedBurst{0.6};
constexpr double PlannedRefill{0.3};

/** Arrivals at a service, for one request, below which they are calls attributed wrongly. */
constexpr double NegligibleArrivals{0.1};

const route *findDefinition(const configuration_index &index, std::string_view name)
{
    const auto found = std::find_if(index.routes.begin(), index.routes.end(), [name](const indexed_route &item) {
        return item.definition.name == name;
    });
    return found == index.routes.end() ? nullptr : &found->definition;
}

double sum(const service_arrivals &arrivals)
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

std::vector<workspace> repeatBuckets(const configuration_index &index, const load_picture &picture, const repeat_limits &limits)
{
    const auto demand = demandByService(index, picture);
    std::vector<workspace> buckets;
    for (const auto &item : index.value.services) {
        const auto found = demand.find(item.name);
        const double perSecond{found == demand.end() ? 0.0 : found->second};
        buckets.push_back({.name = repeatBucket(item.name),
                           .rate = PlannedPart * limits.part * perSecond + PlannedRefill * limits.requests / Window,
                           .burst = PlannedBurst * limits.requests});
    }
    return buckets;
}

std::map<std::string, std::size_t> repeatCosts(const configuration_index &index, const load_picture &picture, const repeat_request &request)
{
    const auto *definition = findDefinition(index, request.route);
    if (definition == nullptr) {
        return {};
    }
    const auto arrivals = arrivalsOf(index, request.isNotRun ? load_picture{} : picture, *definition);
    const bool makesCalls{sum(arrivals) > 1.0 + NegligibleArrivals};
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
