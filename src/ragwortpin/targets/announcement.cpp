#include "ragwortpin/targets/announcement.h"

namespace ragwortpin {

namespace {

bool isDeparted(const announcement_history &history, const target_announcement &announcement)
{
    return !history.departed.empty() && announcement.incarnation == history.departed && announcement.startedAt <= history.departedStart;
}

bool isOvertaken(const target_announcement &latest, const target_announcement &announcement)
{
    if (announcement.startedAt != latest.startedAt) {
        return announcement.startedAt < latest.startedAt;
    }
    return announcement.incarnation == latest.incarnation && announcement.sequence > 0 && announcement.sequence <= latest.sequence;
}

} // namespace

announcement_verdict noteAnnouncement(announcement_history &history, const target_announcement &announcement)
{
    const bool overtaken{history.latest && isOvertaken(*history.latest, announcement)};
    if (overtaken || isDeparted(history, announcement)) {
        return announcement_verdict::Stale;
    }
    history.latest = announcement;
    return announcement_verdict::Accepted;
}

bool noteDeparture(announcement_history &history, const target_departure &departure)
{
    if (!history.latest || history.latest->incarnation != departure.incarnation) {
        history.departed = departure.incarnation;
        history.departedStart = departure.receivedAt;
        return false;
    }
    history.departed = departure.incarnation;
    history.departedStart = history.latest->startedAt;
    return true;
}

} // namespace ragwortpin
