#ifndef RAGWORTPIN_MEMBERSHIP_EXCHANGE_H
#define RAGWORTPIN_MEMBERSHIP_EXCHANGE_H

#include "ragwortpin/membership/probe.h"
#include "ragwortpin/membership/state.h"

#include <random>

namespace ragwortpin::internal {

/**
 * Sends an exchange request when one is due. The request goes to the peer whose table was seen to differ, or to a random live
 * member during a bulk sync.
 */
void tickExchange(membership_state &state, time_point now, std::mt19937_64 &random, outputs &out);

/**
 * Replies with the members of the hash buckets whose digests differ from those of the request, bucket by bucket in random order.
 * The number of reply datagrams is limited by the request, by the options and by the exchange byte budget; what does not fit is
 * left to later exchanges. Ignores a request with a wrong number of digests, and any request while the budget is used up.
 */
void handleExchangeRequest(
    membership_state &state, std::mt19937_64 &random, const peer_address &from, const membership_message &message, outputs &out);

/**
 * Starts, continues or ends the bulk sync depending on how many changes a reply contained. Must be called after the updates of the
 * reply were applied.
 * @param changes number of changes to the membership view made by the reply
 */
void handleExchangeReply(
    membership_state &state, time_point now, const peer_address &from, const membership_message &message, std::uint64_t changes);

} // namespace ragwortpin::internal

#endif
