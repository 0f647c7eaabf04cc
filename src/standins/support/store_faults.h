#ifndef RAGWORTPIN_STANDINS_SUPPORT_STORE_FAULTS_H
#define RAGWORTPIN_STANDINS_SUPPORT_STORE_FAULTS_H

#include "ragwortpin/core/time.h"
#include "standins/support/fwd.h"

#include <optional>
#include <string_view>

namespace ragwortpin::standins {

/** Behaviour of the store during an outage. */
enum class store_outage : unsigned char {
    None,
    /** Calls are not performed and their connections are closed without a response. */
    Refuse,
    /** Calls are not performed and get no response; their connections are closed when the outage ends. */
    Hang,
};

/** Injected faults of the store. */
struct store_faults
{
    store_outage outage{store_outage::None};
    /** Delay between receiving a call and performing it. */
    milliseconds delay{0};
    /** Number of subsequent calls that are performed but whose connection is closed without a response. */
    unsigned dropNextResponses{0};

    bool operator==(const store_faults &) const = default;
};

/** Change of the injected faults, as requested through /standin/faults. */
struct store_fault_update
{
    store_faults faults;
    /** Whether to expire all leases immediately. */
    bool expireLeases{false};

    bool operator==(const store_fault_update &) const = default;
};

/**
 * Returns the current faults updated by a JSON object; faults that it does not name keep their value. Returns nullopt if the body
 * is not a JSON object or has an unknown member or an invalid value.
 */
[[nodiscard]] std::optional<store_fault_update> parseStoreFaults(const store_faults &current, std::string_view body);

} // namespace ragwortpin::standins

#endif
