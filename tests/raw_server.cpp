#include "raw_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ragwortpin::test {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t ReadSize{64UL * 1024UL};

/** Returns the value of a header field; empty if it is missing. */
std::string fieldOf(const std::string &head, const std::string &name)
{
    const auto start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const auto value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

/** Reads and discards a number of bytes, the first of which may already be in the buffer. */
asio::awaitable<void> discard(tcp::socket &socket, std::string &received, std::size_t bytes)
{
    while (bytes > 0) {
        if (received.empty()) {
            received.resize(std::min(bytes, ReadSize));
            received.resize(co_await socket.async_read_some(asio::buffer(received), asio::use_awaitable));
        }
        const auto part = std::min(bytes, received.size());
        received.erase(0, part);
        bytes -= part;
    }
}

std::string ordinaryAnswer(const std::string &idField, const std::string &id)
{
    const std::string body{OrdinaryBody};
    return "HTTP/1.1 200 OK\r\n" + idField + ": " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

asio::awaitable<void> endConnection(tcp::socket socket, connection_end end, std::string received, std::size_t unread)
{
    switch (end) {
    case connection_end::Reset:
        socket.set_option(asio::socket_base::linger{true, 0});
        break;
    case connection_end::CloseUnread:
        break;
    case connection_end::ShutDownFirst:
        socket.shutdown(tcp::socket::shutdown_send);
        co_await discard(socket, received, unread);
        break;
    case connection_end::Close:
        co_await discard(socket, received, unread);
        break;
    case connection_end::Stall:
        asio::steady_timer forever{socket.get_executor(), std::chrono::hours{1}};
        co_await forever.async_wait(asio::use_awaitable);
        break;
    }
    socket.close();
}

} // namespace

raw_server::raw_server(const endpoint &local, std::string idField)
    : m_acceptor{m_context, tcp::endpoint{asio::ip::make_address(local.address), local.port}}
    , m_idField{std::move(idField)}
{
    asio::co_spawn(m_context, acceptConnections(), asio::detached);
    m_thread = std::thread{[this] {
        m_context.run();
    }};
}

raw_server::~raw_server()
{
    m_context.stop();
    m_thread.join();
}

endpoint raw_server::address() const
{
    const auto local = m_acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void raw_server::answerWith(raw_answer answer)
{
    const std::lock_guard lock{m_mutex};
    m_answer = std::move(answer);
}

raw_answer raw_server::currentAnswer()
{
    const std::lock_guard lock{m_mutex};
    return m_answer;
}

asio::awaitable<void> raw_server::acceptConnections()
{
    for (;;) {
        auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> raw_server::serve(tcp::socket socket)
{
    std::string received;
    for (;;) {
        const auto headSize = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::use_awaitable);
        const auto head = received.substr(0, headSize);
        received.erase(0, headSize);
        const auto id = m_idField.empty() ? RawRequestId : fieldOf(head, m_idField);
        const auto lengthText = fieldOf(head, "Content-Length");
        const std::size_t length{lengthText.empty() ? 0 : std::stoul(lengthText)};
        if (id != RawRequestId) {
            co_await discard(socket, received, length);
            const auto bytes = ordinaryAnswer(m_idField, id);
            co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
            continue;
        }
        const auto answer = currentAnswer();
        const auto readFirst = std::min(answer.readFirst, length);
        co_await discard(socket, received, readFirst);
        co_await asio::async_write(socket, asio::buffer(answer.bytes), asio::use_awaitable);
        co_await endConnection(std::move(socket), answer.end, std::move(received), length - readFirst);
        co_return;
    }
}

} // namespace ragwortpin::test
