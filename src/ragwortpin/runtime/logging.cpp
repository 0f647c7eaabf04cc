#include "ragwortpin/runtime/logging.h"

#include "ragwortpin/core/time.h"
#include "ragwortpin/runtime/line_limit.h"
#include "ragwortpin/runtime/quoting.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <thread>
#include <utility>
#include <vector>

namespace ragwortpin {

namespace {

constexpr auto *LinePattern = LOG4CPLUS_TEXT("%m%n");

/** Maximum number of queued lines. The lower limit for ordinary lines reserves space for important ones. */
constexpr std::size_t MaxQueuedLines{2048};
constexpr std::size_t MaxQueuedOrdinaryLines{512};

/** Interval between two batches, which limits how often the writer thread wakes up. */
constexpr milliseconds BatchInterval{200};

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

const char *levelText(log_level level) noexcept
{
    switch (level) {
    case log_level::Info:
        return " INFO ";
    case log_level::Warning:
        return " WARN ";
    case log_level::Error:
        break;
    }
    return " ERROR ";
}

void appendTimestamp(std::string &line)
{
    const auto now = wallClockNow();
    const auto wholeSeconds = std::chrono::floor<seconds>(now);
    const std::time_t time{wholeSeconds.count()};
    std::tm utc{};
    gmtime_r(&time, &utc);
    constexpr std::size_t TextSize{40};
    std::array<char, TextSize> text{};
    const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    line.append(text.data(), size);
    const auto fraction = std::chrono::duration_cast<milliseconds>(now - wholeSeconds).count();
    const auto digits = std::snprintf(text.data(), text.size(), ".%03dZ", static_cast<int>(fraction));
    line.append(text.data(), digits > 0 ? static_cast<std::size_t>(digits) : 0);
}

std::span<const log_field> toSpan(std::initializer_list<log_field> fields) noexcept
{
    return {fields.begin(), fields.size()};
}

std::string formatLine(log_level level, std::string_view event, std::span<const log_field> fields)
{
    constexpr std::size_t TypicalLineSize{192};
    std::string line;
    line.reserve(TypicalLineSize);
    appendTimestamp(line);
    line.append(levelText(level));
    line.append(event);
    for (const auto &field : fields) {
        line.push_back(' ');
        line.append(field.key);
        line.push_back('=');
        appendQuoted(line, field.value);
    }
    return line;
}

/** A formatted line in the queue, with its severity. */
struct queued_line
{
    log_level level{log_level::Info};
    std::string text;
};

/** Bounded queue of log lines with the thread that writes them. */
class log_writer
{
public:
    explicit log_writer(log_level minLevel)
        : m_minLevel{minLevel}
        , m_thread{[this] {
            run();
        }}
    { }

    ~log_writer()
    {
        {
            const std::lock_guard lock{m_mutex};
            m_isStopping = true;
        }
        m_wakeUp.notify_all();
        m_thread.join();
    }

    log_writer(const log_writer &) = delete;
    log_writer &operator=(const log_writer &) = delete;

    void queue(log_level level, log_weight weight, std::string_view event, std::span<const log_field> fields)
    {
        if (level < m_minLevel) {
            return;
        }
        auto &dropped = weight == log_weight::Ordinary ? m_droppedOrdinary : m_droppedImportant;
        const auto capacity = weight == log_weight::Ordinary ? MaxQueuedOrdinaryLines : MaxQueuedLines;
        if (m_size.load(std::memory_order_relaxed) >= capacity) {
            dropped.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        auto text = formatLine(level, event, fields);
        bool wasEmpty{false};
        {
            const std::lock_guard lock{m_mutex};
            wasEmpty = m_lines.empty();
            m_lines.push_back({level, std::move(text)});
            m_size.store(m_lines.size(), std::memory_order_relaxed);
        }
        if (wasEmpty) {
            m_wakeUp.notify_one();
        }
    }

    void flush()
    {
        const std::lock_guard writing{m_writeMutex};
        std::vector<queued_line> batch;
        {
            const std::lock_guard lock{m_mutex};
            batch.swap(m_lines);
            m_size.store(0, std::memory_order_relaxed);
        }
        auto root = log4cplus::Logger::getRoot();
        for (const auto &line : batch) {
            root.log(toLog4cplus(line.level), line.text);
        }
        writeDropCounts(root);
        std::fflush(stdout);
    }

    [[nodiscard]] log_drop_counts dropCounts() const noexcept
    {
        return {m_droppedOrdinary.load(std::memory_order_relaxed), m_droppedImportant.load(std::memory_order_relaxed)};
    }

private:
    void run()
    {
        for (;;) {
            {
                std::unique_lock lock{m_mutex};
                m_wakeUp.wait(lock, [this] {
                    return m_isStopping || !m_lines.empty();
                });
                if (m_isStopping) {
                    break;
                }
                m_wakeUp.wait_for(lock, BatchInterval, [this] {
                    return m_isStopping;
                });
            }
            flush();
        }
        flush();
    }

    void writeDropCounts(log4cplus::Logger &root)
    {
        const auto now = dropCounts();
        if (now == m_writtenDropCounts) {
            return;
        }
        m_writtenDropCounts = now;
        const std::array fields{log_field{"ordinary", std::to_string(now.ordinary)}, log_field{"important", std::to_string(now.important)}};
        root.log(log4cplus::WARN_LOG_LEVEL, formatLine(log_level::Warning, "log_lines_left_out", fields));
    }

    log_level m_minLevel;
    std::mutex m_mutex;
    std::mutex m_writeMutex;
    std::condition_variable m_wakeUp;
    std::vector<queued_line> m_lines;
    std::atomic<std::size_t> m_size{0};
    std::atomic<std::uint64_t> m_droppedOrdinary{0};
    std::atomic<std::uint64_t> m_droppedImportant{0};
    log_drop_counts m_writtenDropCounts;
    bool m_isStopping{false};
    std::thread m_thread;
};

std::unique_ptr<log_writer> &writer()
{
    static std::unique_ptr<log_writer> instance;
    return instance;
}

/** Returns how many lines of the event were left out before, or nothing if this one is to be left out. The events are those of the code. */
std::optional<std::uint64_t> admitForeign(std::string_view event)
{
    static std::mutex mutex;
    static std::map<std::string, line_limit, std::less<>> limits;
    const std::lock_guard lock{mutex};
    const auto found = limits.find(event);
    auto &limit = found == limits.end() ? limits[std::string{event}] : found->second;
    return admitLine(limit, monotonicNow());
}

} // namespace

std::string toMilliseconds(std::optional<duration> value)
{
    return value ? std::to_string(std::chrono::duration_cast<milliseconds>(*value).count()) : std::string{};
}

void initialiseLogging(log_level lowest)
{
    constexpr bool ToStandardError{false};
    constexpr bool FlushEachLine{false};
    log4cplus::SharedAppenderPtr appender{new log4cplus::ConsoleAppender{ToStandardError, FlushEachLine}};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LinePattern));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    writer() = std::make_unique<log_writer>(lowest);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (writer()) {
        writer()->queue(level, log_weight::Important, event, toSpan(fields));
    }
}

void logForeign(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!writer()) {
        return;
    }
    const auto leftOut = admitForeign(event);
    if (!leftOut) {
        return;
    }
    std::vector<log_field> all{fields};
    all.push_back({"left_out", std::to_string(*leftOut)});
    writer()->queue(level, log_weight::Important, event, all);
}

void logDecision(log_weight weight, std::string_view event, std::initializer_list<log_field> fields)
{
    if (writer()) {
        writer()->queue(log_level::Info, weight, event, toSpan(fields));
    }
}

log_drop_counts logDropCounts() noexcept
{
    return writer() ? writer()->dropCounts() : log_drop_counts{};
}

void flushLog()
{
    if (writer()) {
        writer()->flush();
    }
}

} // namespace ragwortpin
