#ifndef RAGWORTPIN_MEMBERSHIP_EXCHANGE_H
#define RAGWORTPIN_MEMBERSHIP_EXCHANGE_H

#include "ragwortpin/membership/probe.h"
#include "ragwortpin/membership/state.h"

#include <random>

namespace ragwortpin::internal {

/** Asks a peer whose table differs for the parts that differ; any peer while the first table is loaded. */
void tickExchange(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out);

/** Sends the members of the parts that differ, the parts in random order, as far as size and byte budget allow. */
void handleExchangeRequest(
    membership_state &state, std::mt19937_64 &random, const peer_address &from, const membership_message &message, outputs &out);

/**
 * Sets the pace of further exchanges by what a reply brought, after its updates were applied like any others.
 * @param changes members that the reply changed
 */
void handleExchangeReply(
    membership_state &state, time_point now, const peer_address &from, const membership_message &message, std::uint64_t changes);

} // namespace ragwortpin::internal

#endif
