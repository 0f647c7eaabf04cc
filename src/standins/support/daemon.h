#ifndef RAGWORTPIN_STANDINS_SUPPORT_DAEMON_H
#define RAGWORTPIN_STANDINS_SUPPORT_DAEMON_H

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace ragwortpin::standins {

/** Sends log lines to the standard error stream. */
void startLogging();

/** Logs a change of state. */
void logChange(const std::string &line);

/** Runs the context until it is stopped. The first SIGTERM or SIGINT calls onSignal, a second one stops at once. */
void runUntilStopped(boost::asio::io_context &context, const std::function<void()> &onSignal);

} // namespace ragwortpin::standins

#endif
