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
 * Names the clock that decisions measure with. It has no now(): decisions receive the time as an argument, so that
 * daemons, tests and benchmarks run the same functions. Daemons obtain it from monotonicNow().
 */
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
};

/** Span of time in microseconds. */
using duration = monotonic_clock::duration;

/** Instant of the monotonic clock of one process; never compared between processes. */
using time_point = monotonic_clock::time_point;

/**
 * Reads the clock that counts from the machine's start, the time that it was suspended included. Leases, proofs and deadlines
 * run on while a machine sleeps.
 */
[[nodiscard]] inline time_point monotonicNow() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{seconds{now.tv_sec} + std::chrono::duration_cast<duration>(std::chrono::nanoseconds{now.tv_nsec})};
}

/** Reads the wall clock, in microseconds since the Unix epoch. Used for spans and short-lived signatures only. */
[[nodiscard]] inline microseconds wallClockNow() noexcept
{
    return std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch());
}

/** Converts a span to seconds as a floating-point number. */
[[nodiscard]] constexpr double toSeconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

/** Converts seconds to a span, rounding towards zero. */
[[nodiscard]] constexpr duration fromSeconds(double value) noexcept
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace ragwortpin

#endif
