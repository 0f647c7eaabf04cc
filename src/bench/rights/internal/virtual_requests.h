#ifndef RAGWORTPIN_BENCH_RIGHTS_INTERNAL_VIRTUAL_REQUESTS_H
#define RAGWORTPIN_BENCH_RIGHTS_INTERNAL_VIRTUAL_REQUESTS_H

#include "bench/rights/virtual_fleet.h"

#include <cstddef>

namespace ragwortpin::bench::internal {

/** Asks once more for the tokens of the requests that wait at a node. */
void retryWaiting(virtual_fleet &fleet, std::size_t index);

} // namespace ragwortpin::bench::internal

#endif
