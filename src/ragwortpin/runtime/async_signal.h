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

/** Lets coroutines of one thread wait until they are notified or a time comes. */
class async_signal
{
public:
    explicit async_signal(boost::asio::io_context &context)
        : m_timer{context, std::chrono::steady_clock::time_point::max()}
    { }

    /** Resumes every waiter. */
    void notifyAll()
    {
        m_timer.cancel();
    }

    /** Waits for notifyAll(), without a time limit. */
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
