#ifndef RAGWORTPIN_DISPATCH_DIRECTORY_H
#define RAGWORTPIN_DISPATCH_DIRECTORY_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/dispatch/fwd.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/membership/view.h"
#include "ragwortpin/retries/retries.h"
#include "ragwortpin/routing/routing.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ragwortpin {

/** Routing state, retry budget and addresses of the instances of one service. */
struct service_directory
{
    routing_state routing;
    retry_budget budget;
    /** Addresses of the instances' nodes to which calls are forwarded, in the order of routing.instances. */
    std::vector<endpoint> addresses;
};

/** Instances by service, updated from membership and configuration. Data thread only. */
class instance_directory
{
public:
    explicit instance_directory(std::string ownAvailabilityZone);

    /** Applies a membership snapshot. Observations of instances that remain are kept. */
    void updateMembers(const membership_view &view, time_point now);

    /** Applies the retry ratios of the configured services. */
    void updateConfiguration(const configuration &value);

    /** Returns a service, or null if no instance has ever announced it. The pointer remains valid. */
    [[nodiscard]] service_directory *find(std::string_view service);

private:
    std::string m_ownAvailabilityZone;
    std::map<std::string, service_directory, std::less<>> m_services;
    std::map<std::string, double, std::less<>> m_retryRatios;
};

} // namespace ragwortpin

#endif
