#include "ragwortpin/overload/plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>
#include <utility>

namespace ragwortpin {

namespace {

/**
 * Queue from which on a service counts as overloaded, in standard deviations of the number of concurrent requests. Uneven arrivals alone
 * cause shorter queues: the number varies like a Poisson variable, so that its deviation is the square root of the slots.
 */
constexpr double OverloadDeviations{3.0};

/** Ratio of queued requests to slots from which on a service with few slots counts as overloaded. */
constexpr double MaxOverloadQueueRatio{0.5};

/** Fraction of the overload queue below which a service is no longer overloaded if the demand fits its planned capacity. */
constexpr double RecoveredFraction{0.2};

/** Multiple of the overload queue above which the correction of the planned capacity is decreased. It is increased after recovery. */
constexpr double BacklogMultiple{2.0};

constexpr double CorrectionDecreaseFactor{0.98};
constexpr double CorrectionIncreaseFactor{1.04};
constexpr double MinCorrection{0.8};
constexpr double MaxCorrection{1.3};

/** Fraction of the requests that is always admitted, so that the profiles stay current. */
constexpr double MinAdmittedFraction{0.02};

/** Maximum depth to which the calls behind a request are followed, in hops. */
constexpr unsigned MaxCallDepth{8};

/**
 * Fraction of the total slot time of a request below which the request counts as not using a service. Calls that were attributed to the
 * wrong route stay below it.
 */
constexpr double NegligibleCostFraction{0.05};

/** Returns the services of a route with the fractions of its requests that they get. The fractions add up to one. */
std::vector<weighted_service> trafficSplitOf(const route &definition)
{
    if (definition.split.empty()) {
        return {{definition.service, 1.0}};
    }
    double total{0.0};
    for (const auto &part : definition.split) {
        total += part.weight;
    }
    auto parts = definition.split;
    for (auto &part : parts) {
        part.weight /= total;
    }
    return parts;
}

/** Index of the profiles by service and route, and of the routes by id, for one update of the plan. */
class cost_table
{
public:
    cost_table(const configuration_index &index, const fleet_load &picture)
    {
        for (const auto &item : index.routes) {
            m_routes.emplace(routeId(item.definition.name), &item);
        }
        for (const auto &item : picture.profiles) {
            merge(m_profiles[{item.service, item.profile.route}], item.profile);
        }
    }

    [[nodiscard]] const indexed_route *findRoute(std::uint32_t id) const
    {
        const auto found = m_routes.find(id);
        return found == m_routes.end() ? nullptr : found->second;
    }

    /** Adds the slot time that requests of a route and the calls behind them use at each service. */
    void add(service_costs &costs, const route &definition, double requests) const
    {
        forEachHop(definition, requests, [this, &costs](const std::string &service, const route &here, double arrivals) {
            const auto found = m_profiles.find({service, routeId(here.name)});
            if (found != m_profiles.end()) {
                costs[service] += arrivals * found->second.slotTime;
            }
        });
    }

    /** Adds the requests of a route and the calls behind them. A route without a profile is counted without calls. */
    void countArrivals(service_arrivals &arrivals, const route &definition, double requests) const
    {
        forEachHop(definition, requests, [&arrivals](const std::string &service, const route &, double here) {
            arrivals[service] += here;
        });
    }

private:
    /** Requests of one route that arrive at one depth of the calls. */
    struct route_arrivals
    {
        const route *definition{nullptr};
        double requests{0.0};
    };

    /**
     * Calls visit(service, route, requests) for the requests of a route and the calls behind them, depth by depth. Calls of the same route
     * at the same depth are taken together, so that the work grows with the routes and not with the paths, which are very many where calls
     * go in a circle.
     */
    template<typename Visitor>
    void forEachHop(const route &definition, double requests, const Visitor &visit) const
    {
        std::map<std::uint32_t, route_arrivals> level{{routeId(definition.name), {&definition, requests}}};
        for (unsigned depth{0}; !level.empty(); ++depth) {
            std::map<std::uint32_t, route_arrivals> next;
            for (const auto &[id, arriving] : level) {
                for (const auto &part : trafficSplitOf(*arriving.definition)) {
                    const double here{arriving.requests * part.weight};
                    visit(part.service, *arriving.definition, here);
                    for (const auto &item : callsOf(part.service, *arriving.definition, depth)) {
                        if (const auto *called = findRoute(item.route)) {
                            auto &added = next[item.route];
                            added = {&called->definition, added.requests + here * item.calls};
                        }
                    }
                }
            }
            level = std::move(next);
        }
    }

    /** Merges the profiles of several instances, weighted by the number of runs that each is based on. */
    static void merge(route_profile &into, const route_profile &from)
    {
        const double runs{into.runs + from.runs};
        if (runs <= 0.0) {
            return;
        }
        into.slotTime = (into.slotTime * into.runs + from.slotTime * from.runs) / runs;
        for (auto &item : into.calls) {
            item.calls *= into.runs / runs;
        }
        for (const auto &item : from.calls) {
            const auto known = std::find_if(into.calls.begin(), into.calls.end(), [&item](const calls_per_run &other) {
                return other.route == item.route;
            });
            if (known == into.calls.end()) {
                into.calls.push_back({item.route, item.calls * from.runs / runs});
            } else {
                known->calls += item.calls * from.runs / runs;
            }
        }
        into.runs = runs;
    }

    /** Returns the calls of one run of a route at a service; none without a profile or at the maximum depth. */
    [[nodiscard]] std::span<const calls_per_run> callsOf(const std::string &service, const route &definition, unsigned depth) const
    {
        const auto found = m_profiles.find({service, routeId(definition.name)});
        return found == m_profiles.end() || depth == MaxCallDepth ? std::span<const calls_per_run>{} : found->second.calls;
    }

    std::unordered_map<std::uint32_t, const indexed_route *> m_routes;
    std::map<std::pair<std::string, std::uint32_t>, route_profile> m_profiles;
};

/** Demand of one route and rank, and the cost of one of its requests. */
struct costed_demand
{
    admission_plan::key key;
    /** Rank of the route itself. Orders the requests of workspaces that have their own importance, and so the same rank for every route. */
    unsigned routeRank{0};
    double requestsPerSecond{0.0};
    service_costs costs;

    /** Returns the sort key; lower ones get capacity first. */
    [[nodiscard]] std::pair<unsigned, unsigned> order() const noexcept
    {
        return {key.rank, routeRank};
    }
};

void removeNegligible(service_costs &costs)
{
    double total{0.0};
    for (const auto &[service, cost] : costs) {
        total += cost;
    }
    std::erase_if(costs, [total](const auto &entry) {
        return entry.second < NegligibleCostFraction * total;
    });
}

std::vector<costed_demand> costDemands(const cost_table &table, const fleet_load &picture)
{
    std::map<admission_plan::key, double> sums;
    for (const auto &demand : picture.demands) {
        sums[{demand.route, demand.rank}] += demand.requestsPerSecond;
    }
    std::vector<costed_demand> demands;
    for (const auto &[key, requestsPerSecond] : sums) {
        const auto *definition = table.findRoute(key.route);
        if (definition == nullptr || requestsPerSecond <= 0.0) {
            continue;
        }
        costed_demand demand{key, definition->rank, requestsPerSecond, {}};
        table.add(demand.costs, definition->definition, 1.0);
        removeNegligible(demand.costs);
        demands.push_back(std::move(demand));
    }
    std::sort(demands.begin(), demands.end(), [](const costed_demand &left, const costed_demand &right) {
        return left.order() < right.order();
    });
    return demands;
}

double costAt(const costed_demand &demand, const std::string &service)
{
    const auto found = demand.costs.find(service);
    return found == demand.costs.end() ? 0.0 : found->second;
}

/** Returns the number of queued requests from which on a service counts as overloaded. */
double overloadQueueOf(const service_load &load)
{
    return std::min(MaxOverloadQueueRatio * load.limit, OverloadDeviations * std::sqrt(load.limit));
}

/** Returns the number of slots of a service that the whole demand would occupy. */
double slotDemandOf(const std::vector<costed_demand> &demands, const std::string &service)
{
    double required{0.0};
    for (const auto &demand : demands) {
        required += demand.requestsPerSecond * costAt(demand, service);
    }
    return required;
}

/**
 * Returns the slots of a service to plan with, or nothing if the service is not overloaded. Demand and cost are estimates. A queue that
 * remains shows that they were too low, and a queue that is nearly empty that they were too high; the correction is adapted to that.
 */
std::optional<double> plannableCapacity(plan_state &state, const std::string &service, const service_load &load, double required)
{
    const double overloadQueue{overloadQueueOf(load)};
    const auto known = state.capacityFactors.find(service);
    if (known == state.capacityFactors.end()) {
        if (load.limit <= 0.0 || load.queued < overloadQueue) {
            return std::nullopt;
        }
        return load.limit * state.capacityFactors.emplace(service, 1.0).first->second;
    }
    auto &correction = known->second;
    const bool isRecovered{load.queued <= RecoveredFraction * overloadQueue};
    if (load.queued > BacklogMultiple * overloadQueue) {
        correction = std::max(MinCorrection, correction * CorrectionDecreaseFactor);
    } else if (isRecovered) {
        correction = std::min(MaxCorrection, correction * CorrectionIncreaseFactor);
    }
    if (isRecovered && required <= load.limit * correction) {
        state.capacityFactors.erase(known);
        return std::nullopt;
    }
    return load.limit * correction;
}

/** Assigns the capacity of one service in order of rank, and reduces the admitted fraction of the demand that does not fit. */
void planService(admission_plan &plan, const std::vector<costed_demand> &demands, const std::string &service, double capacity)
{
    double remaining{capacity};
    std::size_t first{0};
    while (first < demands.size()) {
        std::size_t end{first};
        double required{0.0};
        while (end < demands.size() && demands[end].order() == demands[first].order()) {
            required += demands[end].requestsPerSecond * costAt(demands[end], service);
            ++end;
        }
        const double part{required <= remaining ? 1.0 : std::max(MinAdmittedFraction, remaining / required)};
        for (std::size_t position{first}; position < end && part < 1.0; ++position) {
            if (costAt(demands[position], service) > 0.0) {
                auto &planned = plan.admittedFractions.try_emplace(demands[position].key, 1.0).first->second;
                planned = std::min(planned, part);
            }
        }
        remaining = std::max(0.0, remaining - required);
        first = end;
    }
}

} // namespace

service_costs costOf(const configuration_index &index, const fleet_load &picture, const route &definition)
{
    service_costs costs;
    cost_table{index, picture}.add(costs, definition, 1.0);
    return costs;
}

service_arrivals arrivalsOf(const configuration_index &index, const fleet_load &picture, const route &definition)
{
    service_arrivals arrivals;
    cost_table{index, picture}.countArrivals(arrivals, definition, 1.0);
    return arrivals;
}

service_arrivals demandByService(const configuration_index &index, const fleet_load &picture)
{
    const cost_table table{index, picture};
    service_arrivals demand;
    for (const auto &item : picture.demands) {
        const auto *found = table.findRoute(item.route);
        if (found == nullptr) {
            continue;
        }
        for (const auto &part : trafficSplitOf(found->definition)) {
            demand[part.service] += item.requestsPerSecond * part.weight;
        }
    }
    return demand;
}

void updatePlan(plan_state &state, const configuration_index &index, const fleet_load &picture)
{
    const cost_table table{index, picture};
    const auto demands = costDemands(table, picture);
    state.plan.admittedFractions.clear();
    for (const auto &[service, load] : picture.services) {
        const auto capacity = plannableCapacity(state, service, load, slotDemandOf(demands, service));
        if (capacity) {
            planService(state.plan, demands, service, *capacity);
        }
    }
    std::erase_if(state.admissionCredits, [&state](const auto &entry) {
        return !state.plan.admittedFractions.contains(entry.first);
    });
}

bool admitByPlan(plan_state &state, std::uint32_t route, unsigned rank)
{
    const admission_plan::key key{route, rank};
    const auto planned = state.plan.admittedFractions.find(key);
    if (planned == state.plan.admittedFractions.end()) {
        return true;
    }
    auto &credit = state.admissionCredits[key];
    credit += planned->second;
    if (credit < 1.0) {
        return false;
    }
    credit -= 1.0;
    return true;
}

} // namespace ragwortpin
