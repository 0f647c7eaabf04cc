#ifndef RAGWORTPIN_STANDINS_SUPPORT_STORE_FAULTS_H
#define RAGWORTPIN_STANDINS_SUPPORT_STORE_FAULTS_H

#include "ragwortpin/core/time.h"
#include "standins/support/fwd.h"

#include <optional>
#include <string_view>

namespace ragwortpin::standins {

/** How an outage of the store shows. */
enum class store_outage : unsigned char {
    None,
    /** Connections are closed without effect or answer. */
    Refuse,
    /** Calls take no effect and get no answer while the outage lasts. */
    Hang,
};

/** Faults that are switched on. */
struct store_faults
{
    store_outage outage{store_outage::None};
    /** Time between receiving a call and performing it. */
    milliseconds delay{0};
    /** Number of coming calls that take effect and get no answer. */
    unsigned loseNextAnswers{0};

    bool operator==(const store_faults &) const = default;
};

/** Change of the faults by an operator of a test. */
struct store_fault_order
{
    store_faults faults;
    /** Whether every lease ends now. */
    bool expireLeases{false};

    bool operator==(const store_fault_order &) const = default;
};

/** Applies a JSON body over the present faults; members left out stay. Nothing when the body is malformed. */
[[nodiscard]] std::optional<store_fault_order> parseStoreFaults(const store_faults &present, std::string_view body);

} // namespace ragwortpin::standins

#endif
