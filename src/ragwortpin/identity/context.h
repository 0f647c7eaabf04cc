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

/** Position of a request in a distributed trace, as in W3C trace context. */
struct trace_context
{
    /** 32 lower-case hexadecimal digits. */
    std::string traceId;
    /** 16 lower-case hexadecimal digits: the span that the next one is a child of. */
    std::string spanId;
    bool sampled{false};

    bool operator==(const trace_context &) const = default;
};

/** What nodes know of a request beyond its HTTP message. Established at the first hop and passed on signed. */
struct request_context
{
    /** Workspace that the request runs for; empty for unauthenticated requests on open routes. */
    std::string workspace;
    /** Name of the route that the first hop of this call matched. */
    std::string route;
    /** Service that the first hop chose for the call. */
    std::string service{};
    /** Service of the target beside the first hop, which the call came from or by. */
    std::string callerService{};
    /** Rank of the request's importance; 0 is shed last. */
    unsigned rank{0};
    /** Calls above this one; 0 for the caller's own request. */
    unsigned depth{0};
    /** Retries that this call and everything below it may still spend. */
    unsigned retryAllowance{0};
    /** Probability with which the first hop let the request pass; 1 when it shed nothing. */
    double admitProbability{1.0};
    /** Time left for the whole answer when the context was signed. */
    microseconds remaining{0};
    trace_context trace;

    bool operator==(const request_context &) const = default;
};

/** Secrets for signing. The first one signs; all of them are accepted, so that secrets can be rotated. */
struct signing_keys
{
    std::vector<std::string> secrets;

    bool operator==(const signing_keys &) const = default;
};

/** Result of opening a signed context. */
struct context_verification
{
    std::error_code error;
    request_context context;

    bool operator==(const context_verification &) const = default;
};

/** Longest time between signing and opening, which bounds the difference of the instances' wall clocks too. */
inline constexpr seconds ContextLifetime{30};

/** Encodes a context with MessagePack and signs it with HMAC-SHA-256 for one receiving instance. The result is a header value. */
[[nodiscard]] std::string
sealContext(const request_context &context, std::string_view audience, microseconds wallClock, const signing_keys &keys);

/** Verifies and decodes a header value made by sealContext(). Never throws; errors are identity_errc. */
[[nodiscard]] context_verification
openContext(std::string_view header, std::string_view audience, microseconds wallClock, const signing_keys &keys);

} // namespace ragwortpin

#endif
