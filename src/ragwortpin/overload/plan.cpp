#include "ragwortpin/overload/plan.h"

#include <algorithm>
#include <optional>
#include <span>
#include <utility>

namespace ragwortpin {

namespace {

/** Work that waits, as a part of the slots, from which on a service is overloaded. Less is what uneven arrivals bring. */
constexpr double OverloadedWaiting{0.5};

/** Work that waits below which a service whose demand fits is not overloaded any more. */
constexpr double CalmWaiting{0.1};

/** Work that waits from which on less is planned than the slots can do; below CalmWaiting more is. */
constexpr double BackloggedWaiting{1.0};

constexpr double CorrectionDown{0.98};
constexpr double CorrectionUp{1.04};
constexpr double LeastCorrection{0.8};
constexpr double MostCorrection{1.3};

/** Part of the requests that passes in any case, so that the profiles stay current. */
constexpr double LeastPart{0.02};

/** Hops that are followed behind a request. */
constexpr unsigned DeepestCall{8};

/** Part of a request's whole slot time below which it does not need a service; calls attributed wrongly are fewer. */
constexpr double NegligiblePart{0.05};

/** Services of a route with the parts of its requests that they get, which add up to one. */
std::vector<weighted_service> partsOf(const route &definition)
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

/** Profiles found by service and route, and routes by id, for one round of planning. */
class cost_table
{
public:
    cost_table(const configuration_index &index, const load_picture &picture)
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

    void add(service_costs &costs, const route &definition, double requests, unsigned depth) const
    {
        for (const auto &part : partsOf(definition)) {
            addAt(costs, part.service, definition, requests * part.weight, depth);
        }
    }

    /** Counts the requests themselves; a route that nothing is known of makes no calls. */
    void countArrivals(service_arrivals &arrivals, const route &definition, double requests, unsigned depth) const
    {
        for (const auto &part : partsOf(definition)) {
            const double here{requests * part.weight};
            arrivals[part.service] += here;
            for (const auto &item : callsOf(part.service, definition, depth)) {
                if (const auto *called = findRoute(item.route)) {
                    countArrivals(arrivals, called->definition, here * item.calls, depth + 1);
                }
            }
        }
    }

private:
    /** Joins what several instances learned, each by the runs that it rests on. */
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

    /** Calls of a run at a service; none where the calls are followed no deeper. */
    [[nodiscard]] std::span<const calls_per_run> callsOf(const std::string &service, const route &definition, unsigned depth) const
    {
        const auto found = m_profiles.find({service, routeId(definition.name)});
        return found == m_profiles.end() || depth == DeepestCall ? std::span<const calls_per_run>{} : found->second.calls;
    }

    void addAt(service_costs &costs, const std::string &service, const route &definition, double requests, unsigned depth) const
    {
        const auto found = m_profiles.find({service, routeId(definition.name)});
        if (found == m_profiles.end()) {
            return;
        }
        costs[service] += requests * found->second.slotTime;
        for (const auto &item : callsOf(service, definition, depth)) {
            if (const auto *called = findRoute(item.route)) {
                add(costs, called->definition, requests * item.calls, depth + 1);
            }
        }
    }

    std::unordered_map<std::uint32_t, const indexed_route *> m_routes;
    std::map<std::pair<std::string, std::uint32_t>, route_profile> m_profiles;
};

/** Demand of one route and rank with what it costs. */
struct costed_demand
{
    admission_plan::key key;
    /** Rank of the route itself, which orders the requests of workspaces with an importance of their own. */
    unsigned routeRank{0};
    double perSecond{0.0};
    service_costs costs;

    [[nodiscard]] std::pair<unsigned, unsigned> order() const noexcept
    {
        return {key.rank, routeRank};
    }
};

void dropNegligible(service_costs &costs)
{
    double total{0.0};
    for (const auto &[service, cost] : costs) {
        total += cost;
    }
    std::erase_if(costs, [total](const auto &entry) {
        return entry.second < NegligiblePart * total;
    });
}

std::vector<costed_demand> costDemands(const cost_table &table, const load_picture &picture)
{
    std::map<admission_plan::key, double> sums;
    for (const auto &demand : picture.demands) {
        sums[{demand.route, demand.rank}] += demand.perSecond;
    }
    std::vector<costed_demand> demands;
    for (const auto &[key, perSecond] : sums) {
        const auto *definition = table.findRoute(key.route);
        if (definition == nullptr || perSecond <= 0.0) {
            continue;
        }
        costed_demand demand{key, definition->rank, perSecond, {}};
        table.add(demand.costs, definition->definition, 1.0, 0);
        dropNegligible(demand.costs);
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

double waitingPart(const service_load &load)
{
    return load.limit > 0.0 ? load.queued / load.limit : 0.0;
}

/** Work that the demands would bring to a service, in slots. */
double demandOn(const std::vector<costed_demand> &demands, const std::string &service)
{
    double wanted{0.0};
    for (const auto &demand : demands) {
        wanted += demand.perSecond * costAt(demand, service);
    }
    return wanted;
}

/**
 * Slots that may be planned with; nothing while the service keeps up. The figures of demand and cost are estimates: what waits
 * shows whether they were too low, and idle slots whether they were too high.
 */
std::optional<double> capacityOf(plan_state &state, const std::string &service, const service_load &load, double wanted)
{
    const double waiting{waitingPart(load)};
    const auto known = state.corrections.find(service);
    if (known == state.corrections.end()) {
        if (waiting < OverloadedWaiting) {
            return std::nullopt;
        }
        return load.limit * state.corrections.emplace(service, 1.0).first->second;
    }
    auto &correction = known->second;
    if (waiting > BackloggedWaiting) {
        correction = std::max(LeastCorrection, correction * CorrectionDown);
    } else if (waiting < CalmWaiting) {
        correction = std::min(MostCorrection, correction * CorrectionUp);
    }
    if (waiting < CalmWaiting && wanted <= load.limit * correction) {
        state.corrections.erase(known);
        return std::nullopt;
    }
    return load.limit * correction;
}

/** Shares the capacity of one service out by rank, and lowers the parts of what does not fit. */
void planService(admission_plan &plan, const std::vector<costed_demand> &demands, const std::string &service, double capacity)
{
    double left{capacity};
    std::size_t first{0};
    while (first < demands.size()) {
        std::size_t end{first};
        double wanted{0.0};
        while (end < demands.size() && demands[end].order() == demands[first].order()) {
            wanted += demands[end].perSecond * costAt(demands[end], service);
            ++end;
        }
        const double part{wanted <= left ? 1.0 : std::max(LeastPart, left / wanted)};
        for (std::size_t position{first}; position < end && part < 1.0; ++position) {
            if (costAt(demands[position], service) > 0.0) {
                auto &planned = plan.parts.try_emplace(demands[position].key, 1.0).first->second;
                planned = std::min(planned, part);
            }
        }
        left = std::max(0.0, left - wanted);
        first = end;
    }
}

} // namespace

service_costs costOf(const configuration_index &index, const load_picture &picture, const route &definition)
{
    service_costs costs;
    cost_table{index, picture}.add(costs, definition, 1.0, 0);
    return costs;
}

service_arrivals arrivalsOf(const configuration_index &index, const load_picture &picture, const route &definition)
{
    service_arrivals arrivals;
    cost_table{index, picture}.countArrivals(arrivals, definition, 1.0, 0);
    return arrivals;
}

service_arrivals demandByService(const configuration_index &index, const load_picture &picture)
{
    const cost_table table{index, picture};
    service_arrivals demand;
    for (const auto &item : picture.demands) {
        const auto *found = table.findRoute(item.route);
        if (found == nullptr) {
            continue;
        }
        for (const auto &part : partsOf(found->definition)) {
            demand[part.service] += item.perSecond * part.weight;
        }
    }
    return demand;
}

void updatePlan(plan_state &state, const configuration_index &index, const load_picture &picture)
{
    const cost_table table{index, picture};
    const auto demands = costDemands(table, picture);
    state.plan.parts.clear();
    for (const auto &[service, load] : picture.services) {
        const auto capacity = capacityOf(state, service, load, demandOn(demands, service));
        if (capacity) {
            planService(state.plan, demands, service, *capacity);
        }
    }
    std::erase_if(state.due, [&state](const auto &entry) {
        return !state.plan.parts.contains(entry.first);
    });
}

bool passes(plan_state &state, std::uint32_t route, unsigned rank)
{
    const admission_plan::key key{route, rank};
    const auto planned = state.plan.parts.find(key);
    if (planned == state.plan.parts.end()) {
        return true;
    }
    auto &due = state.due[key];
    due += planned->second;
    if (due < 1.0) {
        return false;
    }
    due -= 1.0;
    return true;
}

} // namespace ragwortpin
