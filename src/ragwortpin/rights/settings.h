#ifndef RAGWORTPIN_RIGHTS_SETTINGS_H
#define RAGWORTPIN_RIGHTS_SETTINGS_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/rights/fwd.h"

#include <cstdint>
#include <string>

namespace ragwortpin {

/** Largest relative error of any node's monotonic clock that the guarantees hold for: 1 ms a second. */
inline constexpr double ClockDriftBound{1e-3};

/** Settings of the rate limiter. All nodes of a fleet must run with the same values. */
struct rights_settings
{
    /** Slots that each availability zone's share is cut into. */
    std::uint32_t slotsPerZone{16};
    /** Time since its last confirmation after which a slot may be taken from its owner. */
    duration slotLapse{std::chrono::hours{1}};
    /** Part of slotLapse by which an owner stops using an unconfirmed slot early; must exceed twice ClockDriftBound. */
    double slotMargin{0.01};
    /** Time that an owner's rights are lent to a pool for. */
    duration loanTerm{seconds{6}};
    /** Least burst for each availability zone with which each has its own pool; below it one pool serves all that can be reached. */
    double zonePoolBurst{16.0};
    /** Time between a pool's renewals of a loan. */
    duration loanRenewal{milliseconds{1500}};
    /** Time that a batch of tokens may be held by the node that asked for it. */
    duration batchLife{milliseconds{500}};
    /** Time by which lenders wait longer and borrowers stop earlier than a loan's term or a batch's life. */
    duration margin{milliseconds{20}};
    /** Demand that a batch is sized for. */
    duration batchHorizon{milliseconds{200}};
    /** Time after which an unanswered request for a batch is sent again. */
    duration askTimeout{milliseconds{60}};
    /** Time after which a pool that does not answer is left alone. */
    duration poolBackoff{seconds{1}};
    /** Time after which unused tokens go back to their pool. */
    duration idleReturn{milliseconds{100}};
    /** Longest time that a request waits for a token before it is refused. */
    duration maximumWait{milliseconds{150}};

    bool operator==(const rights_settings &) const = default;
};

/** Who this node is towards the platform and its peers. */
struct rights_identity
{
    /** Instance name, unique in the fleet. */
    std::string name;
    std::string availabilityZone;
    /** IP number and port that this process has bound exclusively for its whole life. */
    std::string address;
    /** Random number drawn at the start of the process. */
    std::uint64_t incarnation{0};

    bool operator==(const rights_identity &) const = default;
};

} // namespace ragwortpin

#endif
