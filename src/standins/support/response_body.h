#ifndef RAGWORTPIN_STANDINS_SUPPORT_RESPONSE_BODY_H
#define RAGWORTPIN_STANDINS_SUPPORT_RESPONSE_BODY_H

#include <cstddef>
#include <string>
#include <string_view>

namespace ragwortpin::standins {

/** Header that carries the unique test id of a request. */
inline constexpr std::string_view TestIdHeader{"X-Test-Id"};

/** Result of checking a response body against the request that it was received for. */
enum class body_check : unsigned char {
    Complete,
    /** Part of the body is missing. */
    Truncated,
    /** The body is complete but belongs to a different request. */
    Mismatched,
};

/**
 * Returns a response body that starts with its own length, the service and the test id, and ends with the test id, so that a
 * truncated body and parts of another response can be detected. It is padded to the given size, and longer if these fields
 * need more space.
 */
[[nodiscard]] std::string makeResponseBody(std::string_view service, std::string_view testId, std::size_t bytes);

/** Checks that a body made by makeResponseBody() is complete and carries the expected test id at both ends. */
[[nodiscard]] body_check checkResponseBody(std::string_view body, std::string_view testId);

} // namespace ragwortpin::standins

#endif
