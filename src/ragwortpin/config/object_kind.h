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

/** Texts that denote a kind in messages and in configuration files. */
struct object_kind_text
{
    object_kind kind;
    /** Singular form for messages. */
    std::string_view singular;
    /** Name of the field in a configuration file that lists the objects. */
    std::string_view listName;
};

/** Texts of all kinds, indexed by object_kind. */
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

/** Identifies one object by kind and name. */
struct object_ref
{
    object_kind kind{object_kind::AvailabilityZone};
    std::string name;

    bool operator==(const object_ref &) const = default;
};

/** Compares objects by kind, then by name. */
[[nodiscard]] inline bool operator<(const object_ref &left, const object_ref &right) noexcept
{
    return std::tie(left.kind, left.name) < std::tie(right.kind, right.name);
}

/** Returns an object's kind and name for messages, for example: route 'clips'. */
[[nodiscard]] inline std::string toText(const object_ref &object)
{
    return std::string{describe(object.kind).singular} + " '" + object.name + "'";
}

/** Calls visit(kind, objects) for the objects of each kind. */
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

/** Calls visit(kind, objects of the first, objects of the second) for each kind. */
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

/** Sorts the objects of each kind by name, which is their order in every configuration. */
void sortObjects(configuration &value);

} // namespace ragwortpin

#endif
