#include "standins/support/http_client.h"

#include "ragwortpin/http/bounded_read.h"
#include "ragwortpin/http/framing.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

namespace ragwortpin::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t MaxHeaderBytes{8UL * 1024UL};
constexpr std::uint64_t MaxBodyBytes{8'000'000};
/** Lower status codes are interim responses. */
constexpr unsigned FirstFinalStatus{200};
/** Number of interim responses that are discarded before a call fails. */
constexpr unsigned MaxInterimResponses{3};

/** Returns whether an idle connection is still open and has no unexpected data to read. */
bool isUsable(tcp::socket &socket)
{
    error_code error;
    char byte{};
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

asio::awaitable<std::error_code> connect(boost::beast::tcp_stream &stream, const endpoint &address)
{
    error_code error;
    const tcp::endpoint peer{asio::ip::make_address_v4(address.host), address.port};
    co_await stream.async_connect(peer, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return error;
    }
    stream.socket().set_option(tcp::no_delay{true}, error);
    co_return error;
}

} // namespace

http_client::http_client(asio::io_context &context, std::size_t maxConnections)
    : m_context{context}
    , m_maxConnections{maxConnections}
{ }

bool http_client::exhausted() const noexcept
{
    return m_inUse >= m_maxConnections;
}

asio::awaitable<call_result> http_client::send(endpoint address, http_request request, duration timeout, exchange_pointer caller)
{
    call_result result;
    auto stream = takeIdleConnection(address);
    const bool isNew = stream == nullptr;
    if (isNew) {
        stream = std::make_shared<boost::beast::tcp_stream>(m_context);
    }
    ++m_inUse;
    if (caller) {
        caller->onCancel = [stream] {
            stream->cancel();
        };
    }
    stream->expires_after(timeout);
    if (isNew) {
        result.error = co_await connect(*stream, address);
    }
    result.connected = !result.error;
    bool reusable{false};
    if (result.connected) {
        request.set(http::field::host, toText(address));
        request.prepare_payload();
        result.error = co_await exchangeMessages(stream, request, result.response, reusable);
    }
    if (caller) {
        caller->onCancel = nullptr;
    }
    --m_inUse;
    if (reusable) {
        stream->expires_never();
        m_idle[address].push_back(stream);
        ++m_idleCount;
        if (m_inUse + m_idleCount > m_maxConnections) {
            closeIdleConnection();
        }
    }
    co_return result;
}

http_client::stream_pointer http_client::takeIdleConnection(const endpoint &address)
{
    auto &idle = m_idle[address];
    while (!idle.empty()) {
        auto stream = idle.back();
        idle.pop_back();
        --m_idleCount;
        if (isUsable(stream->socket())) {
            return stream;
        }
    }
    if (m_idleCount > 0 && m_inUse + m_idleCount >= m_maxConnections) {
        closeIdleConnection();
    }
    return nullptr;
}

void http_client::closeIdleConnection()
{
    for (auto &[address, idle] : m_idle) {
        if (!idle.empty()) {
            idle.erase(idle.begin());
            --m_idleCount;
            return;
        }
    }
}

asio::awaitable<std::error_code>
http_client::exchangeMessages(stream_pointer stream, http_request &request, http_response &response, bool &reusable)
{
    error_code error;
    co_await http::async_write(*stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return error;
    }
    auto buffer = makeReadBuffer(MaxHeaderBytes);
    for (unsigned read{0}; read <= MaxInterimResponses; ++read) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(MaxHeaderBytes);
        parser.body_limit(MaxBodyBytes);
        parser.skip(request.method() == http::verb::head);
        co_await readBounded(*stream, buffer, parser, error);
        if (error) {
            co_return error;
        }
        if (!isFramed(parser)) {
            co_return make_error_code(http::error::partial_message);
        }
        response = parser.release();
        if (response.result_int() >= FirstFinalStatus) {
            reusable = response.keep_alive() && buffer.size() == 0;
            co_return error;
        }
    }
    co_return make_error_code(http::error::bad_status);
}

} // namespace ragwortpin::standins
