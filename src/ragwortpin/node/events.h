#ifndef RAGWORTPIN_NODE_EVENTS_H
#define RAGWORTPIN_NODE_EVENTS_H

#include "ragwortpin/rights/rights.h"
#include "ragwortpin/store/store.h"
#include "ragwortpin/targets/assignment.h"
#include "ragwortpin/targets/target_gateway.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortpin {

/**
 * A new snapshot of the configuration or of the membership is available. It may be lost: every control event makes the data thread look
 * for new snapshots.
 */
struct snapshot_event
{ };

/** Payload of a Loans datagram whose signature was verified. */
struct loan_event
{
    std::string sender;
    std::string payload;
};

/** Payload of a Digest datagram whose signature was verified. */
struct digest_event
{
    std::string sender;
    std::string payload;
};

/** Events that the control thread sends to the data thread. */
using control_event = std::variant<std::monostate, snapshot_event, loan_event, digest_event>;

/** The target is about to leave; the node stops sending it new requests. */
struct drain_event
{ };

/** Requests a graceful shutdown of the node. */
struct shutdown_event
{ };

/** Asks for a confirmation, under the given number, that every departure reported before this event is stored. */
struct confirm_departures_event
{
    std::uint64_t number{0};
};

/** Events that the admin thread sends to the data thread. */
using operator_event = std::variant<std::monostate,
                                    target_assignment,
                                    target_announcement,
                                    target_departure,
                                    confirm_departures_event,
                                    drain_event,
                                    shutdown_event>;

/** What the store says of the target's departures before this process started. */
struct restore_event
{
    std::vector<departure_record> records;
};

/** Reply to a store call of the workspace rate limiter. */
struct rate_reply_event
{
    std::uint64_t token{0};
    store_reply reply;
};

/** Events that the store thread sends to the data thread. */
using store_event = std::variant<std::monostate, rate_reply_event, restore_event>;

/** Departures to store, oldest first, and the newest confirmation that waits for them and all earlier ones. */
struct departure_update
{
    std::vector<departure_record> records;
    /** Number of the confirmation; 0 for none. */
    std::uint64_t confirmation{0};

    bool operator==(const departure_update &) const = default;
};

/** Commands that the data thread sends to the store thread. */
using store_command = std::variant<std::monostate, rights_store_call, departure_update>;

} // namespace ragwortpin

#endif
