#ifndef RAGWORTPIN_OVERLOAD_PLAN_H
#define RAGWORTPIN_OVERLOAD_PLAN_H

#include "ragwortpin/config/lookup.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/overload/call_graph.h"
#include "ragwortpin/overload/fwd.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortpin {

/** Rate of external requests of one route and rank that arrive at first hops. */
struct route_demand
{
    std::uint32_t route{0};
    unsigned rank{0};
    double requestsPerSecond{0.0};

    bool operator==(const route_demand &) const = default;
};

/** Concurrency limit, running requests and queued requests of one service, summed over the targets of all its instances. */
struct service_load
{
    double limit{0.0};
    double running{0.0};
    double queued{0.0};

    bool operator==(const service_load &) const = default;
};

/** Profile of a route at the targets of one service. */
struct service_profile
{
    std::string service;
    route_profile profile;

    bool operator==(const service_profile &) const = default;
};

/** A node's view of the load of the whole fleet. */
struct fleet_load
{
    std::map<std::string, service_load, std::less<>> services;
    std::vector<service_profile> profiles;
    std::vector<route_demand> demands;

    bool operator==(const fleet_load &) const = default;
};

/** Fraction of the requests that first hops admit, by route and rank. */
struct admission_plan
{
    struct key
    {
        std::uint32_t route{0};
        unsigned rank{0};

        bool operator==(const key &) const = default;
        [[nodiscard]] bool operator<(const key &other) const noexcept
        {
            return route != other.route ? route < other.route : rank < other.rank;
        }
    };
    /** All requests of a route and rank without an entry are admitted. */
    std::map<key, double> admittedFractions;

    bool operator==(const admission_plan &) const = default;
};

/** State that planning keeps between updates. */
struct plan_state
{
    /**
     * Factor on the slots of each overloaded service that gives the capacity to plan with. It is decreased while requests still
     * queue although less work was planned.
     */
    std::map<std::string, double, std::less<>> capacityFactors;
    admission_plan plan;
    /**
     * Sum of the planned fractions of the requests so far, less the requests admitted, by route and rank. A request is admitted when it
     * reaches 1.
     */
    std::map<admission_plan::key, double> admissionCredits;
};

/** Slot time that one request and the calls behind it use at each service, in seconds. */
using service_costs = std::map<std::string, double, std::less<>>;

/** Returns the cost of one request of a route, computed from the profiles of the route and of the routes that its runs call. */
[[nodiscard]] service_costs costOf(const configuration_index &index, const fleet_load &picture, const route &definition);

/** Number or rate of requests by service. */
using service_arrivals = std::map<std::string, double, std::less<>>;

/** Returns how many requests arrive at each service for one request of a route, including the calls behind it, from the same profiles. */
[[nodiscard]] service_arrivals arrivalsOf(const configuration_index &index, const fleet_load &picture, const route &definition);

/** Returns the external requests per second whose routes lead to each service. */
[[nodiscard]] service_arrivals demandByService(const configuration_index &index, const fleet_load &picture);

/**
 * Computes the fractions of requests that first hops admit, so that no overloaded service gets more work than its slots can process.
 * The capacity is assigned to more important ranks first and, within a rank, to more important routes first. If only a part of the
 * requests of equal importance fits, the same fraction is admitted of each route that needs the service. Routes that do not need an
 * overloaded service are not limited.
 */
void updatePlan(plan_state &state, const configuration_index &index, const fleet_load &picture);

/** Returns whether to admit a request. The planned fraction of every sequence of requests is admitted, to within one request. */
[[nodiscard]] bool admitByPlan(plan_state &state, std::uint32_t route, unsigned rank);

} // namespace ragwortpin

#endif
