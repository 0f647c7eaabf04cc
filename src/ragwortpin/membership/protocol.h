#ifndef RAGWORTPIN_MEMBERSHIP_PROTOCOL_H
#define RAGWORTPIN_MEMBERSHIP_PROTOCOL_H

#include "ragwortpin/membership/message.h"
#include "ragwortpin/membership/state.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace ragwortpin {

/** Maximum interval between two calls of tickMembership(). */
inline constexpr duration MembershipTickInterval{milliseconds{100}};

/**
 * Creates the protocol state of a node. The incarnation of the record must exceed that of every earlier process with the same name;
 * the wall clock time in seconds is suitable. Seeds that are not the address of a live member are pinged every probe period while no
 * other member is live, and every reconnect interval afterwards.
 */
[[nodiscard]] membership_state startMembership(time_point now,
                                               const membership_options &options,
                                               const instance_record &self,
                                               std::vector<peer_address> seeds,
                                               std::mt19937_64 &random);

/** Replaces the addresses that are contacted to join the fleet. */
void setSeeds(membership_state &state, std::vector<peer_address> seeds);

/**
 * Replaces this node's own record. A change of any field but the revision increments the incarnation and queues an urgent update.
 * The name and incarnation of the argument are ignored. Once the state is Gone it can't be changed any more.
 */
void setOwnRecord(membership_state &state, instance_record record);

/** Sets the configuration revision in force at this node, which is sent in every message. */
void setOwnRevision(membership_state &state, std::uint64_t revision);

/** Advances the protocol and returns the messages to send. Must be called at least once per MembershipTickInterval. */
[[nodiscard]] std::vector<membership_output> tickMembership(membership_state &state, time_point now, std::mt19937_64 &random);

/** Handles a message from the node with the given name and returns the messages to send. Ignores messages in this node's own name. */
[[nodiscard]] std::vector<membership_output> handleMembershipMessage(membership_state &state,
                                                                     time_point now,
                                                                     const std::string &sender,
                                                                     const peer_address &from,
                                                                     const membership_message &message,
                                                                     std::mt19937_64 &random);

/** Returns the live instances, the node itself included, sorted by name. */
[[nodiscard]] membership_view membershipView(const membership_state &state);

/** Returns up to the given number of distinct random live members other than the node itself. */
[[nodiscard]] std::vector<instance_record> samplePeers(membership_state &state, std::size_t count, std::mt19937_64 &random);

/**
 * Returns the record of the member with the given name, dead ones included, or null if it is unknown. The pointer is valid until the
 * state changes.
 */
[[nodiscard]] const instance_record *findPeer(const membership_state &state, const std::string &name);

} // namespace ragwortpin

#endif
