#ifndef RAGWORTPIN_TARGETS_ANNOUNCEMENT_H
#define RAGWORTPIN_TARGETS_ANNOUNCEMENT_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/targets/fwd.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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

/** That a start of the target drains or has ended. Kept outside the process, so that it outlives a restart of the node. */
struct departure_record
{
    std::string incarnation;
    /** Wall clock at the start, or an upper bound of it, in milliseconds since the Unix epoch. */
    std::uint64_t startedAt{0};
    /** Sequence number of the latest announcement; 0 if the start was never announced. */
    std::uint64_t sequence{0};
    /** Whether the start has departed; otherwise it drains. */
    bool hasEnded{false};

    bool operator==(const departure_record &) const = default;
};

/** One start of a target. */
struct target_start
{
    std::string incarnation;
    /** Wall clock at the start, or an upper bound of it, in milliseconds since the Unix epoch. */
    std::uint64_t startedAt{0};

    bool operator==(const target_start &) const = default;
};

/** Start that another incarnation at the target's address has disproved by refusing a request meant for it. */
struct refuted_start
{
    target_start start;
    time_point refutedAt;

    bool operator==(const refuted_start &) const = default;
};

/** Announcement that is not the current one, though its sender goes on sending. */
struct rival_announcement
{
    target_announcement value;
    time_point firstHeardAt;
    time_point lastHeardAt;
    /** Number of announcements since firstHeardAt, each with a higher sequence number than the one before. */
    unsigned count{0};

    bool operator==(const rival_announcement &) const = default;
};

/** What a node recorded of the announcements and departures of its target. Its size is bounded. */
struct announcement_history
{
    std::optional<target_announcement> latest;
    time_point latestHeardAt{};
    /** Sender that `latest` displaced, or that contradicts it; takes its place if `latest` falls silent or is refuted. */
    std::optional<rival_announcement> rival;
    /** Starts that departed after they were announced here. */
    std::vector<target_start> departed;
    /** Starts that departed without an announcement. Kept apart, since anybody can name any number of them. */
    std::vector<target_start> departedUnannounced;
    std::vector<refuted_start> refuted;
    /** Departures that were recorded before this process started. */
    std::vector<departure_record> restored;
    time_point restoredAt{};
    /** Whether it is still unknown what was recorded before this process started. */
    bool awaitsRestore{false};
    /** Latest announcement of the start that waits until that is known, and when its first one was heard. */
    std::optional<target_announcement> deferred;
    time_point deferredAt{};

    bool operator==(const announcement_history &) const = default;
};

/** Result of recordAnnouncement(). */
enum class announcement_verdict : unsigned char {
    /** The announcement is current and was recorded. */
    Accepted,
    /** The announcement was ignored: it is older than the latest one, or of an incarnation that has departed or was refuted. */
    Stale,
    /** The announcement is not applied before earlier departures are known, or later announcements confirm it. */
    Deferred,
};

/** Time without a current announcement after which a rival that goes on announcing itself takes over. Several heartbeat intervals. */
inline constexpr seconds AnnouncementSilence{6};
/** Longest time by which an announcement may be delayed on its way. */
inline constexpr seconds MaxAnnouncementDelay{5};
/** Time for which restored departures count. A target that still announces itself then is there, whatever was recorded. */
inline constexpr seconds RestoredPeriod{30};
/** Time for which announcements of a refuted start are ignored. */
inline constexpr seconds RefutationPeriod{10};

/**
 * Checks whether an announcement is current and records it if it is. Announcements may be delayed by seconds and arrive after their sender
 * has ended. Therefore an announcement is stale if its start time is earlier than that of the latest one, if it has the start time and
 * incarnation of the latest one without a higher sequence number (unless it is not numbered), or if its start departed or was refuted.
 *
 * None of this lasts, since start times and sequence numbers can be wrong: after AnnouncementSilence without a current announcement, a
 * sender that was ignored and goes on announcing itself is accepted. That a target drains is accepted of the latest start whatever its
 * sequence number, and ignored of any other start while the latest one is heard of.
 *
 * After a restart of the node, delayed announcements may be of a target that left before. While awaitsRestore is set, announcements of a
 * start are therefore deferred until one arrives MaxAnnouncementDelay after the first, which must have been sent after the restart.
 */
[[nodiscard]] announcement_verdict
recordAnnouncement(announcement_history &history, const target_announcement &announcement, time_point now);

/** Records a departure. Returns true if it is of the incarnation that sent the latest announcement. */
[[nodiscard]] bool recordDeparture(announcement_history &history, const target_departure &departure);

/**
 * Adds the departures that were recorded before this process started. Returns the deferred announcement, which has to be recorded again.
 */
[[nodiscard]] std::optional<target_announcement>
restoreDepartures(announcement_history &history, std::vector<departure_record> records, time_point now);

/** Returns whether the start that sent the latest announcement has left according to the restored departures. */
[[nodiscard]] bool isLatestDeparted(const announcement_history &history, time_point now);

/**
 * Records that the target refused a request since it is not the given incarnation. If the latest announcement is of this incarnation, it is
 * dropped, and the announcement it displaced is the latest again if it was heard of within AnnouncementSilence. Returns whether the latest
 * announcement has changed.
 */
[[nodiscard]] bool refuteIncarnation(announcement_history &history, const std::string &incarnation, time_point now);

} // namespace ragwortpin

#endif
