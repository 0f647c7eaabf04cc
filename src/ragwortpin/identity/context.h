#ifndef RAGWORTPIN_IDENTITY_CONTEXT_H
#define RAGWORTPIN_IDENTITY_CONTEXT_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/identity/error.h"
#include "ragwortpin/identity/fwd.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ragwortpin {

/** Position of a request in a distributed trace, as defined by W3C Trace Context. */
struct trace_context
{
    /** Trace id: 32 lower-case hexadecimal digits. */
    std::string traceId;
    /** Id of the current span, the parent of the next one: 16 lower-case hexadecimal digits. */
    std::string spanId;
    bool sampled{false};

    bool operator==(const trace_context &) const = default;
};

/**
 * Metadata of a request that nodes pass on in addition to the HTTP message. The first hop creates it; each node signs it for
 * the next one.
 */
struct request_context
{
    /** Workspace that the request is accounted to; empty for unauthenticated requests on open routes. */
    std::string workspace;
    /** Name of the route that the first hop matched the call to. */
    std::string route;
    /** Service that the first hop chose for the call. */
    std::string service{};
    /** Service of the target beside the first hop, from or through which the call entered the system. Empty when unknown. */
    std::string callerService{};
    /** Rank of the request's importance; requests of rank 0 are shed last. */
    unsigned rank{0};
    /** Number of calls above this one in the call graph; 0 for a request of an external caller. */
    unsigned depth{0};
    /** Number of retries left for this call and all calls below it together. */
    unsigned retryAllowance{0};
    /** Probability with which the first hop admitted the request; 1 when it shed nothing. */
    double admitProbability{1.0};
    /** Time left, when the context was signed, until the complete response is due. */
    microseconds remaining{0};
    trace_context trace;

    bool operator==(const request_context &) const = default;
};

/** Secrets for signatures. The first one signs; all are accepted in verification, so that secrets can be rotated. */
struct signing_keys
{
    std::vector<std::string> secrets;

    bool operator==(const signing_keys &) const = default;
};

/** Result of verifying a signed context: the context and its age, or an error and an empty context. */
struct context_verification
{
    std::error_code error;
    request_context context;
    /** Time since the context was signed. Includes the difference between the wall clocks of the two instances; may be negative. */
    microseconds age{0};

    bool operator==(const context_verification &) const = default;
};

/**
 * Maximum difference, in either direction, between the time of signing and the time of verification. It bounds the age of a
 * context as well as the difference between the wall clocks of instances.
 */
inline constexpr seconds ContextValidityWindow{30};

/**
 * Encodes a context with MessagePack and signs it with HMAC-SHA-256 for one receiving instance, the audience. Returns a header
 * value. The keys must hold at least one secret.
 */
[[nodiscard]] std::string
signContext(const request_context &context, std::string_view audience, microseconds wallClock, const signing_keys &keys);

/** Verifies and decodes a header value made by signContext(). Does not throw; invalid values give an identity_errc. */
[[nodiscard]] context_verification
verifyContext(std::string_view header, std::string_view audience, microseconds wallClock, const signing_keys &keys);

} // namespace ragwortpin

#endif
