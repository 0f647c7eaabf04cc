#include "ragwortpin/dispatch/directory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace ragwortpin {

namespace {

constexpr double DefaultRetryRatio{0.1};

/** Instances of one service and the addresses of their nodes. */
struct service_members
{
    std::vector<instance_summary> summaries;
    std::vector<endpoint> addresses;
};

bool isRoutable(const instance_record &record) noexcept
{
    return !record.service.empty() && (record.state == instance_state::Ready || record.state == instance_state::Draining);
}

instance_summary summarise(const instance_record &record, const std::string &ownAvailabilityZone)
{
    return {.name = record.name,
            .ownAvailabilityZone = record.availabilityZone == ownAvailabilityZone,
            .draining = record.state == instance_state::Draining,
            .slots = std::max(1U, record.slots)};
}

} // namespace

instance_directory::instance_directory(std::string ownAvailabilityZone)
    : m_ownAvailabilityZone{std::move(ownAvailabilityZone)}
{ }

void instance_directory::updateMembers(const membership_view &view, time_point now)
{
    std::map<std::string, service_members> members;
    for (const auto &record : view.instances) {
        if (isRoutable(record)) {
            auto &group = members[record.service];
            group.summaries.push_back(summarise(record, m_ownAvailabilityZone));
            group.addresses.push_back({record.address, record.peersPort});
        }
    }
    for (auto &[name, directory] : m_services) {
        if (!members.contains(name)) {
            updateInstances(directory.routing, {}, now);
            directory.addresses.clear();
        }
    }
    for (auto &[name, group] : members) {
        auto [entry, added] = m_services.try_emplace(name);
        if (added) {
            const auto ratio = m_retryRatios.find(name);
            entry->second.budget = makeBudget(ratio == m_retryRatios.end() ? DefaultRetryRatio : ratio->second);
        }
        updateInstances(entry->second.routing, std::move(group.summaries), now);
        entry->second.addresses = std::move(group.addresses);
    }
}

void instance_directory::updateConfiguration(const configuration &value)
{
    for (const auto &service : value.services) {
        m_retryRatios[service.name] = service.retryRatio;
        const auto found = m_services.find(service.name);
        if (found != m_services.end()) {
            found->second.budget.ratio = service.retryRatio;
        }
    }
}

service_directory *instance_directory::find(std::string_view service)
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace ragwortpin
