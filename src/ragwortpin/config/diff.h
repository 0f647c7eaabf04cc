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

/** What happened to an object between two configurations. */
enum class change_kind : unsigned char {
    Added,
    Changed,
    Removed,
};

/** Returns added, changed or removed. */
[[nodiscard]] std::string_view toToken(change_kind kind) noexcept;

/** One object that differs between two configurations. */
struct object_change
{
    change_kind change{change_kind::Added};
    object_ref object;

    bool operator==(const object_change &) const = default;
};

/** Difference between two configurations, small enough to send to every node. */
struct configuration_change
{
    /** Revision that the change applies to. */
    std::uint64_t baseRevision{0};
    /** Revision after the change. */
    std::uint64_t revision{0};
    /** Objects that are added or replaced; the revision in it is unused. */
    configuration objects;
    /** Objects that are removed. */
    std::vector<object_ref> removed;

    bool operator==(const configuration_change &) const = default;
};

/** Lists the objects that differ, by kind and name. The revisions are not compared. */
[[nodiscard]] std::vector<object_change> diffConfigurations(const configuration &before, const configuration &after);

/** Returns the objects that both lists touch; empty when the changes are disjoint. */
[[nodiscard]] std::vector<object_ref> commonObjects(const std::vector<object_change> &left, const std::vector<object_change> &right);

/** Returns the change that leads from one configuration to another, with both revisions. */
[[nodiscard]] configuration_change makeChange(const configuration &before, const configuration &after);

/** Applies a change; nothing when it does not follow the configuration's revision. */
[[nodiscard]] std::optional<configuration> applyChange(const configuration &before, const configuration_change &change);

/** Applies the objects of a change to any configuration, whatever its revision; the revision is kept. */
[[nodiscard]] configuration applyObjects(const configuration &before, const configuration_change &change);

} // namespace ragwortpin

#endif
