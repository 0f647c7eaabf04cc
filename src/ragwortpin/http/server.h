#ifndef RAGWORTPIN_HTTP_SERVER_H
#define RAGWORTPIN_HTTP_SERVER_H

#include "ragwortpin/http/call_control.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/memory/budget.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace ragwortpin {

/**
 * Handles one request and returns its response. The control is cancelled when the client disconnects. An exception is logged and answered
 * with a refusal of unknown outcome.
 */
using http_handler = std::function<boost::asio::awaitable<http_response>(http_request, std::shared_ptr<call_control>)>;

/** Called with the refusal kind of each request that is refused before it reaches the handler. */
using refusal_observer = std::function<void(refusal_kind)>;

/** Called with each request that is not handled because its client disconnected before the request was read. */
using abandon_observer = std::function<void(const http_request &)>;

/**
 * HTTP/1.1 listener with keep-alive and pipelining, running on one io_context. Each request is read completely, within the limits,
 * before its handler runs. Requests of one connection are handled concurrently and answered in order of arrival. A malformed
 * request or one above a limit is answered with a refusal, and its connection is closed. A request whose client has already
 * disconnected is discarded.
 *
 * With a memory budget, header sections and bodies are read only as far as it allows; a request beyond it is refused as MemoryShort. While
 * memory is short, connections that transfer a body too slowly are ended, so that they do not hold it for ever.
 */
class http_server
{
public:
    http_server(
        boost::asio::io_context &context,
        http_limits limits,
        http_handler handler,
        refusal_observer observer,
        abandon_observer abandonObserver = [](const http_request &) {},
        std::optional<memory_budget> memory = std::nullopt);

    /** Binds, listens and starts accepting connections. Returns an error if the address is invalid or cannot be bound. */
    [[nodiscard]] boost::system::error_code listen(const endpoint &local);

    /** Returns the local port, which the system chooses if the requested port is 0. */
    [[nodiscard]] std::uint16_t port() const;

    /** Closes each connection after its last pending response. Idle connections stay open until closeIdleConnections() or the idle timeout.
     */
    void startDraining();

    /**
     * Stops accepting and closes the connections on which no request is being read or served. Connections that were established but not
     * accepted yet, and those with unread bytes, stay open and are served.
     */
    void closeIdleConnections();

    /** Returns the number of received requests whose response has not been written completely. */
    [[nodiscard]] std::size_t requestsInFlight() const noexcept
    {
        return m_requestsInFlight;
    }

    /** Returns the number of open connections. */
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return m_sessions.size();
    }

    /** Returns the number of connections that were ended because their transfer was too slow while memory was short. */
    [[nodiscard]] std::uint64_t evictions() const noexcept
    {
        return m_evictions;
    }

    /** Returns the number of open connections on which a request was received in part, or completely and not read yet. */
    [[nodiscard]] std::size_t unreadConnections() const;

private:
    class session;

    boost::asio::awaitable<void> acceptConnections();
    void acceptWaiting(std::size_t limit);
    void startSession(boost::asio::ip::tcp::socket socket);
    void checkStalled();
    [[nodiscard]] memory_reservation makeReservation(memory_use use) const;

    boost::asio::io_context &m_context;
    http_limits m_limits;
    http_handler m_handler;
    refusal_observer m_observer;
    abandon_observer m_abandonObserver;
    std::optional<memory_budget> m_memory;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_stallTimer;
    std::unordered_set<session *> m_sessions;
    std::size_t m_requestsInFlight{0};
    std::uint64_t m_evictions{0};
    bool m_draining{false};
};

} // namespace ragwortpin

#endif
