#ifndef RAGWORTPIN_MEMBERSHIP_PROBE_H
#define RAGWORTPIN_MEMBERSHIP_PROBE_H

#include "ragwortpin/membership/state.h"

#include <random>
#include <vector>

namespace ragwortpin::internal {

using outputs = std::vector<membership_output>;

/** Creates a message and sets the fields common to all kinds: kind, sequence, revision and table digest. */
[[nodiscard]] membership_message makeMessage(const membership_state &state, membership_message_kind kind, std::uint32_t sequence);

/**
 * Appends the message to the outputs, with as many queued updates as the datagram size, the piggyback limit and the gossip byte
 * budget allow.
 */
void send(membership_state &state, outputs &out, const peer_address &to, membership_message message);

/** Starts the next probe when it is due, and repeats, escalates or fails the pending one when it timed out. */
void tickProbe(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out);

/**
 * When due, pings one random dead member and every seed that is not the address of a live member, so that the sides of a healed
 * network partition reconnect.
 */
void tickReconnect(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out);

/**
 * Acknowledges a ping. If the sender is suspected or dead in the local table, the acknowledgement contains that status so that the
 * sender can refute it. If the ping contains the full record of the sender, the acknowledgement contains the full record of this
 * node.
 */
void handlePing(
    membership_state &state, const std::string &sender, const peer_address &from, const membership_message &message, outputs &out);

/** Ends the pending probe if the acknowledgement belongs to it; relays the acknowledgement of an indirect probe to its requester. */
void handleAck(membership_state &state, time_point now, const peer_address &from, const membership_message &message, outputs &out);

/**
 * Compares the table digest of a peer with the local one. Records the peer as the differing one if they are unequal; clears it if
 * they are equal and the peer is the recorded one.
 */
void updateDifferingPeer(membership_state &state, time_point now, const peer_address &from, std::uint32_t digest);

/** Pings the target of the request on behalf of another node. Ignores requests without a target or beyond the limit of pending relays. */
void handlePingRequest(membership_state &state, time_point now, const peer_address &from, const membership_message &message, outputs &out);

} // namespace ragwortpin::internal

#endif
