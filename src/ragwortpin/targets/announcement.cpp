#include "ragwortpin/targets/announcement.h"

namespace ragwortpin {

namespace {

bool isFromDepartedIncarnation(const announcement_history &history, const target_announcement &announcement)
{
    return !history.departedIncarnation.empty() && announcement.incarnation == history.departedIncarnation
        && announcement.startedAt <= history.departedStartedAt;
}

bool isSuperseded(const target_announcement &latest, const target_announcement &announcement)
{
    if (announcement.startedAt != latest.startedAt) {
        return announcement.startedAt < latest.startedAt;
    }
    return announcement.incarnation == latest.incarnation && announcement.sequence > 0 && announcement.sequence <= latest.sequence;
}

} // namespace

announcement_verdict recordAnnouncement(announcement_history &history, const target_announcement &announcement)
{
    const bool superseded{history.latest && isSuperseded(*history.latest, announcement)};
    if (superseded || isFromDepartedIncarnation(history, announcement)) {
        return announcement_verdict::Stale;
    }
    history.latest = announcement;
    return announcement_verdict::Accepted;
}

bool recordDeparture(announcement_history &history, const target_departure &departure)
{
    if (!history.latest || history.latest->incarnation != departure.incarnation) {
        history.departedIncarnation = departure.incarnation;
        history.departedStartedAt = departure.receivedAt;
        return false;
    }
    history.departedIncarnation = departure.incarnation;
    history.departedStartedAt = history.latest->startedAt;
    return true;
}

} // namespace ragwortpin
