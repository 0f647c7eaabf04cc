#ifndef RAGWORTPIN_BENCH_FLEET_FAULTS_H
#define RAGWORTPIN_BENCH_FLEET_FAULTS_H

#include "bench/fleet/fleet.h"

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace ragwortpin::fleet_bench {

/** What happens to a fleet. */
enum class fleet_fault_kind : unsigned char {
    Wait,
    Kill,
    Restart,
    Pause,
    Cut,
    Heal,
    StoreDown,
    StoreUp,
    Publish,
    Drain,
    Ready,
    ForgeClaim,
};

/** One thing that happens, after a time. */
struct fleet_fault
{
    fleet_fault_kind kind{fleet_fault_kind::Wait};
    /** Chooses the node or availability zone, modulo their number. */
    std::uint8_t subject{0};
    /** Time before it happens, in tenths of a second; for a pause also its length. */
    std::uint8_t tenths{0};

    bool operator==(const fleet_fault &) const = default;
};

/** Lets time pass and makes the fault happen. */
void apply(fleet &nodes, const fleet_options &options, const fleet_fault &value);

/** Ends cuts, pauses, outage and loss, and starts the nodes that were killed. */
void repair(fleet &nodes);

/** Writes a fault for the report of a failed property. */
std::ostream &operator<<(std::ostream &out, const fleet_fault &value);

} // namespace ragwortpin::fleet_bench

#endif
