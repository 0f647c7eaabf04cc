#include "ragwortpin/runtime/guard.h"

#include "ragwortpin/runtime/logging.h"

#include <string>

namespace ragwortpin {

void reportHandlerFailure(std::string_view handler, const std::exception &failure)
{
    logEvent(log_level::Error, "handler_failed", {{"handler", std::string{handler}}, {"error", failure.what()}});
}

void runGuardedLoop(std::string_view thread, boost::asio::io_context &context)
{
    while (!runGuarded(thread, [&context] {
        context.run();
    })) { }
}

} // namespace ragwortpin
