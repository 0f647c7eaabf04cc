#ifndef RAGWORTPIN_MEMBERSHIP_PROTOCOL_H
#define RAGWORTPIN_MEMBERSHIP_PROTOCOL_H

#include "ragwortpin/membership/message.h"
#include "ragwortpin/membership/state.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace ragwortpin {

/** Longest time between two calls of tickMembership(). */
inline constexpr duration MembershipTickInterval{milliseconds{100}};

/**
 * Starts the protocol at one node. The record's incarnation has to exceed that of an earlier process of the same name; the
 * wall clock in seconds serves. Seeds are tried until one answers, and now and then afterwards.
 */
[[nodiscard]] membership_state startMembership(time_point now,
                                               const membership_options &options,
                                               const instance_record &self,
                                               std::vector<peer_address> seeds,
                                               std::mt19937_64 &random);

/** Replaces the seeds. */
void setSeeds(membership_state &state, std::vector<peer_address> seeds);

/**
 * Changes the own record. A change of anything but the revision raises the incarnation and is spread at once; name and
 * incarnation of the argument are ignored. Gone is final.
 */
void setOwnRecord(membership_state &state, instance_record record);

/** Sets the revision in force at this node, which every message carries. */
void setOwnRevision(membership_state &state, std::uint64_t revision);

/** Advances the protocol; to be called at least every MembershipTickInterval. Returns the messages to send. */
[[nodiscard]] std::vector<membership_output> tickMembership(membership_state &state, time_point now, std::mt19937_64 &random);

/** Handles a message from the node of the given name. Returns the messages to send. */
[[nodiscard]] std::vector<membership_output> handleMembershipMessage(membership_state &state,
                                                                     time_point now,
                                                                     const std::string &sender,
                                                                     const peer_address &from,
                                                                     const membership_message &message,
                                                                     std::mt19937_64 &random);

/** The instances believed alive, the node itself included, sorted by name. */
[[nodiscard]] membership_view membershipView(const membership_state &state);

/** Picks up to that many distinct live members other than the node itself. */
[[nodiscard]] std::vector<instance_record> samplePeers(membership_state &state, std::size_t count, std::mt19937_64 &random);

/** Record of the member of that name, dead ones included; null when it is unknown. Valid until the state changes. */
[[nodiscard]] const instance_record *findPeer(const membership_state &state, const std::string &name);

/** Number of live members in the node's own availability zone, the node itself included. */
[[nodiscard]] std::size_t ownZoneSize(const membership_state &state);

} // namespace ragwortpin

#endif
