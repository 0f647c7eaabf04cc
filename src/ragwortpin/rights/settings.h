#ifndef RAGWORTPIN_RIGHTS_SETTINGS_H
#define RAGWORTPIN_RIGHTS_SETTINGS_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/rights/fwd.h"

#include <cstdint>
#include <string>

namespace ragwortpin {

/** Largest relative error of a node's monotonic clock for which the rate limits are guaranteed: 1 ms per second. */
inline constexpr double ClockDriftBound{1e-3};

/** Settings of the rate limiter. All nodes of a fleet must use the same values. */
struct rights_settings
{
    /** Number of slots into which the share of each availability zone is divided. */
    std::uint32_t slotsPerZone{16};
    /** Time without a confirmation by its owner after which another node may acquire a slot. */
    duration slotLapse{std::chrono::hours{1}};
    /** An owner stops using an unconfirmed slot earlier than slotLapse by this fraction of it. Must exceed twice ClockDriftBound. */
    double slotMarginFraction{0.01};
    /** Time for which a slot owner lends rights to a pool, unless the loan is renewed. */
    duration loanTerm{seconds{6}};
    /**
     * Minimum burst of a workspace per availability zone for which each zone has its own pool. With a smaller burst one pool serves the
     * nodes of all zones.
     */
    double minZonePoolBurst{16.0};
    /** Interval at which a pool renews its loans. */
    duration loanRenewalInterval{milliseconds{1500}};
    /** Time after its request for which a node may spend the tokens of a batch. */
    duration batchTerm{milliseconds{500}};
    /** Safety margin for clock drift: lenders wait longer and borrowers stop earlier than loanTerm or batchTerm by this time. */
    duration clockMargin{milliseconds{20}};
    /** A batch is sized for the demand that is expected within this time. */
    duration batchHorizon{milliseconds{200}};
    /** Time after which a batch request without a reply counts as lost and may be sent again. */
    duration requestTimeout{milliseconds{60}};
    /** Time for which a pool that repeatedly did not reply gets no requests. */
    duration poolBackoff{seconds{1}};
    /** Time without use after which a node returns tokens to their pool. */
    duration idleReturnDelay{milliseconds{100}};
    /** Maximum time for which a request waits for a token before it is refused. */
    duration maxWait{milliseconds{150}};

    bool operator==(const rights_settings &) const = default;
};

/** Identity of this node towards the store and its peers. */
struct rights_identity
{
    /** Instance name, unique in the fleet. */
    std::string name;
    std::string availabilityZone;
    /** IP address and port to which this process is bound exclusively for its whole life. */
    std::string address;
    /** Random number that identifies this run of the process. */
    std::uint64_t incarnation{0};

    bool operator==(const rights_identity &) const = default;
};

} // namespace ragwortpin

#endif
