#include "ragwortpin/spread/topology.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace ragwortpin {

namespace {

using zone_members = std::vector<const instance_record *>;

/** Returns the number of nodes that come before the one at the given place of its zone: see poll_position::rank. */
std::size_t rankOf(const std::map<std::string_view, zone_members> &zones, std::string_view zone, std::size_t place)
{
    std::size_t rank{0};
    for (const auto &[name, members] : zones) {
        rank += std::min(members.size(), name < zone ? place + 1 : place);
    }
    return rank;
}

std::vector<instance_record> copyRange(const zone_members &members, std::size_t begin, std::size_t end, std::size_t excluded)
{
    std::vector<instance_record> records;
    for (auto index = begin; index < std::min(end, members.size()); ++index) {
        if (index != excluded) {
            records.push_back(*members[index]);
        }
    }
    return records;
}

} // namespace

spread_topology makeTopology(const membership_view &view, std::string_view instance, std::string_view availabilityZone)
{
    std::map<std::string_view, zone_members> zones;
    for (const auto &record : view.instances) {
        if (record.state != instance_state::Gone || record.name == instance) {
            zones[record.availabilityZone].push_back(&record);
        }
    }
    const auto &own = zones[availabilityZone];
    const auto self = std::find_if(own.begin(), own.end(), [instance](const instance_record *record) {
        return record->name == instance;
    });
    const auto place = static_cast<std::size_t>(std::distance(own.begin(), self));
    spread_topology topology;
    topology.position.rank = rankOf(zones, availabilityZone, place);
    topology.position.zonePlace = place;
    topology.position.zoneSize = std::max<std::size_t>(own.size(), 1);
    topology.position.fleetSize = std::max<std::size_t>(view.instances.size(), 1);
    topology.zoneRoots = copyRange(own, 0, ZoneFanout, place);
    topology.successors = copyRange(own, ZoneFanout * (place + 1), ZoneFanout * (place + 2), place);
    for (const auto &[name, members] : zones) {
        if (name != availabilityZone && !members.empty()) {
            topology.otherZones.push_back(*members.front());
        }
    }
    return topology;
}

} // namespace ragwortpin
