#ifndef RAGWORTPIN_BENCH_RIGHTS_INTERNAL_VIRTUAL_NETWORK_H
#define RAGWORTPIN_BENCH_RIGHTS_INTERNAL_VIRTUAL_NETWORK_H

#include "bench/rights/virtual_fleet.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace ragwortpin::bench::internal {

/** Returns a uniformly distributed random number in [0, 1). */
[[nodiscard]] double drawFraction(virtual_fleet &fleet);

/** Returns a uniformly distributed random duration between zero and `span`, both included. A negative span counts as zero. */
[[nodiscard]] duration drawDuration(virtual_fleet &fleet, duration span);

/** Returns whether the network delivers messages between two nodes, given the current cuts. */
[[nodiscard]] bool canReach(const virtual_fleet &fleet, std::size_t from, std::size_t to);

/**
 * Runs an action in the given generation of a process and sends its output. A paused process runs the action when it resumes.
 * Does nothing if that process has ended.
 */
void runInProcess(virtual_fleet &fleet, std::size_t index, std::uint64_t generation, std::function<void(rights_state &, time_point)> run);

/** Sends the pending output of a process: messages to other nodes and calls to the store. */
void sendOutput(virtual_fleet &fleet, std::size_t index);

} // namespace ragwortpin::bench::internal

#endif
