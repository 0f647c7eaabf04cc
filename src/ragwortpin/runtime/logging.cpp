#include "ragwortpin/runtime/logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>
#include <sstream>

namespace ragwortpin {

namespace {

constexpr auto *LinePattern = LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m%n");

log4cplus::LogLevel toLog4cplus(log_level level) noexcept
{
    switch (level) {
    case log_level::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

void appendQuoted(std::ostream &out, std::string_view value)
{
    out << '"';
    for (const auto character : value) {
        const bool printable = character >= ' ' && character != '\x7f';
        if (character == '"' || character == '\\') {
            out << '\\';
        }
        out << (printable ? character : '?');
    }
    out << '"';
}

} // namespace

void initialiseLogging(log_level lowest)
{
    log4cplus::SharedAppenderPtr appender{new log4cplus::ConsoleAppender{true, true}};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LinePattern));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(lowest));
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    std::ostringstream line;
    line << event;
    for (const auto &field : fields) {
        line << ' ' << field.key << '=';
        appendQuoted(line, field.value);
    }
    log4cplus::Logger::getRoot().log(toLog4cplus(level), line.str());
}

} // namespace ragwortpin
