#ifndef RAGWORTPIN_TESTS_HTTP_LOOPBACK_H
#define RAGWORTPIN_TESTS_HTTP_LOOPBACK_H

#include "ragwortpin/http/client_pool.h"
#include "ragwortpin/http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <stdexcept>
#include <string>

namespace ragwortpin::test {

/** Runs a coroutine on the context until it finishes. Throws its exception, or an error if it takes longer than 30 s. */
inline void runOn(boost::asio::io_context &context, const std::function<boost::asio::awaitable<void>()> &body)
{
    bool finished{false};
    std::exception_ptr failure;
    boost::asio::co_spawn(context, body(), [&](std::exception_ptr exception) {
        failure = std::move(exception);
        finished = true;
        context.stop();
    });
    context.restart();
    context.run_for(std::chrono::seconds{30});
    if (failure) {
        std::rethrow_exception(failure);
    }
    if (!finished) {
        throw std::runtime_error{"the coroutine did not finish within 30 s"};
    }
}

/** Accepts connections one at a time. On each, reads once, writes the given bytes and closes the connection. */
class scripted_server
{
public:
    scripted_server(boost::asio::io_context &context, std::string answer)
        : m_acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}}
        , m_answer{std::move(answer)}
    {
        boost::asio::co_spawn(context, serve(), boost::asio::detached);
    }

    [[nodiscard]] endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    boost::asio::awaitable<void> serve()
    {
        for (;;) {
            boost::system::error_code error;
            auto socket = co_await m_acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            std::string received(4096, '\0');
            co_await socket.async_read_some(boost::asio::buffer(received), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(m_answer), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_answer;
};

} // namespace ragwortpin::test

#endif
