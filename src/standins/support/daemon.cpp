#include "standins/support/daemon.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <memory>

namespace ragwortpin::standins {

void startLogging()
{
    log4cplus::initialize();
    constexpr bool ToStandardError{true};
    constexpr bool FlushEachLine{true};
    log4cplus::SharedAppenderPtr appender{new log4cplus::ConsoleAppender(ToStandardError, FlushEachLine)};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%d{%H:%M:%S.%q} %p %m%n"));
    log4cplus::Logger::getRoot().addAppender(appender);
}

void logInfo(const std::string &line)
{
    LOG4CPLUS_INFO(log4cplus::Logger::getRoot(), line);
}

void runUntilStopped(boost::asio::io_context &context, const std::function<void()> &onSignal)
{
    boost::asio::signal_set signals{context, SIGINT, SIGTERM};
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        signals.async_wait([&context](const boost::system::error_code &secondError, int) {
            if (!secondError) {
                context.stop();
            }
        });
        onSignal();
    });
    context.run();
}

} // namespace ragwortpin::standins
