#ifndef RAGWORTPIN_MEMBERSHIP_UPDATES_H
#define RAGWORTPIN_MEMBERSHIP_UPDATES_H

#include "ragwortpin/membership/state.h"

#include <cstddef>
#include <vector>

namespace ragwortpin::internal {

/** How soon an update is spread. */
enum class urgency : unsigned char {
    Usual,
    Urgent,
};

/** Queues a member's update for spreading, ahead of the older ones of the same urgency. */
void enqueue(membership_state &state, member &target, bool needsFullUpdate, urgency value);

/** The update that tells others of a member as this node knows it. */
[[nodiscard]] member_update updateOf(const member &value, bool isShort);

/** Adds queued updates to a message as far as they fit the given bytes, and counts each as sent to that many peers. */
void addQueuedUpdates(membership_state &state, membership_message &message, std::size_t bytes, std::uint16_t copies);

/** Merges a claim of another node into the table. */
void applyUpdate(membership_state &state, time_point now, const member_update &update);

/** Marks a live member as suspected, and queues that. */
void suspect(membership_state &state, time_point now, member &target);

/** Declares members dead whose suspicion timed out. */
void expireSuspicions(membership_state &state, time_point now);

/** Forgets members that have been dead or gone for long enough. */
void removeExpired(membership_state &state, time_point now);

} // namespace ragwortpin::internal

#endif
