#ifndef RAGWORTPIN_RUNTIME_LOGGING_H
#define RAGWORTPIN_RUNTIME_LOGGING_H

#include "ragwortpin/core/time.h"

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin {

/** Severity of a log line. */
enum class log_level : unsigned char {
    Info,
    Warning,
    Error,
};

/** Order in which log lines are dropped when they are produced faster than they are written. */
enum class log_weight : unsigned char {
    /** Reports a success; dropped first. */
    Ordinary,
    /** Reports the cause of a failure or a change of the process's state; dropped only if the queue is completely full. */
    Important,
};

/** One key-value pair of a log line. */
struct log_field
{
    std::string_view key;
    std::string value;
};

/** Returns the value of a log field that holds a duration: whole milliseconds, or an empty text if there is none. */
[[nodiscard]] std::string toMilliseconds(std::optional<duration> value);

/** Number of log lines dropped since the start of the process, by weight. */
struct log_drop_counts
{
    std::uint64_t ordinary{0};
    std::uint64_t important{0};

    bool operator==(const log_drop_counts &) const = default;
};

/**
 * Starts the log writer, which writes structured lines to standard output: time, level, event and key="value" pairs. A separate
 * thread writes the lines in batches from a bounded queue, so that callers never block on output. If the queue is full, lines are
 * dropped, and their number is logged later. Lines below the level lowest are discarded. API keys of callers must not be logged.
 */
void initialiseLogging(log_level lowest);

/** Queues one line on an action or a state change of the process. Thread-safe. */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/**
 * Queues one line on a message that anybody can send any number of. Only the first few lines of each event in a period are written; the
 * next one that is written says in the field left_out how many were not. Thread-safe.
 */
void logForeign(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/** Queues one line of level Info on a decision about a request. Thread-safe. */
void logDecision(log_weight weight, std::string_view event, std::initializer_list<log_field> fields);

/** Returns the number of lines dropped so far. */
[[nodiscard]] log_drop_counts logDropCounts() noexcept;

/** Writes all queued lines. Must be called before the process exits. */
void flushLog();

} // namespace ragwortpin

#endif
