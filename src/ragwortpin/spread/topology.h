#ifndef RAGWORTPIN_SPREAD_TOPOLOGY_H
#define RAGWORTPIN_SPREAD_TOPOLOGY_H

#include "ragwortpin/membership/view.h"
#include "ragwortpin/spread/fwd.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Place of a node in the order in which the nodes of a fleet read the store's head. */
struct poll_position
{
    /**
     * Number of live nodes before this one. The first nodes of all availability zones by name come before all second ones, and so on, so
     * that a zone that is cut off from the others has a node near the start of the order.
     */
    std::size_t rank{0};
    /** Number of live nodes of the own availability zone before this one. */
    std::size_t zonePlace{0};
    /** Numbers of live nodes in the own availability zone and in the fleet, this node included. */
    std::size_t zoneSize{1};
    std::size_t fleetSize{1};

    bool operator==(const poll_position &) const = default;
};

/**
 * Peers that a node notifies of proofs, and its place among the nodes that read the store, as derived from a membership snapshot. The
 * nodes of an availability zone form a tree by name: its first ZoneFanout nodes are notified by whichever node read the store or heard
 * from another zone, and each node notifies its successors.
 */
struct spread_topology
{
    poll_position position;
    /** The first nodes of the own availability zone, without this one. */
    std::vector<instance_record> zoneRoots;
    /** Nodes of the own availability zone that this node forwards to. */
    std::vector<instance_record> successors;
    /** The first node of each other availability zone. */
    std::vector<instance_record> otherZones;

    bool operator==(const spread_topology &) const = default;
};

/** Number of nodes that one node of an availability zone notifies at each level. */
inline constexpr std::size_t ZoneFanout{4};

/** Derives the topology of a node. A node that the snapshot does not list counts as the last one of its availability zone. */
[[nodiscard]] spread_topology makeTopology(const membership_view &view, std::string_view instance, std::string_view availabilityZone);

} // namespace ragwortpin

#endif
