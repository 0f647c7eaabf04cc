#ifndef RAGWORTPIN_TARGETS_ANNOUNCEMENT_H
#define RAGWORTPIN_TARGETS_ANNOUNCEMENT_H

#include "ragwortpin/http/message.h"
#include "ragwortpin/targets/fwd.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ragwortpin {

/** What a target tells the node beside it. */
struct target_announcement
{
    std::string service;
    endpoint address;
    /** Requests that the target works on at once. */
    std::uint32_t slots{0};
    /** Connections that the target accepts. */
    std::uint32_t connections{0};
    /** Names one start of the target; empty where targets do not tell. */
    std::string incarnation{};
    /** Wall clock of the target's start in milliseconds since the Unix epoch; 0 where targets do not tell. */
    std::uint64_t startedAt{0};
    /** Grows with each announcement of an incarnation; 0 where targets do not number them. */
    std::uint64_t sequence{0};
    /** Whether the target leaves and takes no new work. */
    bool draining{false};

    bool operator==(const target_announcement &) const = default;
};

/** Tells that an incarnation of the target is gone, or about to go without further notice. */
struct target_departure
{
    std::string incarnation;
    /** Wall clock of its receipt in milliseconds since the Unix epoch; bounds the start of an incarnation that was never announced. */
    std::uint64_t receivedAt{0};

    bool operator==(const target_departure &) const = default;
};

/** What a node remembers of the announcements of its target. */
struct announcement_history
{
    std::optional<target_announcement> latest;
    /** Incarnation that departed last, and its start. */
    std::string departed;
    std::uint64_t departedStart{0};

    bool operator==(const announcement_history &) const = default;
};

/** What an announcement means to the node. */
enum class announcement_verdict : unsigned char {
    /** The target is as it says. */
    Accepted,
    /** It was overtaken by a later one, or is of an incarnation that ended. */
    Stale,
};

/**
 * Judges an announcement and remembers it if it is accepted. Announcements may be late by seconds and outlive their sender:
 * one of an earlier start, or with a lower number, than the latest is stale, and so is any of an incarnation that departed.
 */
[[nodiscard]] announcement_verdict noteAnnouncement(announcement_history &history, const target_announcement &announcement);

/** Remembers a departure; true when it concerns the target that announced itself last. */
[[nodiscard]] bool noteDeparture(announcement_history &history, const target_departure &departure);

} // namespace ragwortpin

#endif
