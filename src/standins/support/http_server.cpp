#include "standins/support/http_server.h"

#include "ragwortpin/http/bounded_read.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace ragwortpin::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/** Maximum size of a request body, in bytes. */
constexpr std::uint64_t MaxBodyBytes{8'000'000};
constexpr std::size_t MaxHeaderBytes{8UL * 1024UL};

/**
 * Cancels the exchange when the client closes the connection. Returns when further data arrives from the client or the exchange
 * has finished.
 */
asio::awaitable<void> watchForClose(std::shared_ptr<tcp::socket> socket, exchange_pointer current)
{
    error_code error;
    co_await socket->async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (error || current->finished) {
        co_return;
    }
    char byte{};
    const auto count = socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error || count == 0) {
        cancel(*current);
    }
}

http::response<http::empty_body> makeHeader(const reply &answer, bool keepAlive)
{
    http::response<http::empty_body> header;
    header.version(11);
    header.result(answer.status);
    header.set(http::field::content_type, answer.contentType);
    for (const auto &field : answer.headers) {
        header.set(field.name, field.value);
    }
    header.keep_alive(keepAlive);
    return header;
}

asio::awaitable<bool> sendStream(tcp::socket &socket, const reply &answer, exchange_pointer current)
{
    error_code error;
    auto header = makeHeader(answer, false);
    header.chunked(true);
    http::response_serializer<http::empty_body> serializer{header};
    co_await http::async_write_header(socket, serializer, asio::redirect_error(asio::use_awaitable, error));
    const chunk_sender sendChunk = [&socket](std::string_view data) -> asio::awaitable<bool> {
        error_code chunkError;
        const auto chunk = http::make_chunk(asio::buffer(data.data(), data.size()));
        co_await asio::async_write(socket, chunk, asio::redirect_error(asio::use_awaitable, chunkError));
        co_return !chunkError;
    };
    co_await answer.stream(sendChunk, std::move(current));
    co_return false;
}

asio::awaitable<bool> sendReply(tcp::socket &socket, reply &answer, bool keepAlive)
{
    error_code error;
    const auto length = answer.body.size() + answer.missingBytes;
    const bool isComplete = answer.missingBytes == 0;
    http::response<http::string_body> response{makeHeader(answer, keepAlive && isComplete).base()};
    response.content_length(length);
    response.body() = std::move(answer.body);
    co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && keepAlive && isComplete;
}

} // namespace

http_server::http_server(asio::io_context &context, server_settings settings, request_handler handler)
    : m_context{context}
    , m_settings{std::move(settings)}
    , m_handler{std::move(handler)}
    , m_acceptor{context, tcp::endpoint{asio::ip::make_address_v4(m_settings.listen.host), m_settings.listen.port}}
{ }

void http_server::start()
{
    asio::co_spawn(m_context, acceptConnections(), asio::detached);
}

std::size_t http_server::connections() const noexcept
{
    return m_connections;
}

std::size_t http_server::rejected() const noexcept
{
    return m_rejected;
}

asio::awaitable<void> http_server::acceptConnections()
{
    for (;;) {
        error_code error;
        tcp::socket socket{m_context};
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            continue;
        }
        if (m_connections >= m_settings.maxConnections) {
            ++m_rejected;
            continue;
        }
        asio::co_spawn(m_context, serveConnection(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> http_server::serveConnection(tcp::socket accepted)
{
    ++m_connections;
    const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
    error_code error;
    socket->set_option(tcp::no_delay{true}, error);
    auto buffer = makeReadBuffer(MaxHeaderBytes);
    bool open{true};
    while (open) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxBodyBytes);
        co_await readBounded(*socket, buffer, parser, error);
        if (error) {
            break;
        }
        const bool keepAlive = parser.get().keep_alive();
        const auto current = std::make_shared<exchange>();
        asio::co_spawn(m_context, watchForClose(socket, current), asio::detached);
        reply answer = co_await m_handler(parser.release(), current);
        if (answer.stream) {
            open = co_await sendStream(*socket, answer, current);
        }
        current->finished = true;
        current->onCancel = nullptr;
        socket->cancel(error);
        if (answer.closeWithoutResponse || current->cancelled || !open) {
            break;
        }
        open = co_await sendReply(*socket, answer, keepAlive);
    }
    socket->close(error);
    --m_connections;
}

} // namespace ragwortpin::standins
