#ifndef RAGWORTPIN_DEADLINES_DEADLINES_H
#define RAGWORTPIN_DEADLINES_DEADLINES_H

#include "ragwortpin/core/time.h"

#include <algorithm>

namespace ragwortpin {

/** Time that a hop keeps for bringing the answer back up, as the fraction 1 / HopReserveDivisor of what remains. */
inline constexpr int HopReserveDivisor{50};

/** Most time that a hop keeps for bringing the answer back up. */
inline constexpr duration LongestHopReserve{milliseconds{5}};

/** Returns the time that is passed on to a callee: what remains less the hop's reserve, never negative. */
[[nodiscard]] constexpr duration remainingForCallee(time_point deadline, time_point now) noexcept
{
    const duration remaining{std::max(duration{0}, deadline - now)};
    return remaining - std::min(LongestHopReserve, remaining / HopReserveDivisor);
}

/** Returns the deadline, on this process's clock, of a request that arrived with so much time left. */
[[nodiscard]] constexpr time_point deadlineAfter(duration remaining, time_point now) noexcept
{
    return now + std::max(duration{0}, remaining);
}

} // namespace ragwortpin

#endif
