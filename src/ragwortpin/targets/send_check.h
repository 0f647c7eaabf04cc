#ifndef RAGWORTPIN_TARGETS_SEND_CHECK_H
#define RAGWORTPIN_TARGETS_SEND_CHECK_H

#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/targets/announcement.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin {

/** What a node knows of its target at one moment. */
struct target_view
{
    const std::optional<target_announcement> &announced;
    bool draining{false};
    /** Whether the target refused a request because it is another incarnation than the announced one. */
    bool replaced{false};
};

/** What a request for the target rests on. */
struct send_conditions
{
    /** Service that the request was routed to. */
    std::string service;
    /** Incarnation and address that the request was addressed to; nothing before it is addressed. */
    std::optional<std::string> incarnation;
    endpoint address;
    time_point deadline;
};

/** Reasons why a request must not be sent to the target. */
enum class send_obstacle : unsigned char {
    Draining,
    NotReady,
    OtherService,
    OtherIncarnation,
    DeadlineExceeded,
};

/** All obstacles, in the order of their values. */
inline constexpr std::array SendObstacles{send_obstacle::Draining,
                                          send_obstacle::NotReady,
                                          send_obstacle::OtherService,
                                          send_obstacle::OtherIncarnation,
                                          send_obstacle::DeadlineExceeded};

/**
 * Returns why a request must not be sent to the target now; nothing if it may be. Every wait on the way of a request (for a slot, for a
 * connection) may end in another state of the target than it began in, so this is checked before the first wait and after each one.
 */
[[nodiscard]] std::optional<send_obstacle> findObstacle(const send_conditions &conditions, const target_view &target, time_point now);

/** Returns the refusal that tells the sender of the request. In all cases the request has not run. */
[[nodiscard]] refusal_kind toRefusal(send_obstacle obstacle) noexcept;

/** Returns the value of the label `reason` of the metric. */
[[nodiscard]] std::string_view toToken(send_obstacle obstacle) noexcept;

} // namespace ragwortpin

#endif
