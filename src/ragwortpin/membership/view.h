#ifndef RAGWORTPIN_MEMBERSHIP_VIEW_H
#define RAGWORTPIN_MEMBERSHIP_VIEW_H

#include "ragwortpin/membership/fwd.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Lifecycle state of an instance as announced by its own node. */
enum class instance_state : unsigned char {
    Starting,
    Ready,
    Draining,
    /** Has left the fleet; final. */
    Gone,
};

/** Record that a node announces about itself and its target. */
struct instance_record
{
    /** Unique in the fleet; set in the node's settings. */
    std::string name;
    std::string availabilityZone{};
    /** Service announced by the target; empty before its announcement. */
    std::string service{};
    /** Numeric IP address of the node. */
    std::string address{};
    /** TCP port for forwarded calls and control calls from peers. */
    std::uint16_t peersPort{0};
    /** UDP port for gossip and for loans between nodes. */
    std::uint16_t gossipPort{0};
    instance_state state{instance_state::Starting};
    /** Concurrency limit announced by the target. */
    std::uint32_t slots{0};
    /** Connection limit announced by the target. */
    std::uint32_t connections{0};
    /** Revision of the configuration in force at the node. Changes of it do not raise the incarnation. */
    std::uint64_t revision{0};
    /** Raised by the instance itself to override outdated or wrong records about it. */
    std::uint64_t incarnation{0};

    bool operator==(const instance_record &) const = default;
};

/** Live instances according to one node, sorted by name. Shared between threads as an immutable snapshot. */
struct membership_view
{
    std::vector<instance_record> instances;

    bool operator==(const membership_view &) const = default;
};

/** Returns the live instance with the given name, or null if there is none. The pointer is valid as long as the view. */
[[nodiscard]] inline const instance_record *findInstance(const membership_view &view, std::string_view name) noexcept
{
    const auto found
        = std::lower_bound(view.instances.begin(), view.instances.end(), name, [](const instance_record &record, std::string_view wanted) {
              return record.name < wanted;
          });
    return found != view.instances.end() && found->name == name ? &*found : nullptr;
}

} // namespace ragwortpin

#endif
