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

/** A request whose identity and route are established. */
struct inbound_call
{
    /** Message without keys, internal fields and hop-by-hop fields. */
    http_request request;
    request_context context;
    route definition;
    time_point deadline;
    std::shared_ptr<call_control> control;
    /** Id of the caller's attempt, for logs; empty when it sent none. */
    std::string requestId{};
    /** Instant until which the caller waits, by its own word; the deadline is no later. */
    time_point callerDeadline{};
};

/** Answer to a call, with what a node tells the node above it. */
struct call_answer
{
    http_response response;
    outcome result{outcome::Unknown};
    /** Set when a node answered instead of the target. */
    std::optional<refusal_kind> refusal;
    unsigned unusedAllowance{0};
    shed_level level;
    /** Requests running and queued over the limit at the instance that answered. */
    double load{0.0};
    /** How long a refused caller should wait; zero when nothing is known. */
    duration pause{0};
    /** Instance that was asked last; empty when none was. */
    std::string instance{};
    /** Targets that the request may have arrived at. */
    unsigned arrivals{0};
    /** What decided a refusal of this node, for its log; empty elsewhere. */
    std::string reason{};
};

/** Makes the answer of a refused call. */
[[nodiscard]] call_answer
refuseCall(refusal_kind kind, outcome knownOutcome, unsigned unusedAllowance, duration retryAfter = duration::zero());

/** Writes what the answer tells the node above into internal header fields. */
void writeAnswerFields(call_answer &answer);

/** Builds an answer from a response of a peer and removes the internal fields from it. A response without them promises nothing. */
[[nodiscard]] call_answer readAnswerFields(http_response response);

/**
 * Makes the response that a caller or a target sees: internal fields removed but for the outcome and the refusal. A refusal of
 * what did not run has a status that says so, whichever its kind.
 */
[[nodiscard]] http_response toCallerResponse(call_answer answer, bool fractionalRetryAfter = false);

} // namespace ragwortpin

#endif
