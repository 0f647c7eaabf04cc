#ifndef RAGWORTPIN_DISPATCH_CALL_H
#define RAGWORTPIN_DISPATCH_CALL_H

#include "ragwortpin/admission/shed_level.h"
#include "ragwortpin/config/lookup.h"
#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/dispatch/fwd.h"
#include "ragwortpin/http/call_control.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/identity/context.h"

#include <memory>
#include <optional>
#include <string>

namespace ragwortpin {

/** A request whose workspace and route have been determined. */
struct inbound_call
{
    /** Request without API keys, internal header fields and hop-by-hop header fields. */
    http_request request;
    request_context context;
    route definition;
    time_point deadline;
    std::shared_ptr<call_control> control;
    /** Request id sent by the caller, for logs; empty if it sent none. */
    std::string requestId{};
    /** Time until which the caller waits, as stated in its request, or else the route's deadline. The deadline is never later. */
    time_point callerDeadline{};
};

/** Answer to a call, with the information that a node returns to the upstream node. */
struct call_answer
{
    http_response response;
    outcome result{outcome::Unknown};
    /** Set if a node refused the call instead of the target answering it. */
    std::optional<refusal_kind> refusal;
    /** Retries of the granted allowance that were not used. */
    unsigned unusedAllowance{0};
    shed_level level;
    /** Load of the instance that answered: running and queued requests divided by the concurrency limit. */
    double load{0.0};
    /** Time that a refused caller should wait before a retry; zero if unknown. */
    duration pause{0};
    /** Instance that the last attempt was sent to; empty if there was no attempt. */
    std::string instance{};
    /** Number of targets that the request may have reached. */
    unsigned arrivals{0};
    /** Reason of a refusal by this node, for its log; empty in all other cases. */
    std::string reason{};
};

/** Returns the answer to a refused call. */
[[nodiscard]] call_answer
refuseCall(refusal_kind kind, outcome knownOutcome, unsigned unusedAllowance, duration retryAfter = duration::zero());

/** Writes the information for the upstream node into internal header fields of the response. */
void writeAnswerFields(call_answer &answer);

/**
 * Builds an answer from the response of a peer and removes the internal header fields from it. Each missing or invalid field
 * takes its most cautious value: the outcome is Unknown, no allowance is returned and the request counts as having reached one
 * target, or none after a ContextInvalid refusal.
 */
[[nodiscard]] call_answer readAnswerFields(http_response response);

/**
 * Converts an answer to the response for a caller or a target. All internal header fields are removed except outcome and refusal.
 * A refusal of a request that did not run has a status that signals this: statuses from 500 on and ContextInvalid become 503.
 */
[[nodiscard]] http_response toCallerResponse(call_answer answer, bool fractionalRetryAfter = false);

} // namespace ragwortpin

#endif
