#ifndef RAGWORTPIN_CONFIG_OBJECT_KIND_H
#define RAGWORTPIN_CONFIG_OBJECT_KIND_H

#include "ragwortpin/config/model.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace ragwortpin {

/** Kinds of named objects in a configuration. */
enum class object_kind : unsigned char {
    AvailabilityZone,
    Importance,
    Workspace,
    ApiKey,
    Service,
    Route,
};

/** How a kind is written in messages and files. */
struct object_kind_text
{
    object_kind kind;
    /** Singular, as in messages. */
    std::string_view singular;
    /** Name of the list in a configuration file. */
    std::string_view listName;
};

/** Texts of every kind, in the order of the enumeration. */
inline constexpr std::array ObjectKindTexts{
    object_kind_text{object_kind::AvailabilityZone, "availability_zone", "availability_zones"},
    object_kind_text{object_kind::Importance, "importance", "importances"},
    object_kind_text{object_kind::Workspace, "workspace", "workspaces"},
    object_kind_text{object_kind::ApiKey, "key", "keys"},
    object_kind_text{object_kind::Service, "service", "services"},
    object_kind_text{object_kind::Route, "route", "routes"},
};

/** Returns the texts of a kind. */
[[nodiscard]] constexpr const object_kind_text &describe(object_kind kind) noexcept
{
    return ObjectKindTexts[static_cast<std::size_t>(kind)];
}

/** Names one object. */
struct object_ref
{
    object_kind kind{object_kind::AvailabilityZone};
    std::string name;

    bool operator==(const object_ref &) const = default;
};

/** Orders objects by kind and name. */
[[nodiscard]] inline bool operator<(const object_ref &left, const object_ref &right) noexcept
{
    return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
}

/** Writes an object as in messages, for example: route 'clips'. */
[[nodiscard]] inline std::string toText(const object_ref &object)
{
    return std::string{describe(object.kind).singular} + " '" + object.name + "'";
}

/** Calls visit(kind, list) for the list of each kind. */
template<typename Configuration, typename Visitor>
void visitObjects(Configuration &value, Visitor &&visit)
{
    visit(object_kind::AvailabilityZone, value.availabilityZones);
    visit(object_kind::Importance, value.importances);
    visit(object_kind::Workspace, value.workspaces);
    visit(object_kind::ApiKey, value.keys);
    visit(object_kind::Service, value.services);
    visit(object_kind::Route, value.routes);
}

/** Calls visit(kind, list of the first, list of the second) for each kind. */
template<typename First, typename Second, typename Visitor>
void visitObjectPairs(First &first, Second &second, Visitor &&visit)
{
    visit(object_kind::AvailabilityZone, first.availabilityZones, second.availabilityZones);
    visit(object_kind::Importance, first.importances, second.importances);
    visit(object_kind::Workspace, first.workspaces, second.workspaces);
    visit(object_kind::ApiKey, first.keys, second.keys);
    visit(object_kind::Service, first.services, second.services);
    visit(object_kind::Route, first.routes, second.routes);
}

/** Sorts the lists by name, as every configuration is kept. */
void sortObjects(configuration &value);

} // namespace ragwortpin

#endif
