#ifndef RAGWORTPIN_RUNTIME_ASYNC_SIGNAL_H
#define RAGWORTPIN_RUNTIME_ASYNC_SIGNAL_H

#include "ragwortpin/core/time.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace ragwortpin {

/** Notification that coroutines of one thread can wait for, similar to a condition variable. Not thread-safe. */
class async_signal
{
public:
    explicit async_signal(boost::asio::io_context &context)
        : m_timer{context, std::chrono::steady_clock::time_point::max()}
    { }

    /** Resumes all coroutines that are waiting. */
    void notifyAll()
    {
        m_timer.cancel();
    }

    /** Waits for the next call of notifyAll(), without a timeout. */
    [[nodiscard]] boost::asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace ragwortpin

#endif
