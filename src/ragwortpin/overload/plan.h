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

/** Requests from outside that arrive at first hops, by route and rank. */
struct route_demand
{
    std::uint32_t route{0};
    unsigned rank{0};
    double perSecond{0.0};

    bool operator==(const route_demand &) const = default;
};

/** What the targets of one service can do and what waits for them, over all its instances. */
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

/** Everything that a node knows of the load of the fleet. */
struct load_picture
{
    std::map<std::string, service_load, std::less<>> services;
    std::vector<service_profile> profiles;
    std::vector<route_demand> demands;

    bool operator==(const load_picture &) const = default;
};

/** Part of the requests of each route and rank that first hops pass. */
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
    /** Absent ones pass whole. */
    std::map<key, double> parts;

    bool operator==(const admission_plan &) const = default;
};

/** What planning remembers from one time to the next. */
struct plan_state
{
    /** Part of the capacity that is planned with, by overloaded service; falls while work waits although less was planned. */
    std::map<std::string, double, std::less<>> corrections;
    admission_plan plan;
    /** Requests that are due to pass, by route and rank, as fractions. */
    std::map<admission_plan::key, double> due;
};

/** Slot time that one request takes of each service, the calls behind it included, in seconds. */
using service_costs = std::map<std::string, double, std::less<>>;

/** Works out what a request of a route costs, from the profiles of it and of the routes that its runs call. */
[[nodiscard]] service_costs costOf(const configuration_index &index, const load_picture &picture, const route &definition);

/** Requests that arrive at each service for one request, the calls behind it included. */
using service_arrivals = std::map<std::string, double, std::less<>>;

/** Works out how often a request of a route and the calls behind it arrive at each service, from the same profiles. */
[[nodiscard]] service_arrivals arrivalsOf(const configuration_index &index, const load_picture &picture, const route &definition);

/** Requests a second from outside whose route leads to each service. */
[[nodiscard]] service_arrivals demandByService(const configuration_index &index, const load_picture &picture);

/**
 * Plans which requests first hops pass so that each service gets no more work than its slots can do: more important ranks first,
 * within a rank more important routes first, and of those that fit in part, the same part of every route that needs the service.
 * Routes that do not need it pass.
 */
void updatePlan(plan_state &state, const configuration_index &index, const load_picture &picture);

/** Decides on one request so that of every run of requests the planned part passes. */
[[nodiscard]] bool passes(plan_state &state, std::uint32_t route, unsigned rank);

} // namespace ragwortpin

#endif
