#ifndef RAGWORTPIN_HTTP_CLIENT_POOL_H
#define RAGWORTPIN_HTTP_CLIENT_POOL_H

#include "ragwortpin/http/bounded_read.h"
#include "ragwortpin/http/call_control.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/memory/budget.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace ragwortpin {

/** Stage that an exchange reached. */
enum class exchange_progress : unsigned char {
    /** No byte of the request was sent. */
    NotSent,
    /** At least part of the request was sent, and no complete response was received. */
    Sent,
    /** A complete response was received, as shown by its length, its chunking or, with acceptCloseDelimited, the end of the connection. */
    Answered,
};

/** Result of sending one request to a server. */
struct exchange_result
{
    exchange_progress progress{exchange_progress::NotSent};
    boost::system::error_code error;
    /** Present if progress is Answered. */
    std::optional<http_response> response;
};

/** Connection and response handling of one exchange. */
struct exchange_options
{
    /** Timeout for establishing a new connection. */
    duration connectTimeout{seconds{2}};
    /** Time that sent bytes may stay unacknowledged before the connection is treated as broken (TCP_USER_TIMEOUT). */
    duration unacknowledgedTimeout{milliseconds{1500}};
    /** A connection that has been idle for this long or longer is not reused. */
    duration maxIdleTime{seconds{5}};
    /**
     * Whether a response without length or chunking counts as complete if the request was sent whole and the server closes the connection
     * in order.
     */
    bool acceptCloseDelimited{false};
    /** Header field in which responses echo the id of their request; empty if they do not. */
    std::string requestIdField{};
    /**
     * Id of this request. Responses with another id belong to earlier requests and are discarded, and so are responses without an id
     * on a reused connection. On a new connection, an error response without an id is accepted.
     */
    std::string expectedId{};
    /**
     * Called once a connection is there, right before the first byte is written. It may change the request. If it returns false, nothing is
     * sent, the connection is closed, and the result is NotSent without an error. Empty if the request is sent in any case.
     */
    std::function<bool(http_request &)> prepare{};
};

/**
 * Pool of kept-alive connections with one outstanding request each. A connection whose exchange failed, was cancelled or timed
 * out is closed and never reused, so that a late response cannot be matched to a different request. Not thread-safe.
 */
class http_client_pool
{
public:
    /** With a memory budget, the body of a response is not read before the budget allows it, up to the deadline of the exchange. */
    http_client_pool(boost::asio::io_context &context, http_limits limits, std::optional<memory_budget> memory = std::nullopt);

    /**
     * Sends a request and reads the complete response, both before the deadline. Cancelling the control closes the connection.
     * A response above the body limit, or without length or chunking unless acceptCloseDelimited is set, yields Sent and an error.
     */
    [[nodiscard]] boost::asio::awaitable<exchange_result>
    exchange(endpoint server, http_request request, time_point deadline, std::shared_ptr<call_control> control, exchange_options options);

    /** Exchange with the default options. An overload, since gcc 12 destroys an aggregate used as a default argument twice. */
    [[nodiscard]] boost::asio::awaitable<exchange_result>
    exchange(endpoint server, http_request request, time_point deadline, std::shared_ptr<call_control> control);

    /** Closes the idle connections to a server. */
    void closeIdleConnections(const endpoint &server);

    /** Closes idle connections that exceeded their idle time or were closed by the server. Must be called every few seconds. */
    void closeExpired();

    /** Returns the number of idle connections in the pool. */
    [[nodiscard]] std::size_t idleConnectionCount() const noexcept;

private:
    struct connection
    {
        connection(boost::asio::io_context &context, std::size_t headerBytes)
            : stream{context}
            , buffer{makeReadBuffer(headerBytes)}
        { }

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        time_point idleSince;
        /** Idle time after which the connection is not reused, since the server may close it. */
        duration maxIdleTime{0};
        /** Whether the connection has not been returned to the pool yet, so that no response on it can belong to an earlier request. */
        bool isFirstExchange{true};
        bool requestFullySent{false};
        bool reusable{false};
    };
    using connection_ptr = std::shared_ptr<connection>;

    [[nodiscard]] boost::asio::awaitable<void> connect(connection &open,
                                                       const endpoint &server,
                                                       time_point deadline,
                                                       const std::shared_ptr<call_control> &control,
                                                       const exchange_options &options,
                                                       boost::system::error_code &error);
    [[nodiscard]] boost::asio::awaitable<void> sendRequest(connection &open, const http_request &request, exchange_result &result);
    [[nodiscard]] boost::asio::awaitable<void>
    readResponse(connection &open, bool isHead, time_point deadline, const exchange_options &options, exchange_result &result);
    [[nodiscard]] boost::asio::awaitable<bool> awaitMemory(const connection &open, body_text &body, std::size_t bytes, time_point deadline);
    [[nodiscard]] connection_ptr takeIdle(const endpoint &server, duration maxIdleTime);
    void returnIdle(const endpoint &server, connection_ptr open);

    boost::asio::io_context &m_context;
    http_limits m_limits;
    std::optional<memory_budget> m_memory;
    std::map<endpoint, std::vector<connection_ptr>> m_idle;
};

} // namespace ragwortpin

#endif
