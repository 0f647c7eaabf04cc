#ifndef RAGWORTPIN_BENCH_RIGHTS_INTERNAL_VIRTUAL_REQUESTS_H
#define RAGWORTPIN_BENCH_RIGHTS_INTERNAL_VIRTUAL_REQUESTS_H

#include "bench/rights/virtual_fleet.h"

#include <cstddef>

namespace ragwortpin::bench::internal {

/** Tries again to take a token for each request waiting at a node. Requests that still get no decision stay queued. */
void retryWaitingRequests(virtual_fleet &fleet, std::size_t index);

} // namespace ragwortpin::bench::internal

#endif
