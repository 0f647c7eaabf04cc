#ifndef RAGWORTPIN_RUNTIME_LOGGING_H
#define RAGWORTPIN_RUNTIME_LOGGING_H

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

/** One key-value pair of a log line. */
struct log_field
{
    std::string_view key;
    std::string value;
};

/**
 * Writes structured lines to standard error: time, level, event and key="value" pairs. Only changes of state are logged;
 * what happens per request is counted. Keys of callers are never passed in.
 */
void initialiseLogging(log_level lowest);

/** Writes one line. Thread-safe after initialiseLogging(). */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace ragwortpin

#endif
