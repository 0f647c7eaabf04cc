#ifndef RAGWORTPIN_NODE_SHUTDOWN_H
#define RAGWORTPIN_NODE_SHUTDOWN_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/node/settings.h"

#include <cstddef>
#include <optional>

namespace ragwortpin {

/** Progress of a graceful shutdown. */
struct shutdown_progress
{
    std::optional<time_point> startedAt{};
    /** Time at which the listeners stopped accepting connections. */
    std::optional<time_point> listenersClosedAt{};
    bool isComplete{false};

    bool operator==(const shutdown_progress &) const = default;
};

/** Work that a node has left. */
struct remaining_work
{
    /** Requests that were read and not answered yet. */
    std::size_t requests{0};
    /** Connections on which a request was received in part, or completely and not read yet. */
    std::size_t unreadConnections{0};
    /** Whether the node holds rate slots or loans that other nodes have not taken over. */
    bool holdsRates{false};
    /** Whether departures of the target are known to this process only. */
    bool holdsDepartures{false};

    bool operator==(const remaining_work &) const = default;
};

/** Next step of a graceful shutdown. */
enum class shutdown_step : unsigned char {
    Wait,
    /** Stop accepting connections and close the idle ones. Requests on the others are still answered. */
    CloseListeners,
    /** Close the idle connections again, since others became idle meanwhile. */
    CloseIdleConnections,
    /** Nothing is left, or the time for it is over. */
    Finish,
};

/**
 * Divides the time from the signal to stop until the process is killed. Nine tenths of it are used. New requests are accepted for at most
 * 2.7 s, so that most of the time is left for those that have begun.
 */
[[nodiscard]] shutdown_settings divideGrace(duration grace);

/** Returns whether the announce period has passed. New requests are refused from then on, as they could not finish in time. */
[[nodiscard]] bool isAnnouncePeriodOver(const shutdown_progress &progress, const shutdown_settings &settings, time_point now) noexcept;

/**
 * Returns the next step of a shutdown and records it. The listeners are closed when the announce period is over and no request is left.
 * The shutdown finishes one step later at the earliest, so that requests received while the listeners were closed are answered, and at
 * `finishTimeout` after the announce period at the latest. Returns Wait if no shutdown was started or it is complete.
 */
[[nodiscard]] shutdown_step
advanceShutdown(shutdown_progress &progress, const remaining_work &work, const shutdown_settings &settings, time_point now);

} // namespace ragwortpin

#endif
