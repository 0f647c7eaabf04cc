#ifndef RAGWORTPIN_STANDINS_SUPPORT_ANSWER_BODY_H
#define RAGWORTPIN_STANDINS_SUPPORT_ANSWER_BODY_H

#include <cstddef>
#include <string>
#include <string_view>

namespace ragwortpin::standins {

/** Header that carries the unique id of a test's request. */
inline constexpr std::string_view TestIdHeader{"X-Test-Id"};

/** What an answer's body tells of the request that it belongs to. */
enum class answer_check : unsigned char {
    Whole,
    /** Part of the body is missing. */
    Cut,
    /** The body is whole and answers another request. */
    Crossed,
};

/**
 * Body that names the service and the test id at both ends and its own length, padded to the given size. It is longer than
 * the size when the names need more room.
 */
[[nodiscard]] std::string makeAnswerBody(std::string_view service, std::string_view testId, std::size_t bytes);

/** Checks that a body made by makeAnswerBody() is whole and carries the expected test id. */
[[nodiscard]] answer_check checkAnswerBody(std::string_view body, std::string_view testId);

} // namespace ragwortpin::standins

#endif
