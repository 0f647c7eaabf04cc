#ifndef RAGWORTPIN_ADMISSION_PROCESSING_LIMIT_H
#define RAGWORTPIN_ADMISSION_PROCESSING_LIMIT_H

#include "ragwortpin/admission/admission.h"
#include "ragwortpin/admission/fwd.h"
#include "ragwortpin/core/time.h"

#include <cstdint>
#include <optional>

namespace ragwortpin {

/** Settings of a processing limit. */
struct processing_limit_options
{
    /** Delay of the event loop from which on the node lacks processor time. */
    duration saturatedDelay{milliseconds{20}};
    /** Time for which the delay must last before a limit is set, so that a pause or the start of the process sets none. */
    duration saturatedInterval{milliseconds{200}};
    /** Delay of the event loop that counts like a queue of as many requests as the limit. */
    duration fullQueueDelay{milliseconds{40}};
    /** Part of the time for which the event loop may be busy when there is no delay. */
    double targetUtilisation{0.9};
    /** Delay above saturatedDelay at which half of that is targeted, so that waiting requests are worked off. */
    duration halfTargetDelay{milliseconds{100}};
    /** Utilisation below which no queue is reported, so that first hops admit more. */
    double underusedBelow{0.85};
    /** Part that one observation has in the limit. */
    double gain{0.3};
    /** Queue that is reported at least while there is a limit, so that first hops continue to plan, as a multiple of its square root. */
    double minQueueDeviations{0.6};
    /** Minimum limit as a fraction of the target's own limit, so that requests still arrive that show the node's recovery. */
    double minFraction{0.1};

    bool operator==(const processing_limit_options &) const = default;
};

/** Load of the event loop of a node over one interval. */
struct loop_load
{
    /** Time that a connection with data waits until it is read. */
    duration delay{0};
    /** Part of the time in which the loop was busy. */
    double utilisation{0.0};

    bool operator==(const loop_load &) const = default;
};

/**
 * Limit on the concurrent requests of a target that follows from the processor time of the node beside it. While a node lacks
 * processor time, requests wait in their connections, where neither the queue nor the slots show them. Only the functions below
 * modify it.
 */
struct processing_limit
{
    processing_limit_options options;
    /** Number of concurrent requests that the node can process; nothing while the target is the tighter limit. */
    std::optional<double> limit;
    /** Latest load of the event loop. */
    loop_load load;
    /** Time since which the delay has been at least saturatedDelay; nothing while it is below. */
    std::optional<time_point> saturatedSince;
    /** Time of the latest observation, and the number of requests started by then. */
    time_point observedAt{};
    std::uint64_t startedCount{0};

    bool operator==(const processing_limit &) const = default;
};

/** Records the load of the node's event loop. Must be called at regular intervals. */
void observeLoop(processing_limit &state, const loop_load &load, const admission_state &admission, time_point now);

/** Returns how many requests can be processed concurrently: the lower one of the target's and of the node's limit. */
[[nodiscard]] std::uint32_t sustainableLimit(const processing_limit &state, const admission_state &admission) noexcept;

/** Returns the number of requests that wait for a slot or, estimated from the delay of the event loop, to be read. */
[[nodiscard]] std::uint32_t waitingRequests(const processing_limit &state, const admission_state &admission) noexcept;

} // namespace ragwortpin

#endif
