#ifndef RAGWORTPIN_CONFIG_DIFF_H
#define RAGWORTPIN_CONFIG_DIFF_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/config/object_kind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** How an object differs between two configurations. */
enum class change_kind : unsigned char {
    Added,
    Changed,
    Removed,
};

/** Returns the text of a change kind: added, changed or removed. */
[[nodiscard]] std::string_view toToken(change_kind kind) noexcept;

/** One object that differs between two configurations. */
struct object_change
{
    change_kind change{change_kind::Added};
    object_ref object;

    bool operator==(const object_change &) const = default;
};

/** Difference between two configurations. Small enough to be sent to every node. */
struct configuration_change
{
    /** Revision of the configuration that the change applies to. */
    std::uint64_t baseRevision{0};
    /** Revision after the change. */
    std::uint64_t revision{0};
    /** Added and changed objects with their new values. The revision of this configuration is unused. */
    configuration objects;
    /** Removed objects. */
    std::vector<object_ref> removed;

    bool operator==(const configuration_change &) const = default;
};

/** Returns the objects that differ between two configurations, ordered by kind and name. Does not compare the revisions. */
[[nodiscard]] std::vector<object_change> diffConfigurations(const configuration &before, const configuration &after);

/** Returns the objects that occur in both lists of changes, whatever the kind of change; empty if the lists are disjoint. */
[[nodiscard]] std::vector<object_ref> commonObjects(const std::vector<object_change> &left, const std::vector<object_change> &right);

/** Returns the change that transforms one configuration into another, with the revisions of both. */
[[nodiscard]] configuration_change makeChange(const configuration &before, const configuration &after);

/**
 * Returns the configuration after a change. Returns nothing if the change has a base revision other than the configuration's,
 * or does not lead to a higher revision.
 */
[[nodiscard]] std::optional<configuration> applyChange(const configuration &before, const configuration_change &change);

/**
 * Returns a configuration with the objects of a change added, replaced and removed. Ignores the change's revisions and keeps the
 * configuration's.
 */
[[nodiscard]] configuration applyObjects(const configuration &before, const configuration_change &change);

} // namespace ragwortpin

#endif
