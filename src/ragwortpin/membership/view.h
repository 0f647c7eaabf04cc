#ifndef RAGWORTPIN_MEMBERSHIP_VIEW_H
#define RAGWORTPIN_MEMBERSHIP_VIEW_H

#include "ragwortpin/membership/fwd.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Life of an instance as its own node announces it. */
enum class instance_state : unsigned char {
    Starting,
    Ready,
    Draining,
    Gone,
};

/** What a node announces of itself and its target. */
struct instance_record
{
    /** Unique in the fleet, from the node's settings. */
    std::string name;
    std::string availabilityZone{};
    /** Service that the target announced; empty until it did. */
    std::string service{};
    /** IP number of the node. */
    std::string address{};
    /** TCP port for forwarded calls and control calls of peers. */
    std::uint16_t peersPort{0};
    /** UDP port for gossip and loans. */
    std::uint16_t gossipPort{0};
    instance_state state{instance_state::Starting};
    /** Requests that the target works on at once, as it announced. */
    std::uint32_t slots{0};
    /** Connections that the target accepts, as it announced. */
    std::uint32_t connections{0};
    /** Revision of the configuration in force at the node. */
    std::uint64_t revision{0};
    /** Raised by the instance itself to override older or wrong records of it. */
    std::uint64_t incarnation{0};

    bool operator==(const instance_record &) const = default;
};

/** Instances that a node believes alive, sorted by name; shared between threads as an immutable snapshot. */
struct membership_view
{
    std::vector<instance_record> instances;

    bool operator==(const membership_view &) const = default;
};

/** Finds an instance by name; null when it is not believed alive. The pointer is valid as long as the view. */
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
