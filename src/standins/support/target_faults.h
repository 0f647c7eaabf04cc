#ifndef RAGWORTPIN_STANDINS_SUPPORT_TARGET_FAULTS_H
#define RAGWORTPIN_STANDINS_SUPPORT_TARGET_FAULTS_H

#include "ragwortpin/core/time.h"

#include <optional>
#include <string_view>

namespace ragwortpin::standins {

/** Faults of a target that are switched on. */
struct target_faults
{
    /** Time by which an answer is late after its work has ended. */
    milliseconds late{0};
    /** Number of coming answers whose body is cut short. */
    unsigned cutShort{0};
    /** Whether work runs and is never answered. */
    bool neverAnswer{false};
    /** Factor on the service time. */
    double slowFactor{1.0};
    /** Status of every answer, which then takes no service time; 0 for none. */
    unsigned status{0};

    bool operator==(const target_faults &) const = default;
};

/** Applies a JSON body over the present faults; members left out stay. Nothing when the body is malformed. */
[[nodiscard]] std::optional<target_faults> parseTargetFaults(const target_faults &present, std::string_view body);

} // namespace ragwortpin::standins

#endif
