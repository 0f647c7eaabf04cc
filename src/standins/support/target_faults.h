#ifndef RAGWORTPIN_STANDINS_SUPPORT_TARGET_FAULTS_H
#define RAGWORTPIN_STANDINS_SUPPORT_TARGET_FAULTS_H

#include "ragwortpin/core/time.h"

#include <optional>
#include <string_view>

namespace ragwortpin::standins {

/** Injected faults of a target. */
struct target_faults
{
    /** Delay of each response after its work has ended. */
    milliseconds responseDelay{0};
    /** Number of subsequent responses whose body is truncated. */
    unsigned truncateNextResponses{0};
    /** Whether requests are run but get no response for an hour. */
    bool neverRespond{false};
    /** Multiplier of the service time. */
    double serviceTimeFactor{1.0};
    /** Status returned for every request, without any service time; 0 to handle requests normally. */
    unsigned status{0};

    bool operator==(const target_faults &) const = default;
};

/**
 * Returns the current faults updated by a JSON object; faults that it does not name keep their value. Returns nullopt if the body
 * is not a JSON object or has an unknown member or an invalid value.
 */
[[nodiscard]] std::optional<target_faults> parseTargetFaults(const target_faults &current, std::string_view body);

} // namespace ragwortpin::standins

#endif
