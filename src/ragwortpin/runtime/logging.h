#ifndef RAGWORTPIN_RUNTIME_LOGGING_H
#define RAGWORTPIN_RUNTIME_LOGGING_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace ragwortpin {

/** Severity of a log line. */
enum class log_level : unsigned char {
    Info,
    Warning,
    Error,
};

/** What becomes of a line when lines come faster than they are written. */
enum class log_weight : unsigned char {
    /** Says that all went well; left out first. */
    Ordinary,
    /** Says why something did not go well, or what the process believes from now on; left out only when nothing else fits. */
    Important,
};

/** One key-value pair of a log line. */
struct log_field
{
    std::string_view key;
    std::string value;
};

/** Lines that were not written since the start, by weight. */
struct log_losses
{
    std::uint64_t ordinary{0};
    std::uint64_t important{0};

    bool operator==(const log_losses &) const = default;
};

/**
 * Starts the writer of structured lines on standard output: time, level, event and key="value" pairs. Lines wait in a bounded
 * queue that a thread of its own empties in batches; a line that finds it full is counted and left out, and the count is
 * written later. Nothing ever waits for the output. Keys of callers are never passed in.
 */
void initialiseLogging(log_level lowest);

/** Queues one line that says what the process does or believes. Thread-safe. */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/** Queues one line on a decision about a request. Thread-safe. */
void logDecision(log_weight weight, std::string_view event, std::initializer_list<log_field> fields);

/** Lines left out so far. */
[[nodiscard]] log_losses logLosses() noexcept;

/** Writes what waits. To be called before the process ends. */
void flushLog();

} // namespace ragwortpin

#endif
