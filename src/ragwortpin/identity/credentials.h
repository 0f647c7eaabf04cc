#ifndef RAGWORTPIN_IDENTITY_CREDENTIALS_H
#define RAGWORTPIN_IDENTITY_CREDENTIALS_H

#include "ragwortpin/http/message.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/identity/fwd.h"

#include <optional>
#include <string>

namespace ragwortpin {

/** Key that came with a request. */
struct api_key_extraction
{
    /** The secret as the caller sent it; empty when there was none. Never logged or passed on. */
    std::string secret;
    /** Set when the secret also stands where it cannot be removed: the request target. */
    bool exposedInTarget{false};

    bool operator==(const api_key_extraction &) const = default;
};

/**
 * Takes the key out of a request: from `Authorization: Bearer` or `X-Api-Key`, the former first. Both fields are removed,
 * and so is every other field whose value contains a secret that was sent in either.
 */
[[nodiscard]] api_key_extraction extractApiKey(http_request &request);

/** Whether a value is usable as Idempotency-Key: 1 to 128 visible ASCII characters. */
[[nodiscard]] bool isValidIdempotencyKey(std::string_view value) noexcept;

/** Reads a W3C traceparent field; nothing when absent or invalid. */
[[nodiscard]] std::optional<trace_context> parseTraceparent(std::string_view value);

/** Formats a W3C traceparent field. */
[[nodiscard]] std::string formatTraceparent(const trace_context &trace);

/** Starts a trace with a random trace id and span id. */
[[nodiscard]] trace_context makeTrace(bool sampled);

/** Continues a trace with a new random span id. */
[[nodiscard]] trace_context makeChildSpan(const trace_context &parent);

} // namespace ragwortpin

#endif
