#ifndef RAGWORTPIN_TESTS_PLATFORM_PLATFORM_REQUEST_H
#define RAGWORTPIN_TESTS_PLATFORM_PLATFORM_REQUEST_H

#include "announcements.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <utility>

namespace ragwortpin::platform {

/** Returns the response to a request. The services must not wait for anything outside the call. */
inline http_response answerPlatformRequest(const http_request &request, const admin_callbacks &services)
{
    boost::asio::io_context context;
    http_response result;
    boost::asio::co_spawn(context, handlePlatformRequest(request, services), [&](std::exception_ptr exception, http_response response) {
        if (exception) {
            std::rethrow_exception(exception);
        }
        result = std::move(response);
    });
    context.run();
    return result;
}

} // namespace ragwortpin::platform

#endif
