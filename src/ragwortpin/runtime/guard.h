#ifndef RAGWORTPIN_RUNTIME_GUARD_H
#define RAGWORTPIN_RUNTIME_GUARD_H

#include <boost/asio/io_context.hpp>

#include <exception>
#include <string_view>
#include <utility>

namespace ragwortpin {

/** Logs an exception that a handler did not handle. */
void reportHandlerFailure(std::string_view handler, const std::exception &failure);

/**
 * Calls a function. An exception is logged and not passed on, so that an error in one event does not end the process. Returns whether
 * the function returned without an exception.
 */
template<typename Function>
bool runGuarded(std::string_view handler, Function &&function)
{
    try {
        std::forward<Function>(function)();
        return true;
    } catch (const std::exception &failure) {
        reportHandlerFailure(handler, failure);
        return false;
    }
}

/** Runs the handlers of a context until it is stopped or has no work left. An exception ends only the handler that threw it. */
void runGuardedLoop(std::string_view thread, boost::asio::io_context &context);

} // namespace ragwortpin

#endif
