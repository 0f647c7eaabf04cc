#ifndef RAGWORTPIN_TARGETS_ANNOUNCEMENT_H
#define RAGWORTPIN_TARGETS_ANNOUNCEMENT_H

#include "ragwortpin/http/message.h"
#include "ragwortpin/targets/fwd.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ragwortpin {

/** Announcement that a target sends to the node beside it. */
struct target_announcement
{
    std::string service;
    endpoint address;
    /** Maximum number of requests that the target processes concurrently. */
    std::uint32_t slots{0};
    /** Maximum number of connections that the target accepts. */
    std::uint32_t connections{0};
    /** Identifier of one start of the target; empty if targets do not send it. */
    std::string incarnation{};
    /** Wall clock at the target's start, in milliseconds since the Unix epoch; 0 if targets do not send it. */
    std::uint64_t startedAt{0};
    /** Sequence number that increases with each announcement of an incarnation; 0 if targets do not number them. */
    std::uint64_t sequence{0};
    /** Whether the target is shutting down and accepts no new requests. */
    bool draining{false};

    bool operator==(const target_announcement &) const = default;
};

/** Notice that an incarnation of the target has ended, or will end without further notice. */
struct target_departure
{
    std::string incarnation;
    /**
     * Wall clock at the receipt of this notice, in milliseconds since the Unix epoch. For an incarnation that was never announced it
     * is the upper bound of the start time.
     */
    std::uint64_t receivedAt{0};

    bool operator==(const target_departure &) const = default;
};

/** Announcement and departure of its target that a node recorded last. */
struct announcement_history
{
    std::optional<target_announcement> latest;
    /** Incarnation that departed last; empty if there is none. */
    std::string departedIncarnation;
    /** Start time of that incarnation, or an upper bound of it, in milliseconds since the Unix epoch. */
    std::uint64_t departedStartedAt{0};

    bool operator==(const announcement_history &) const = default;
};

/** Result of recordAnnouncement(). */
enum class announcement_verdict : unsigned char {
    /** The announcement is current and was recorded. */
    Accepted,
    /** The announcement was ignored: it is older than the latest one, or of an incarnation that has departed. */
    Stale,
};

/**
 * Checks whether an announcement is current and records it if it is. Announcements may be delayed by seconds and arrive after
 * their sender has ended. Therefore an announcement is stale if its start time is earlier than that of the latest one, if it has
 * the start time and incarnation of the latest one without a higher sequence number (unless it is not numbered), or if its
 * incarnation is the one that departed last and did not start anew since.
 */
[[nodiscard]] announcement_verdict recordAnnouncement(announcement_history &history, const target_announcement &announcement);

/** Records a departure. Returns true if it is of the incarnation that sent the latest announcement. */
[[nodiscard]] bool recordDeparture(announcement_history &history, const target_departure &departure);

} // namespace ragwortpin

#endif
