#ifndef RAGWORTPIN_ADMISSION_CONCURRENCY_LIMIT_H
#define RAGWORTPIN_ADMISSION_CONCURRENCY_LIMIT_H

#include "ragwortpin/admission/fwd.h"
#include "ragwortpin/core/time.h"

#include <cstdint>

namespace ragwortpin {

/** Settings of an adaptive concurrency limit. */
struct concurrency_limit_options
{
    /** Part of the bound that is open right after a cold start. */
    double initialFraction{0.2};
    /** Factor by which the limit grows in each window of a slow start. */
    double slowStartGrowth{1.25};
    /** Shortest window between two changes of the limit. */
    duration window{milliseconds{100}};
    /** Fewest completions in a window that counts. */
    std::uint32_t minimumSamples{30};
    /** Service time over its floor, from which on a smaller limit is tried. */
    double tolerance{1.6};
    /** Factor of one cut. */
    double cut{0.85};
    /** Part of its value by which the floor rises in a second. */
    double floorRise{0.02};

    bool operator==(const concurrency_limit_options &) const = default;
};

/** Adaptive bound on the requests that a target works on at once; changed through the functions below only. */
struct concurrency_limit
{
    concurrency_limit_options options;
    /** Lesser of the announced slots and connections. */
    std::uint32_t bound{0};
    double limit{0.0};
    bool slowStart{true};
    /** Service time without contention, in microseconds; 0 before the first window. */
    double floor{0.0};
    /** Mean service time of the last whole window, in microseconds. */
    double lastMean{0.0};
    /** Mean service time before the last cut, in microseconds; 0 when the last change was no cut. */
    double meanBeforeCut{0.0};
    time_point windowStart{};
    double windowSum{0.0};
    std::uint32_t windowCount{0};
    /** Completions of the window by which the target itself refused work. */
    std::uint32_t windowRejections{0};
    /** Most requests that ran at once in the window. */
    std::uint32_t windowPeak{0};

    bool operator==(const concurrency_limit &) const = default;
};

/** Sets the bound from the announced slots and connections. A limit above the new bound is lowered at once. */
void setBound(concurrency_limit &state, std::uint32_t slots, std::uint32_t connections) noexcept;

/** Begins a slow start, after a cold start of the target. */
void startCold(concurrency_limit &state, time_point now) noexcept;

/**
 * Records one completion. The service time excludes waits in queues and for callees; running is the number of requests that
 * ran at once before the completion; rejected says that the target itself refused for overload.
 */
void observeServiceTime(concurrency_limit &state, duration serviceTime, std::uint32_t running, bool rejected, time_point now) noexcept;

/** Returns the requests that may run at once: at least 1 and at most the bound, or 0 when the bound is 0. */
[[nodiscard]] std::uint32_t currentLimit(const concurrency_limit &state) noexcept;

} // namespace ragwortpin

#endif
