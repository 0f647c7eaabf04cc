#ifndef RAGWORTPIN_STANDINS_SUPPORT_DAEMON_H
#define RAGWORTPIN_STANDINS_SUPPORT_DAEMON_H

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace ragwortpin::standins {

/** Configures the root logger to write to the standard error stream. */
void startLogging();

/** Logs a line at level INFO. */
void logInfo(const std::string &line);

/** Runs the context until it is stopped. The first SIGTERM or SIGINT calls onSignal; the second one stops the context immediately. */
void runUntilStopped(boost::asio::io_context &context, const std::function<void()> &onSignal);

} // namespace ragwortpin::standins

#endif
