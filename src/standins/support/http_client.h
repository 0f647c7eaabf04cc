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

/** Result of one call. */
struct call_result
{
    /** Set when no whole answer came back. */
    std::error_code error;
    /** Whether there was a connection; without one, no byte was sent. */
    bool connected{false};
    http_response response;
};

/** HTTP/1.1 client that keeps connections alive, on the thread of one io_context. */
class http_client
{
public:
    /** Holds at most maxConnections connections, in use and idle together. */
    http_client(boost::asio::io_context &context, std::size_t maxConnections);

    /**
     * Sends one request, once, and reads its answer. Ends early with an error at the timeout or when the exchange on whose
     * behalf it is made is cancelled; its connection is then closed. The exchange may be null.
     */
    [[nodiscard]] boost::asio::awaitable<call_result>
    send(endpoint address, http_request request, duration timeout, exchange_pointer caller);

    /** Whether every connection that the client may hold is in use. */
    [[nodiscard]] bool exhausted() const noexcept;

private:
    using stream_pointer = std::shared_ptr<boost::beast::tcp_stream>;

    stream_pointer takeIdle(const endpoint &address);
    void closeOneIdle();
    boost::asio::awaitable<std::error_code> exchangeMessages(stream_pointer stream, http_request &request, http_response &response);

    boost::asio::io_context &m_context;
    std::size_t m_maxConnections;
    std::size_t m_inUse{0};
    std::size_t m_idleCount{0};
    std::map<endpoint, std::vector<stream_pointer>> m_idle;
};

} // namespace ragwortpin::standins

#endif
