#ifndef RAGWORTPIN_HTTP_CLIENT_POOL_H
#define RAGWORTPIN_HTTP_CLIENT_POOL_H

#include "ragwortpin/http/call_control.h"
#include "ragwortpin/http/message.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace ragwortpin {

/** How far an exchange came. */
enum class exchange_progress : unsigned char {
    /** No byte of the request left this process. */
    NotSent,
    /** Bytes were sent and no whole response came back. */
    Sent,
    /** The response is whole: its length or chunking was checked. */
    Answered,
};

/** Result of one request to a server. */
struct exchange_result
{
    exchange_progress progress{exchange_progress::NotSent};
    boost::system::error_code error;
    /** Set when progress is Answered. */
    std::optional<http_response> response;
};

/** How one exchange treats its connection and its response. */
struct exchange_options
{
    /** Longest time for a new connection. */
    duration connectTimeout{seconds{2}};
    /** Time that sent bytes may stay unacknowledged before the connection counts as broken. */
    duration unacknowledgedTimeout{milliseconds{1500}};
    /** Idle time from which on a connection is not reused. */
    duration longestIdle{seconds{5}};
    /** Whether a response whose body ends with an orderly end of the connection is whole. */
    bool acceptUnframed{false};
    /** Header field by which responses repeat the id of their request; empty when they do not. */
    std::string idField{};
    /** Id of this request. Responses with another one belong to earlier requests and are passed over. */
    std::string expectedId{};
};

/**
 * Kept-alive connections to servers, one outstanding request on each. A connection whose exchange failed, was cancelled or
 * timed out is closed and never reused, so that a late response cannot be taken for another's. Single-threaded.
 */
class http_client_pool
{
public:
    http_client_pool(boost::asio::io_context &context, http_limits limits);

    /**
     * Sends a request and reads the whole response until the deadline. Cancelling the control closes the connection.
     * A response without a length or chunking, or beyond the body limit, is not whole: Sent with an error.
     */
    [[nodiscard]] boost::asio::awaitable<exchange_result>
    exchange(endpoint server, http_request request, time_point deadline, std::shared_ptr<call_control> control, exchange_options options);

    /** Exchange with the default options. Apart from the other one, since gcc 12 destroys an aggregate that is a default argument twice. */
    [[nodiscard]] boost::asio::awaitable<exchange_result>
    exchange(endpoint server, http_request request, time_point deadline, std::shared_ptr<call_control> control);

    /** Closes the idle connections to a server. */
    void closeIdle(const endpoint &server);

    /** Closes idle connections that are too old to be reused. To be called every few seconds. */
    void closeExpired();

    /** Number of connections that wait for their next request. */
    [[nodiscard]] std::size_t idleConnections() const noexcept;

private:
    struct connection
    {
        explicit connection(boost::asio::io_context &context)
            : stream{context}
        { }

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        time_point idleSince;
        /** Idle time after which the server may close the connection. */
        duration idleLimit{0};
        bool sentWhole{false};
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
    readResponse(connection &open, bool isHead, const exchange_options &options, exchange_result &result);
    [[nodiscard]] connection_ptr takeIdle(const endpoint &server, duration longestIdle);
    void putIdle(const endpoint &server, connection_ptr open);

    boost::asio::io_context &m_context;
    http_limits m_limits;
    std::map<endpoint, std::vector<connection_ptr>> m_idle;
};

} // namespace ragwortpin

#endif
