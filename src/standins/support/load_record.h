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

/** How a request ended for its client. */
enum class request_end : unsigned char {
    Ok,
    /** A node answered itself, with a refusal token. */
    Refused,
    /** A target answered with another status than 200. */
    TargetError,
    /** The answer was complete as HTTP and its body was cut. */
    Cut,
    /** The answer belonged to another request. */
    Crossed,
    TimedOut,
    /** No address accepted a connection; nothing was sent. */
    NotConnected,
    /** The connection ended before a whole answer. */
    ConnectionLost,
    /** The cap on connections was reached; nothing was sent. */
    NotSent,
};

/** Number of request_end values. */
inline constexpr std::size_t RequestEnds{9};

/** Returns a short name of an end, for reports. */
[[nodiscard]] constexpr std::string_view toToken(request_end end) noexcept
{
    constexpr std::array<std::string_view, RequestEnds> Tokens{
        "ok", "refused", "target_error", "cut", "crossed", "timed_out", "not_connected", "connection_lost", "not_sent"};
    return Tokens[static_cast<std::size_t>(end)];
}

/** One request of a client, with its retries. */
struct request_record
{
    /** Index of the stream in the scenario. */
    std::size_t stream{0};
    /** Index of the phase in which the request was sent. */
    std::size_t phase{0};
    /** When it was sent, since the start of the run. */
    duration sentAt{0};
    std::string testId;
    unsigned attempts{0};
    /** Connections that were refused or timed out before another address was tried. */
    unsigned failedConnects{0};
    request_end end{request_end::NotSent};
    /** Token of the last refusal; empty without one. */
    std::string refusal;
    /** What the last answer said of the execution. */
    outcome claimed{outcome::Unknown};
    /** Whether every attempt was refused as not run. */
    bool onlyNotRun{true};
    /** Time from the first attempt to the end. */
    duration latency{0};
};

/** What one target says it ran. */
struct target_runs
{
    std::string service;
    std::uint64_t total{0};
    std::map<std::string, std::uint64_t> byTestId;
    std::uint64_t keysSeen{0};
};

/** What all reachable targets say. */
struct run_evidence
{
    std::vector<target_runs> targets;
    /** Targets that did not answer; what they ran is not counted. */
    std::size_t unreachable{0};
};

} // namespace ragwortpin::standins

#endif
