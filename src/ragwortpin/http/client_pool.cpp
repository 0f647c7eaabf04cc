#include "ragwortpin/http/client_pool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <chrono>

namespace ragwortpin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/** Shorter than the servers' idle timeout, so that a connection is not reused while its server closes it. */
constexpr duration IdleReuseLimit{seconds{5}};
constexpr std::size_t IdleConnectionsPerServer{128};

bool stillOpen(tcp::socket &socket)
{
    std::array<char, 1> byte{};
    boost::system::error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

bool isFramed(const http::response_parser<http::string_body> &parser)
{
    return parser.is_done() && !parser.need_eof();
}

} // namespace

http_client_pool::http_client_pool(asio::io_context &context, http_limits limits)
    : m_context{context}
    , m_limits{limits}
{ }

asio::awaitable<exchange_result>
http_client_pool::exchange(endpoint server, http_request request, time_point deadline, std::shared_ptr<call_control> control)
{
    exchange_result result;
    const auto remaining = deadline - monotonicNow();
    if (remaining <= duration::zero() || control->cancelled()) {
        result.error = asio::error::operation_aborted;
        co_return result;
    }
    auto open = takeIdle(server);
    const bool fresh = !open;
    if (fresh) {
        open = std::make_shared<connection>(connection{boost::beast::tcp_stream{m_context}, {}, {}});
    }
    control->onCancel([open] {
        open->stream.close();
    });
    open->stream.expires_after(remaining);
    if (fresh) {
        const auto address = asio::ip::make_address(server.address, result.error);
        if (!result.error) {
            const tcp::endpoint remote{address, server.port};
            co_await open->stream.async_connect(remote, asio::redirect_error(asio::use_awaitable, result.error));
        }
        if (result.error) {
            control->onCancel(nullptr);
            co_return result;
        }
        boost::system::error_code ignored;
        open->stream.socket().set_option(tcp::no_delay{true}, ignored);
    }
    const auto written = co_await http::async_write(open->stream, request, asio::redirect_error(asio::use_awaitable, result.error));
    if (result.error) {
        result.progress = written == 0 ? exchange_progress::NotSent : exchange_progress::Sent;
        control->onCancel(nullptr);
        co_return result;
    }
    result.progress = exchange_progress::Sent;
    http::response_parser<http::string_body> parser;
    parser.header_limit(m_limits.headerBytes);
    parser.body_limit(m_limits.responseBodyBytes);
    parser.skip(request.method() == http::verb::head);
    co_await http::async_read(open->stream, open->buffer, parser, asio::redirect_error(asio::use_awaitable, result.error));
    control->onCancel(nullptr);
    if (result.error || control->cancelled()) {
        co_return result;
    }
    if (!isFramed(parser)) {
        result.error = http::error::partial_message;
        co_return result;
    }
    result.progress = exchange_progress::Answered;
    result.response = parser.release();
    if (result.response->keep_alive()) {
        putIdle(server, std::move(open));
    }
    co_return result;
}

std::size_t http_client_pool::idleConnections() const noexcept
{
    std::size_t count{0};
    for (const auto &[server, connections] : m_idle) {
        count += connections.size();
    }
    return count;
}

http_client_pool::connection_ptr http_client_pool::takeIdle(const endpoint &server)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const auto now = monotonicNow();
    auto &connections = found->second;
    while (!connections.empty()) {
        auto candidate = std::move(connections.back());
        connections.pop_back();
        const bool usable
            = now - candidate->idleSince < IdleReuseLimit && candidate->buffer.size() == 0 && stillOpen(candidate->stream.socket());
        if (usable) {
            return candidate;
        }
    }
    m_idle.erase(found);
    return nullptr;
}

void http_client_pool::putIdle(const endpoint &server, connection_ptr open)
{
    auto &connections = m_idle[server];
    if (connections.size() >= IdleConnectionsPerServer) {
        return;
    }
    open->stream.expires_never();
    open->idleSince = monotonicNow();
    connections.push_back(std::move(open));
}

} // namespace ragwortpin
