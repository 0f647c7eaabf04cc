#ifndef RAGWORTPIN_MEMBERSHIP_UPDATES_H
#define RAGWORTPIN_MEMBERSHIP_UPDATES_H

#include "ragwortpin/membership/state.h"

#include <cstddef>
#include <vector>

namespace ragwortpin::internal {

/** Transmission priority of an update. Urgent updates are sent first. */
enum class urgency : unsigned char {
    Normal,
    Urgent,
};

/** Queues the update of a member for transmission, ahead of older updates with the same urgency. */
void enqueue(membership_state &state, member &target, bool needsFullUpdate, urgency value);

/** Returns an update with the local status and record of a member, in short or full form. */
[[nodiscard]] member_update updateOf(const member &value, bool isShort);

/**
 * Adds queued updates to a message, urgent ones first, until the next one exceeds the given number of bytes.
 * @param recipientCount number of peers that will receive the message; counted as that many transmissions of each update
 */
void addQueuedUpdates(membership_state &state, membership_message &message, std::size_t bytes, std::uint16_t recipientCount);

/** Merges an update from another node into the table. An update about this node itself is refuted if it is wrong. */
void applyUpdate(membership_state &state, time_point now, const member_update &update);

/** Marks a member as suspected and queues the update. Has no effect unless the member is alive. */
void startSuspicion(membership_state &state, time_point now, member &target);

/** Declares those suspected members dead whose suspicion timed out. */
void expireSuspicions(membership_state &state, time_point now);

/** Removes members that have been dead or in the state Gone for longer than their retention time. */
void removeExpired(membership_state &state, time_point now);

} // namespace ragwortpin::internal

#endif
