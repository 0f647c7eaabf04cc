#ifndef RAGWORTPIN_IDENTITY_CREDENTIALS_H
#define RAGWORTPIN_IDENTITY_CREDENTIALS_H

#include "ragwortpin/http/message.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/identity/fwd.h"

#include <optional>
#include <string>

namespace ragwortpin {

/** API key found in a request. */
struct api_key_extraction
{
    /** Secret sent by the caller; empty when there was none. Must not be logged or forwarded. */
    std::string secret;
    /** Whether a secret of 8 or more characters also occurs in the request target (path and query), from which it cannot be removed. */
    bool exposedInRequestTarget{false};

    bool operator==(const api_key_extraction &) const = default;
};

/**
 * Removes the API key from a request and returns it. The key is the first one found in `Authorization: Bearer`, then in
 * `X-Api-Key`. Both fields are removed, as is every other field whose value contains a secret of 8 or more characters that
 * was sent in either.
 */
[[nodiscard]] api_key_extraction extractApiKey(http_request &request);

/** Returns whether a value is a valid Idempotency-Key: 1 to 128 visible ASCII characters. */
[[nodiscard]] bool isValidIdempotencyKey(std::string_view value) noexcept;

/** Parses a W3C traceparent field of version 00. Returns nothing when the value is empty or invalid. */
[[nodiscard]] std::optional<trace_context> parseTraceparent(std::string_view value);

/** Formats a W3C traceparent field of version 00. */
[[nodiscard]] std::string formatTraceparent(const trace_context &trace);

/** Returns a new trace with a random trace id and span id. */
[[nodiscard]] trace_context makeTrace(bool sampled);

/** Returns the same trace with a new random span id. */
[[nodiscard]] trace_context makeChildSpan(const trace_context &parent);

} // namespace ragwortpin

#endif
