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

/** Header field of a response. */
struct header_field
{
    std::string name;
    std::string value;
};

/** Sends one chunk of a streamed body. Returns false if the connection has been lost. */
using chunk_sender = std::function<boost::asio::awaitable<bool>(std::string_view)>;

/** Sends a streamed body chunk by chunk until the exchange is cancelled or a chunk cannot be sent. */
using body_streamer = std::function<boost::asio::awaitable<void>(chunk_sender, exchange_pointer)>;

/** Response of a request handler. */
struct reply
{
    unsigned status{200};
    std::string contentType{"application/json"};
    std::string body;
    std::vector<header_field> headers;
    /** Number of bytes by which Content-Length exceeds the body. If it is not 0, the connection is closed after the response. */
    std::size_t missingBytes{0};
    /** Whether to close the connection without sending a response. */
    bool closeWithoutResponse{false};
    /** If set, sends the body with chunked encoding and body is not used; the connection is closed afterwards. */
    body_streamer stream;
};

/** Handles one request and returns its response. */
using request_handler = std::function<boost::asio::awaitable<reply>(http_request, exchange_pointer)>;

/** Settings of an http_server. */
struct server_settings
{
    endpoint listen;
    /** Maximum number of open connections; further ones are closed immediately. */
    std::size_t maxConnections{10'000};
};

/** HTTP/1.1 server. Not thread-safe: runs on the single thread of its io_context. */
class http_server
{
public:
    /** Binds the address and listens. Throws boost::system::system_error if that fails, for example if the address is in use. */
    http_server(boost::asio::io_context &context, server_settings settings, request_handler handler);

    /** Starts accepting connections. */
    void start();

    /** Returns the number of open connections. */
    [[nodiscard]] std::size_t connections() const noexcept;

    /** Returns the number of connections that were closed immediately because the limit was reached. */
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
