#ifndef RAGWORTPIN_STANDINS_SUPPORT_LOAD_RECORD_H
#define RAGWORTPIN_STANDINS_SUPPORT_LOAD_RECORD_H

#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin::standins {

/** Result of a request as observed by its client. */
enum class request_result : unsigned char {
    Ok,
    /** A node refused the request with a refusal token. */
    Refused,
    /** A target responded with a status other than 200. */
    TargetError,
    /** The response was a complete HTTP message with status 200, but its body was truncated. */
    Truncated,
    /** The response belonged to another request. */
    Mismatched,
    TimedOut,
    /** No connection could be established; nothing was sent. */
    NotConnected,
    /** The connection was lost before the complete response was received. */
    ConnectionLost,
    /** The connection limit of the load generator was reached; nothing was sent. */
    NotSent,
};

/** Number of request_result values. */
inline constexpr std::size_t RequestResultCount{9};

/** Returns the name of a result that is used in reports. */
[[nodiscard]] constexpr std::string_view toToken(request_result result) noexcept
{
    constexpr std::array<std::string_view, RequestResultCount> Tokens{
        "ok", "refused", "target_error", "cut", "crossed", "timed_out", "not_connected", "connection_lost", "not_sent"};
    return Tokens[static_cast<std::size_t>(result)];
}

/** Record of one request of a client, including its retries. */
struct request_record
{
    /** Index of the stream in the scenario. */
    std::size_t stream{0};
    /** Index of the phase in which the request was sent. */
    std::size_t phase{0};
    /** Scheduled send time of the first attempt, relative to the start of the run. */
    duration sentAt{0};
    std::string testId;
    unsigned attempts{0};
    /** Connection attempts that failed or timed out. */
    unsigned failedConnects{0};
    request_result result{request_result::NotSent};
    /** Refusal token of the last attempt; empty if that was not refused. */
    std::string refusal;
    /** Outcome that the last response reported, that is, whether the request was run. */
    outcome reportedOutcome{outcome::Unknown};
    /** Whether every attempt was refused with the outcome not_run; true as well if there was no attempt. */
    bool allAttemptsNotRun{true};
    /** Time from the first attempt to the end of the last one. */
    duration latency{0};
};

/** Run counts reported by one target. */
struct target_run_counts
{
    std::string service;
    std::uint64_t total{0};
    std::map<std::string, std::uint64_t> byTestId;
    std::uint64_t keysSeen{0};
};

/** Run counts reported by all reachable targets. */
struct target_observations
{
    std::vector<target_run_counts> targets;
    /** Number of targets that could not be queried; their runs are not counted. */
    std::size_t unreachable{0};
};

} // namespace ragwortpin::standins

#endif
