#include "loopback_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <utility>

namespace ragwortpin::test {

namespace asio = boost::asio;

namespace {

constexpr std::size_t BufferBytes{16UL * 1024UL};
constexpr milliseconds HoldCheckInterval{20};

asio::ip::tcp::endpoint toEndpoint(const endpoint &address)
{
    return {asio::ip::make_address(address.address), address.port};
}

} // namespace

loopback_proxy::loopback_proxy(const endpoint &listen, const endpoint &server)
    : m_acceptor{m_context, toEndpoint(listen)}
    , m_server{toEndpoint(server)}
{
    asio::co_spawn(m_context, accept(), asio::detached);
    m_thread = std::thread{[this] {
        m_context.run();
    }};
}

loopback_proxy::~loopback_proxy()
{
    m_context.stop();
    m_thread.join();
}

void loopback_proxy::setFault(proxy_fault fault)
{
    m_fault.store(fault);
    if (fault == proxy_fault::Reset) {
        asio::post(m_context, [this] {
            resetAll();
        });
    }
}

void loopback_proxy::resetAll()
{
    boost::system::error_code ignored;
    for (const auto &both : std::exchange(m_open, {})) {
        for (auto *socket : {&both->first, &both->second}) {
            socket->set_option(asio::socket_base::linger{true, 0}, ignored);
            socket->close(ignored);
        }
    }
}

asio::awaitable<void> loopback_proxy::accept()
{
    for (;;) {
        auto client = co_await m_acceptor.async_accept(asio::use_awaitable);
        if (m_fault.load() == proxy_fault::Reset) {
            client.set_option(asio::socket_base::linger{true, 0});
            continue;
        }
        auto both = std::make_shared<socket_pair>(std::move(client), tcp::socket{m_context});
        asio::co_spawn(m_context, connect(std::move(both)), asio::detached);
    }
}

asio::awaitable<void> loopback_proxy::connect(std::shared_ptr<socket_pair> both)
{
    boost::system::error_code error;
    co_await both->second.async_connect(m_server, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return;
    }
    both->first.set_option(tcp::no_delay{true}, error);
    both->second.set_option(tcp::no_delay{true}, error);
    m_open.insert(both);
    asio::co_spawn(m_context, copy(both, false), asio::detached);
    asio::co_spawn(m_context, copy(both, true), asio::detached);
}

asio::awaitable<void> loopback_proxy::waitWhileHeld()
{
    asio::steady_timer timer{m_context};
    if (m_fault.load() == proxy_fault::Delay) {
        timer.expires_after(DelayTime);
        co_await timer.async_wait(asio::use_awaitable);
    }
    while (m_fault.load() == proxy_fault::Silent) {
        timer.expires_after(HoldCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/** Copies the bytes of one direction until it ends, and then shuts it down on the other side. */
asio::awaitable<void> loopback_proxy::copy(std::shared_ptr<socket_pair> both, bool isFromServer)
{
    auto &from = isFromServer ? both->second : both->first;
    auto &to = isFromServer ? both->first : both->second;
    std::string buffer(BufferBytes, '\0');
    boost::system::error_code error;
    while (!error) {
        const auto size = co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        co_await waitWhileHeld();
        if (isFromServer && m_fault.load() == proxy_fault::OneWay) {
            continue;
        }
        boost::system::error_code writeError;
        co_await asio::async_write(to, asio::buffer(buffer, size), asio::redirect_error(asio::use_awaitable, writeError));
        error = error ? error : writeError;
    }
    boost::system::error_code ignored;
    if (error == asio::error::eof) {
        to.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
        from.close(ignored);
        to.close(ignored);
    }
    if (isFromServer) {
        m_open.erase(both);
    }
}

} // namespace ragwortpin::test
