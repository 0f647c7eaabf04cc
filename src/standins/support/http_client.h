#ifndef RAGWORTPIN_STANDINS_SUPPORT_HTTP_CLIENT_H
#define RAGWORTPIN_STANDINS_SUPPORT_HTTP_CLIENT_H

#include "ragwortpin/core/time.h"
#include "standins/support/endpoint.h"
#include "standins/support/exchange.h"
#include "standins/support/http_types.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <system_error>
#include <vector>

namespace ragwortpin::standins {

/** Result of one HTTP call. */
struct call_result
{
    /** Set unless a complete response was received, as its length or its chunking shows. */
    std::error_code error;
    /** Whether a connection was established. If not, nothing was sent. */
    bool connected{false};
    http_response response;
};

/** HTTP/1.1 client with a pool of persistent connections. Not thread-safe: runs on the single thread of its io_context. */
class http_client
{
public:
    /**
     * Sets the maximum number of connections, those in use and idle ones together. At the limit, idle connections are closed;
     * send() does not enforce it, so a caller that must not exceed it checks exhausted() first.
     */
    http_client(boost::asio::io_context &context, std::size_t maxConnections);

    /**
     * Sends a request, without retrying, and reads its response. Returns an error and closes the connection when the timeout
     * expires or when caller, the exchange that the call is made for, is cancelled. The caller may be null.
     */
    [[nodiscard]] boost::asio::awaitable<call_result>
    send(endpoint address, http_request request, duration timeout, exchange_pointer caller);

    /** Returns whether the number of connections in use has reached the limit. */
    [[nodiscard]] bool exhausted() const noexcept;

private:
    using stream_pointer = std::shared_ptr<boost::beast::tcp_stream>;

    stream_pointer takeIdleConnection(const endpoint &address);
    void closeIdleConnection();
    boost::asio::awaitable<std::error_code>
    exchangeMessages(stream_pointer stream, http_request &request, http_response &response, bool &reusable);

    boost::asio::io_context &m_context;
    std::size_t m_maxConnections;
    std::size_t m_inUse{0};
    std::size_t m_idleCount{0};
    std::map<endpoint, std::vector<stream_pointer>> m_idle;
};

} // namespace ragwortpin::standins

#endif
