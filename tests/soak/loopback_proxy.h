#ifndef RAGWORTPIN_TESTS_SOAK_LOOPBACK_PROXY_H
#define RAGWORTPIN_TESTS_SOAK_LOOPBACK_PROXY_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/http/message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <set>
#include <thread>

namespace ragwortpin::test {

/** What a proxy does with the bytes that it receives. */
enum class proxy_fault : unsigned char {
    None,
    /** Passes bytes on after a delay. */
    Delay,
    /** Discards the bytes of the servers, and passes on those of the clients. */
    OneWay,
    /** Keeps bytes until the fault ends. Connections stay open. */
    Silent,
    /** Refuses new connections; those that were open are reset once. */
    Reset,
};

/** TCP proxy from one loopback address to another that injects faults. Runs on a thread of its own until it is destroyed. */
class loopback_proxy
{
public:
    loopback_proxy(const endpoint &listen, const endpoint &server);
    loopback_proxy(const loopback_proxy &) = delete;
    loopback_proxy &operator=(const loopback_proxy &) = delete;
    ~loopback_proxy();

    /** Sets the fault that is in effect from now on. Thread-safe. */
    void setFault(proxy_fault fault);

    static constexpr milliseconds DelayTime{120};

private:
    using tcp = boost::asio::ip::tcp;
    using socket_pair = std::pair<tcp::socket, tcp::socket>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(std::shared_ptr<socket_pair> both);
    boost::asio::awaitable<void> copy(std::shared_ptr<socket_pair> both, bool isFromServer);
    boost::asio::awaitable<void> waitWhileHeld();
    void resetAll();

    boost::asio::io_context m_context{1};
    tcp::acceptor m_acceptor;
    tcp::endpoint m_server;
    std::set<std::shared_ptr<socket_pair>> m_open;
    std::atomic<proxy_fault> m_fault{proxy_fault::None};
    std::thread m_thread;
};

} // namespace ragwortpin::test

#endif
