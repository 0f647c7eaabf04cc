#ifndef RAGWORTPIN_HTTP_SERVER_H
#define RAGWORTPIN_HTTP_SERVER_H

#include "ragwortpin/http/call_control.h"
#include "ragwortpin/http/message.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_set>

namespace ragwortpin {

/** Answers one request. The control is cancelled when the client goes away. Must not throw. */
using http_handler = std::function<boost::asio::awaitable<http_response>(http_request, std::shared_ptr<call_control>)>;

/** Called with the kind of each request that was refused before it reached the handler. */
using refusal_observer = std::function<void(refusal_kind)>;

/**
 * HTTP/1.1 listener with keep-alive and pipelining on one io_context. Each request is read whole within the limits before the
 * handler runs; requests of one connection are handled side by side and answered in their order. What breaks a limit or the
 * grammar is answered with a refusal and the connection is closed.
 */
class http_server
{
public:
    http_server(boost::asio::io_context &context, http_limits limits, http_handler handler, refusal_observer observer);

    /** Binds, listens and starts accepting. Returns the system's error when the address cannot be bound. */
    [[nodiscard]] boost::system::error_code listen(const endpoint &local);

    /** Port in use; differs from the requested one when that was 0. */
    [[nodiscard]] std::uint16_t port() const;

    /** From now on every answer closes its connection, and idle connections are closed when their peer sends nothing. */
    void startDraining();

    /** Stops accepting and closes connections on which no request is being served. */
    void closeIdle();

    /** Number of requests between their arrival and the last byte of their answer. */
    [[nodiscard]] std::size_t requestsInFlight() const noexcept
    {
        return m_requestsInFlight;
    }

    /** Number of open connections. */
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return m_sessions.size();
    }

private:
    class session;

    boost::asio::awaitable<void> acceptConnections();
    void checkStalled();

    boost::asio::io_context &m_context;
    http_limits m_limits;
    http_handler m_handler;
    refusal_observer m_observer;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_stallTimer;
    std::unordered_set<session *> m_sessions;
    std::size_t m_requestsInFlight{0};
    bool m_draining{false};
};

} // namespace ragwortpin

#endif
