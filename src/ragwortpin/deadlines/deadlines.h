#ifndef RAGWORTPIN_DEADLINES_DEADLINES_H
#define RAGWORTPIN_DEADLINES_DEADLINES_H

#include "ragwortpin/core/time.h"

#include <algorithm>

namespace ragwortpin {

/** A hop reserves the fraction 1 / HopReserveDivisor of the remaining time for returning the answer to its caller. */
inline constexpr int HopReserveDivisor{50};

/** Maximum time that a hop reserves for returning the answer to its caller. */
inline constexpr duration MaxHopReserve{milliseconds{5}};

/** Returns the time to pass on to a callee: the time until the deadline less the hop's reserve, never negative. */
[[nodiscard]] constexpr duration remainingForCallee(time_point deadline, time_point now) noexcept
{
    const duration remaining{std::max(duration{0}, deadline - now)};
    return remaining - std::min(MaxHopReserve, remaining / HopReserveDivisor);
}

/** Returns the deadline, on this process's clock, of a request that arrived with the given remaining time; a negative one counts as 0. */
[[nodiscard]] constexpr time_point deadlineAfter(duration remaining, time_point now) noexcept
{
    return now + std::max(duration{0}, remaining);
}

} // namespace ragwortpin

#endif
