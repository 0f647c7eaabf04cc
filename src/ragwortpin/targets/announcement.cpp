#include "ragwortpin/targets/announcement.h"

#include <algorithm>
#include <utility>

namespace ragwortpin {

namespace {

constexpr std::size_t MaxRecordedStarts{16};
/** Announcements, and the time from the first to the last of them, that a rival needs to take over. */
constexpr unsigned MinRivalAnnouncements{3};
constexpr seconds MinRivalPeriod{2};

template<typename Value>
void appendBounded(std::vector<Value> &values, Value value)
{
    if (values.size() >= MaxRecordedStarts) {
        values.erase(values.begin());
    }
    values.push_back(std::move(value));
}

/** Records that a start has departed. The notice may be repeated, and then takes no further place. */
void appendDeparted(std::vector<target_start> &departed, target_start start)
{
    const auto known = std::find_if(departed.begin(), departed.end(), [&start](const target_start &other) {
        return other.incarnation == start.incarnation;
    });
    if (known == departed.end()) {
        appendBounded(departed, std::move(start));
    } else {
        known->startedAt = std::max(known->startedAt, start.startedAt);
    }
}

bool isSameStart(const target_announcement &first, const target_announcement &second) noexcept
{
    return first.startedAt == second.startedAt && first.incarnation == second.incarnation;
}

bool hasDeparted(const std::vector<target_start> &departed, const target_announcement &announcement)
{
    return std::any_of(departed.begin(), departed.end(), [&announcement](const target_start &start) {
        return start.incarnation == announcement.incarnation && announcement.startedAt <= start.startedAt;
    });
}

bool hasDeparted(const announcement_history &history, const target_announcement &announcement)
{
    return hasDeparted(history.departed, announcement) || hasDeparted(history.departedUnannounced, announcement);
}

/** Returns whether the restored departures say that the start of an announcement had left when the announcement was sent. */
bool isBeforeRestored(const announcement_history &history, const target_announcement &announcement, time_point now)
{
    if (now - history.restoredAt >= RestoredPeriod) {
        return false;
    }
    return std::any_of(history.restored.begin(), history.restored.end(), [&announcement](const departure_record &restored) {
        if (announcement.incarnation != restored.incarnation || announcement.startedAt > restored.startedAt) {
            return false;
        }
        return restored.hasEnded || announcement.startedAt < restored.startedAt
            || (!announcement.draining && announcement.sequence <= restored.sequence);
    });
}

/** Defers an announcement that may be from before a restart of the node. Returns false if it cannot be. */
bool defer(announcement_history &history, const target_announcement &announcement, time_point now)
{
    auto &deferred = history.deferred;
    if (!deferred || !isSameStart(*deferred, announcement)) {
        deferred = announcement;
        history.deferredAt = now;
        return true;
    }
    if (announcement.sequence <= deferred->sequence) {
        return true;
    }
    deferred = announcement;
    return now - history.deferredAt < MaxAnnouncementDelay;
}

bool isRefuted(const announcement_history &history, const target_announcement &announcement, time_point now)
{
    return std::any_of(history.refuted.begin(), history.refuted.end(), [&](const refuted_start &refuted) {
        return refuted.start == target_start{announcement.incarnation, announcement.startedAt}
        && now - refuted.refutedAt < RefutationPeriod;
    });
}

bool isSuperseded(const target_announcement &latest, const target_announcement &announcement)
{
    if (announcement.startedAt != latest.startedAt) {
        return announcement.startedAt < latest.startedAt;
    }
    return announcement.incarnation == latest.incarnation && announcement.sequence > 0 && announcement.sequence <= latest.sequence;
}

bool isSilent(const announcement_history &history, time_point now)
{
    return now - history.latestHeardAt >= AnnouncementSilence;
}

/** Records an announcement that contradicts the latest one. A rival that is still heard of is not replaced by another. */
void recordRival(announcement_history &history, const target_announcement &announcement, time_point now)
{
    auto &rival = history.rival;
    const bool isKnown{rival && isSameStart(rival->value, announcement)};
    if (isKnown && announcement.sequence > rival->value.sequence) {
        rival->value = announcement;
        rival->lastHeardAt = now;
        ++rival->count;
    } else if (!rival || isKnown || now - rival->lastHeardAt >= AnnouncementSilence) {
        rival = rival_announcement{announcement, now, now, 1};
    }
}

bool canTakeOver(const announcement_history &history, const target_announcement &announcement, time_point now)
{
    const auto &rival = history.rival;
    const bool wouldEndDrain{history.latest->draining && !announcement.draining && isSameStart(*history.latest, announcement)};
    return !wouldEndDrain && isSilent(history, now) && rival && rival->value == announcement && rival->count >= MinRivalAnnouncements
        && now - rival->firstHeardAt >= MinRivalPeriod;
}

/** Makes the announcement the latest one. The sender that it displaces becomes the rival, so that it can return. */
void accept(announcement_history &history, const target_announcement &announcement, time_point now)
{
    const bool displaces{history.latest && !isSameStart(*history.latest, announcement)};
    if (displaces) {
        history.rival = rival_announcement{*history.latest, history.latestHeardAt, history.latestHeardAt, 0};
    } else if (history.rival && isSameStart(history.rival->value, announcement)) {
        history.rival.reset();
    }
    history.latest = announcement;
    history.latestHeardAt = now;
}

} // namespace

announcement_verdict recordAnnouncement(announcement_history &history, const target_announcement &announcement, time_point now)
{
    if (hasDeparted(history, announcement) || isRefuted(history, announcement, now) || isBeforeRestored(history, announcement, now)) {
        return announcement_verdict::Stale;
    }
    if (!history.latest) {
        if (history.awaitsRestore && !announcement.draining && defer(history, announcement, now)) {
            return announcement_verdict::Deferred;
        }
        history.deferred.reset();
        accept(history, announcement, now);
        return announcement_verdict::Accepted;
    }
    const bool isSame{isSameStart(*history.latest, announcement)};
    if (isSame && announcement.draining && !history.latest->draining) {
        const auto sequence = std::max(history.latest->sequence, announcement.sequence);
        accept(history, announcement, now);
        history.latest->sequence = sequence;
        return announcement_verdict::Accepted;
    }
    const bool isForeignDrain{!isSame && announcement.draining && !isSilent(history, now)};
    if (isForeignDrain || isSuperseded(*history.latest, announcement)) {
        recordRival(history, announcement, now);
        if (!canTakeOver(history, announcement, now)) {
            return announcement_verdict::Stale;
        }
        // Not merely displaced: the silent sender counts as a rival again once it is heard of.
        history.latest.reset();
    }
    accept(history, announcement, now);
    return announcement_verdict::Accepted;
}

bool recordDeparture(announcement_history &history, const target_departure &departure)
{
    if (!history.latest || history.latest->incarnation != departure.incarnation) {
        appendDeparted(history.departedUnannounced, target_start{departure.incarnation, departure.receivedAt});
        return false;
    }
    appendDeparted(history.departed, target_start{departure.incarnation, history.latest->startedAt});
    return true;
}

std::optional<target_announcement> restoreDepartures(announcement_history &history, std::vector<departure_record> records, time_point now)
{
    history.restoredAt = now;
    history.awaitsRestore = false;
    history.restored = std::move(records);
    return std::exchange(history.deferred, std::nullopt);
}

bool isLatestDeparted(const announcement_history &history, time_point now)
{
    return history.latest && isBeforeRestored(history, *history.latest, now);
}

bool refuteIncarnation(announcement_history &history, const std::string &incarnation, time_point now)
{
    if (!history.latest || history.latest->incarnation != incarnation) {
        return false;
    }
    appendBounded(history.refuted, refuted_start{{incarnation, history.latest->startedAt}, now});
    history.latest.reset();
    const auto rival = std::exchange(history.rival, std::nullopt);
    const bool isRivalPresent{rival && now - rival->lastHeardAt < AnnouncementSilence && !isRefuted(history, rival->value, now)
                              && !hasDeparted(history, rival->value)};
    if (isRivalPresent) {
        history.latest = rival->value;
        history.latestHeardAt = rival->lastHeardAt;
    }
    return true;
}

} // namespace ragwortpin
