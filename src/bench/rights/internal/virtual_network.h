#ifndef RAGWORTPIN_BENCH_RIGHTS_INTERNAL_VIRTUAL_NETWORK_H
#define RAGWORTPIN_BENCH_RIGHTS_INTERNAL_VIRTUAL_NETWORK_H

#include "bench/rights/virtual_fleet.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace ragwortpin::bench::internal {

/** Draws a number in [0, 1). */
[[nodiscard]] double chance(virtual_fleet &fleet);

/** Draws a time from zero to the given one. */
[[nodiscard]] duration upTo(virtual_fleet &fleet, duration span);

/** Whether messages pass between two nodes. */
[[nodiscard]] bool canReach(const virtual_fleet &fleet, std::size_t from, std::size_t to);

/** Runs something in a process, or when it resumes; nothing if the process has ended. */
void inProcess(virtual_fleet &fleet, std::size_t index, std::uint64_t lifetime, std::function<void(rights_state &, time_point)> run);

/** Sends what a process put out: messages to other nodes and calls to the store. */
void flush(virtual_fleet &fleet, std::size_t index);

} // namespace ragwortpin::bench::internal

#endif
