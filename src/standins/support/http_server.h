#ifndef RAGWORTPIN_STANDINS_SUPPORT_HTTP_SERVER_H
#define RAGWORTPIN_STANDINS_SUPPORT_HTTP_SERVER_H

#include "standins/support/endpoint.h"
#include "standins/support/exchange.h"
#include "standins/support/http_types.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin::standins {

/** Header field of a reply. */
struct header_field
{
    std::string name;
    std::string value;
};

/** Sends one piece of a streamed body; false when the connection is gone. */
using send_piece = std::function<boost::asio::awaitable<bool>(std::string_view)>;

/** Produces a streamed body until the exchange is cancelled. */
using stream_body = std::function<boost::asio::awaitable<void>(send_piece, exchange_pointer)>;

/** What a handler answers. */
struct reply
{
    unsigned status{200};
    std::string contentType{"application/json"};
    std::string body;
    std::vector<header_field> headers;
    /** Bytes by which Content-Length exceeds the body; the connection is closed after a body that falls short. */
    std::size_t missingBytes{0};
    /** Whether the connection is closed without an answer. */
    bool closeWithoutAnswer{false};
    /** Sent as a chunked body in place of body when set. */
    stream_body stream;
};

/** Answers one request. */
using request_handler = std::function<boost::asio::awaitable<reply>(http_request, exchange_pointer)>;

/** Settings of a server. */
struct server_settings
{
    endpoint listen;
    /** Connections beyond this number are closed at once. */
    std::size_t maxConnections{10'000};
};

/** HTTP/1.1 server on the thread of one io_context. */
class http_server
{
public:
    /** Listens at once; throws boost::system::system_error when the address is taken. */
    http_server(boost::asio::io_context &context, server_settings settings, request_handler handler);

    /** Starts to accept connections. */
    void start();

    /** Connections that are open. */
    [[nodiscard]] std::size_t connections() const noexcept;

    /** Connections closed at once because of the limit. */
    [[nodiscard]] std::size_t rejected() const noexcept;

private:
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serveConnection(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_context;
    server_settings m_settings;
    request_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_connections{0};
    std::size_t m_rejected{0};
};

} // namespace ragwortpin::standins

#endif
