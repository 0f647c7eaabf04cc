#ifndef RAGWORTPIN_BENCH_FLEET_FAULTS_H
#define RAGWORTPIN_BENCH_FLEET_FAULTS_H

#include "bench/fleet/fleet.h"

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace ragwortpin::fleet_bench {

/** Kinds of faults and changes that can be applied to a fleet. */
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
    FalseRevisionClaim,
};

/** A fault or change that is applied to a fleet after a delay. */
struct fleet_fault
{
    fleet_fault_kind kind{fleet_fault_kind::Wait};
    /** Selects the node or availability zone: its index is this value modulo the number of nodes or zones. */
    std::uint8_t subject{0};
    /** Delay before the fault in tenths of a second. For a pause it is also the duration of the pause. */
    std::uint8_t tenths{0};

    bool operator==(const fleet_fault &) const = default;
};

/** Advances virtual time by the fault's delay and applies the fault. */
void apply(fleet &nodes, const fleet_options &options, const fleet_fault &value);

/** Ends network cuts, the store outage and datagram loss, and restarts killed nodes. Pauses are not ended; they run out. */
void repair(fleet &nodes);

/** Writes a fault in the form shown when a property test fails. */
std::ostream &operator<<(std::ostream &out, const fleet_fault &value);

} // namespace ragwortpin::fleet_bench

#endif
