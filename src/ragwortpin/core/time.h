#ifndef RAGWORTPIN_CORE_TIME_H
#define RAGWORTPIN_CORE_TIME_H

#include <time.h>

#include <chrono>
#include <cstdint>

namespace ragwortpin {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * Clock type of the time points that decision functions use. It has no now(): decision functions receive the time as an
 * argument, so that daemons, tests and benchmarks run the same functions. Daemons read the clock with monotonicNow().
 */
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
};

/** Length of time in microseconds. */
using duration = monotonic_clock::duration;

/** Point in time on the monotonic clock. Only comparable within one process. */
using time_point = monotonic_clock::time_point;

/**
 * Returns the time since boot, including time in which the machine was suspended (CLOCK_BOOTTIME), because leases, proofs of
 * the configuration in force and deadlines keep expiring while a machine is suspended.
 */
[[nodiscard]] inline time_point monotonicNow() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{seconds{now.tv_sec} + std::chrono::duration_cast<duration>(std::chrono::nanoseconds{now.tv_nsec})};
}

/** Returns the wall-clock time since the Unix epoch, for spans, logs, records and signatures. Use monotonicNow() for intervals. */
[[nodiscard]] inline microseconds wallClockNow() noexcept
{
    return std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch());
}

/** Converts a duration to seconds as a floating-point number. */
[[nodiscard]] constexpr double toSeconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

/** Converts seconds to a duration, rounding towards zero. */
[[nodiscard]] constexpr duration fromSeconds(double value) noexcept
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace ragwortpin

#endif
