#ifndef RAGWORTPIN_TARGETS_ASSIGNMENT_H
#define RAGWORTPIN_TARGETS_ASSIGNMENT_H

#include "ragwortpin/config/lookup.h"
#include "ragwortpin/targets/announcement.h"

#include <optional>
#include <string>
#include <system_error>
#include <type_traits>

namespace ragwortpin {

/** What the settings of a node say of the target beside it. Announcements cannot change it. */
struct target_assignment
{
    /** Service of the target; empty if the settings do not name it. */
    std::string service;
    /** Address of the target; nothing if the settings do not name it. */
    std::optional<endpoint> address;

    bool operator==(const target_assignment &) const = default;
};

/** Reasons why an announcement is refused. */
enum class announcement_errc {
    /** A name has bytes that no name may have. */
    NameUnreadable = 1,
    /** The service is not the one that the settings name. */
    OtherService,
    /** The settings name no service, and the configuration does not define the announced one. */
    UnknownService,
    /** The address is not the one that the settings name. */
    OtherAddress,
    /** The node cannot queue the announcement. */
    NodeBusy,
    /** The node knows that the target leaves, and its next process would not. */
    DepartureNotStored,
};

/** Returns whether nothing is wrong with the message, and the target has to send it again. */
[[nodiscard]] bool isTemporary(const std::error_code &error) noexcept;

/** Returns the error category of announcement_errc. */
[[nodiscard]] const std::error_category &announcementCategory() noexcept;

/** Creates an error code in the category of announcement_errc; found by argument-dependent lookup. */
[[nodiscard]] std::error_code make_error_code(announcement_errc error) noexcept;

/**
 * Checks whether an announcement can be one of the target beside this node. Anybody who reaches the listener can send one, so it counts
 * only if it agrees with the settings. Without a service in the settings, the configuration in force has to define the service; before
 * there is a configuration (null), any readable service is accepted.
 */
[[nodiscard]] std::error_code
checkAnnouncement(const target_announcement &announcement, const target_assignment &assignment, const configuration_index *configuration);

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::announcement_errc> : std::true_type
{ };

#endif
