#include "ragwortpin/node/shutdown.h"

#include <algorithm>

namespace ragwortpin {

namespace {

/** Longest wait for the rest of requests that were received in part when the listeners were closed. */
constexpr milliseconds PartialRequestTimeout{1000};

bool isFinished(const shutdown_progress &progress, const remaining_work &work, time_point now)
{
    if (work.requests > 0 || work.holdsRates || work.holdsDepartures || now == *progress.listenersClosedAt) {
        return false;
    }
    return work.unreadConnections == 0 || now - *progress.listenersClosedAt >= PartialRequestTimeout;
}

} // namespace

shutdown_settings divideGrace(duration grace)
{
    constexpr milliseconds MaxAnnouncePeriod{2700};
    constexpr double UsedPart{0.9};
    const auto used = fromSeconds(toSeconds(grace) * UsedPart);
    const auto announce = std::min<duration>(MaxAnnouncePeriod, used / 2);
    return {.announcePeriod = announce, .finishTimeout = used - announce};
}

bool isAnnouncePeriodOver(const shutdown_progress &progress, const shutdown_settings &settings, time_point now) noexcept
{
    return progress.startedAt && now - *progress.startedAt >= settings.announcePeriod;
}

shutdown_step advanceShutdown(shutdown_progress &progress, const remaining_work &work, const shutdown_settings &settings, time_point now)
{
    if (progress.isComplete || !isAnnouncePeriodOver(progress, settings, now)) {
        return shutdown_step::Wait;
    }
    const bool isTimedOut{now - *progress.startedAt >= settings.announcePeriod + settings.finishTimeout};
    if (isTimedOut || (progress.listenersClosedAt && isFinished(progress, work, now))) {
        progress.isComplete = true;
        return shutdown_step::Finish;
    }
    if (work.requests > 0) {
        return shutdown_step::Wait;
    }
    if (!progress.listenersClosedAt) {
        progress.listenersClosedAt = now;
        return shutdown_step::CloseListeners;
    }
    return shutdown_step::CloseIdleConnections;
}

} // namespace ragwortpin
