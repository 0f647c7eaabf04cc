#ifndef RAGWORTPIN_MEMBERSHIP_PROBE_H
#define RAGWORTPIN_MEMBERSHIP_PROBE_H

#include "ragwortpin/membership/state.h"

#include <random>
#include <vector>

namespace ragwortpin::internal {

using outputs = std::vector<membership_output>;

/** Makes a message with the fields that every message carries. */
[[nodiscard]] membership_message makeMessage(const membership_state &state, membership_message_kind kind, std::uint32_t sequence);

/** Adds queued updates to the message as far as size and byte budget allow, and appends it to the outputs. */
void send(membership_state &state, outputs &out, const peer_address &to, membership_message message);

/** Starts, repeats and judges probes. */
void tickProbe(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out);

/** Pings a dead member or a seed, so that partitions that healed find each other again. */
void tickReconnect(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out);

/** Answers a ping, telling the sender of doubts about itself. */
void handlePing(
    membership_state &state, const std::string &sender, const peer_address &from, const membership_message &message, outputs &out);

/** Ends the probe that is acknowledged, or passes the acknowledgement on to the node that asked for it. */
void handleAck(membership_state &state, time_point now, const peer_address &from, const membership_message &message, outputs &out);

/** Notes whether a peer's table is the same, or since when tables differ. */
void noteDigest(membership_state &state, time_point now, const peer_address &from, std::uint32_t digest);

/** Pings the target for another node. */
void handlePingRequest(membership_state &state, time_point now, const peer_address &from, const membership_message &message, outputs &out);

} // namespace ragwortpin::internal

#endif
