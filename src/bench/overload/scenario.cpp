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

deployment_spec khelachitra()
{
    deployment_spec deployment;
    deployment.name = "khelachitra";
    deployment.availabilityZones = 4;
    deployment.services = {
        service_spec{"clips", 4, 35, 300, milliseconds{20}},
        service_spec{"packages", 4, 35, 300, milliseconds{20}},
        service_spec{"heatmaps", 4, 35, 300, milliseconds{20}},
        service_spec{"breakdowns", 4, 10, 150, milliseconds{30}},
    };
    deployment.interZoneDelay = microseconds{1500};
    deployment.clientDelay = milliseconds{8};
    return deployment;
}

deployment_spec confettiCove()
{
    deployment_spec deployment;
    deployment.name = "confetti-cove";
    deployment.availabilityZones = 3;
    deployment.services = {
        service_spec{"profiles", 4, 75, 525, milliseconds{30}},
        service_spec{"bookings", 3, 75, 525, milliseconds{30}},
        service_spec{"calendar", 4, 75, 525, milliseconds{30}},
        service_spec{"dispatch", 4, 30, 300, milliseconds{60}},
    };
    deployment.interZoneDelay = milliseconds{1};
    deployment.clientDelay = milliseconds{3};
    return deployment;
}

deployment_spec deepChain()
{
    deployment_spec deployment{khelachitra()};
    deployment.name = "deep-chain";
    deployment.services.clear();
    for (unsigned hop{0}; hop < 14; ++hop) {
        const bool deepest{hop == 13};
        deployment.services.push_back(service_spec{
            "service-" + std::to_string(hop), 4, deepest ? 10U : 140U, deepest ? 150U : 600U, milliseconds{deepest ? 30 : 20}});
    }
    return deployment;
}

double capacityOf(const deployment_spec &deployment, const std::vector<std::size_t> &chain)
{
    std::vector<double> slotTime(deployment.services.size(), 0.0);
    double downstreamTime{0.0};
    for (std::size_t hop{chain.size()}; hop > 0; --hop) {
        const service_spec &service{deployment.services[chain[hop - 1]]};
        downstreamTime += toSeconds(service.serviceTime);
        slotTime[chain[hop - 1]] += downstreamTime;
        downstreamTime += 2.0 * toSeconds(deployment.intraZoneDelay);
    }
    double capacity{std::numeric_limits<double>::max()};
    for (std::size_t index{0}; index < slotTime.size(); ++index) {
        if (slotTime[index] > 0.0) {
            const service_spec &service{deployment.services[index]};
            capacity = std::min(capacity, service.instances * service.slots / slotTime[index]);
        }
    }
    return capacity;
}

std::vector<workspace_spec> makeWorkspaces(double load)
{
    const double shares[]{0.3, 0.2, 0.2, 0.1, 0.05, 0.05, 0.05, 0.05};
    std::vector<workspace_spec> workspaces;
    for (const double share : shares) {
        workspaces.push_back(workspace_spec{"workspace-" + std::to_string(workspaces.size()), 1.0, share * load});
    }
    return workspaces;
}

} // namespace ragwortpin::bench
