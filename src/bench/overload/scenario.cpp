#include "bench/overload/scenario.h"

#include <algorithm>
#include <limits>

namespace ragwortpin::bench {

const char *toString(control_policy policy) noexcept
{
    switch (policy) {
    case control_policy::None:
        return "none";
    case control_policy::StaticLimit:
        return "static-limit";
    case control_policy::CodelLike:
        return "codel-like";
    case control_policy::Full:
        break;
    }
    return "full";
}

deployment khelachitra()
{
    deployment place;
    place.name = "khelachitra";
    place.availabilityZones = 4;
    place.services = {
        service_spec{"clips", 4, 35, 300, milliseconds{20}},
        service_spec{"packages", 4, 35, 300, milliseconds{20}},
        service_spec{"heatmaps", 4, 35, 300, milliseconds{20}},
        service_spec{"breakdowns", 4, 10, 150, milliseconds{30}},
    };
    place.betweenAvailabilityZones = microseconds{1500};
    place.toClients = milliseconds{8};
    return place;
}

deployment confettiCove()
{
    deployment place;
    place.name = "confetti-cove";
    place.availabilityZones = 3;
    place.services = {
        service_spec{"profiles", 4, 75, 525, milliseconds{30}},
        service_spec{"bookings", 3, 75, 525, milliseconds{30}},
        service_spec{"calendar", 4, 75, 525, milliseconds{30}},
        service_spec{"dispatch", 4, 30, 300, milliseconds{60}},
    };
    place.betweenAvailabilityZones = milliseconds{1};
    place.toClients = milliseconds{3};
    return place;
}

deployment deepChain()
{
    deployment place{khelachitra()};
    place.name = "deep-chain";
    place.services.clear();
    for (unsigned hop{0}; hop < 14; ++hop) {
        const bool deepest{hop == 13};
        place.services.push_back(service_spec{
            "service-" + std::to_string(hop), 4, deepest ? 10U : 140U, deepest ? 150U : 600U, milliseconds{deepest ? 30 : 20}});
    }
    return place;
}

double capacityOf(const deployment &place, const std::vector<std::size_t> &chain)
{
    std::vector<double> held(place.services.size(), 0.0);
    double below{0.0};
    for (std::size_t hop{chain.size()}; hop > 0; --hop) {
        const service_spec &service{place.services[chain[hop - 1]]};
        below += toSeconds(service.serviceTime);
        held[chain[hop - 1]] += below;
        below += 2.0 * toSeconds(place.withinAvailabilityZone);
    }
    double capacity{std::numeric_limits<double>::max()};
    for (std::size_t index{0}; index < held.size(); ++index) {
        if (held[index] > 0.0) {
            const service_spec &service{place.services[index]};
            capacity = std::min(capacity, service.instances * service.slots / held[index]);
        }
    }
    return capacity;
}

std::vector<tenant> usualTenants(double load)
{
    const double shares[]{0.3, 0.2, 0.2, 0.1, 0.05, 0.05, 0.05, 0.05};
    std::vector<tenant> tenants;
    for (const double share : shares) {
        tenants.push_back(tenant{"workspace-" + std::to_string(tenants.size()), 1.0, share * load});
    }
    return tenants;
}

} // namespace ragwortpin::bench
