#include "ragwortpin/http/server.h"

#include "ragwortpin/http/bounded_read.h"
#include "ragwortpin/http/framing.h"
#include "ragwortpin/http/socket.h"
#include "ragwortpin/runtime/async_signal.h"
#include "ragwortpin/runtime/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <exception>
#include <limits>
#include <optional>

namespace ragwortpin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/** Maximum number of requests of one connection that are served concurrently. Further requests are not read until one is done. */
constexpr std::size_t MaxPipelinedRequests{32};

/** Time to wait for the client to close the connection after the last response. */
constexpr seconds LingerTimeout{1};

/** Interval between checks whether a client has disconnected while no further request of it is read. */
constexpr milliseconds DisconnectCheckInterval{150};

/** Interval between checks for stalled connections. */
constexpr seconds StallCheckInterval{1};

/** Time to wait for a client that still sends a body that was refused, so that it can read the refusal. */
constexpr seconds RefusedBodyLingerTimeout{5};

constexpr std::size_t DiscardBufferSize{16UL * 1024UL};

/** Part of a connection's read buffer that is not counted against the memory budget. */
constexpr std::size_t UncountedBufferBytes{8UL * 1024UL};

/** Pause after which a request that was refused for want of memory may be sent again. */
constexpr seconds MemoryRetryAfter{1};

/** Maximum number of waiting connections that are accepted before the event loop runs other handlers. */
constexpr std::size_t MaxAcceptBatch{64};

/** Delay after a failed accept, for example when the process has run out of file descriptors. */
constexpr milliseconds AcceptRetryInterval{10};

using request_parser = http::request_parser<message_body>;

std::optional<refusal_kind> refusalKindOf(const boost::system::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return refusal_kind::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return refusal_kind::BodyTooLarge;
    }
    if (error == asio::error::no_buffer_space) {
        return refusal_kind::MemoryShort;
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return std::nullopt;
    }
    if (error.category() == make_error_code(http::error::bad_method).category()) {
        return refusal_kind::MalformedRequest;
    }
    return std::nullopt;
}

} // namespace

/** One client connection. Its requests are served concurrently and answered in order of arrival. */
class http_server::session : public std::enable_shared_from_this<session>
{
public:
    session(http_server &server, tcp::socket socket)
        : m_server{server}
        , m_socket{std::move(socket)}
        , m_pendingChanged{server.m_context}
        , m_bufferMemory{server.makeReservation(memory_use::Request)}
    {
        m_server.m_sessions.insert(this);
        extendStallDeadline();
    }

    session(const session &) = delete;
    session &operator=(const session &) = delete;

    ~session()
    {
        m_server.m_sessions.erase(this);
    }

    asio::awaitable<void> run()
    {
        bool open{true};
        while (open) {
            open = co_await readAndServe();
        }
        co_await waitForResponses();
        co_await closeGracefully();
    }

    /** Closes the connection if no request is being read or served and no received bytes are unread. */
    void closeIfIdle()
    {
        if (m_pending.empty() && !hasUnreadInput()) {
            close();
        }
    }

    /** Returns whether bytes were received that no request was read from yet. They count until the connection is being closed. */
    [[nodiscard]] bool hasUnreadInput() const
    {
        boost::system::error_code ignored;
        return !m_closing && !m_disconnected && (m_isReadingBody || m_buffer.size() > 0 || m_socket.available(ignored) > 0);
    }

    /** Closes the connection if the client exceeded the timeout for sending a request or accepting a response. */
    void closeIfStalled(time_point now)
    {
        const bool isWaitingForHandler{!m_pending.empty() && !m_writing};
        if (!isWaitingForHandler && now >= m_stallDeadline) {
            close();
        }
    }

    /** Ends the connection if it has transferred a body too slowly. To be called every second while memory is short. */
    void evictIfSlow(time_point now)
    {
        if (!m_writing && !m_isReadingBody) {
            return;
        }
        auto &progress = m_writing ? m_sent : m_received;
        if (isTooSlow(progress, now)) {
            evict();
        } else if (now - progress.since >= TransferRatePeriod) {
            progress = {now, 0};
        }
    }

private:
    /** A request that was read and whose response is not yet written. */
    struct pending_request
    {
        std::shared_ptr<call_control> control{std::make_shared<call_control>()};
        unsigned version{11};
        bool keepAlive{true};
        bool isHead{false};
        std::optional<http_response> response;
    };

    void extendStallDeadline()
    {
        m_stallDeadline = monotonicNow() + m_server.m_limits.idleTimeout;
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    /** Ends the transfer. A sender gets a refusal, since its request has not run; a receiver loses the rest of its response. */
    void evict()
    {
        ++m_server.m_evictions;
        if (m_writing) {
            close();
            return;
        }
        boost::system::error_code ignored;
        m_isEvicted = true;
        m_socket.cancel(ignored);
    }

    /** Reserves memory for the next read of a body. Returns false if the budget does not allow it. */
    [[nodiscard]] bool reserve(request_parser &parser)
    {
        return parser.is_done() || parser.get().body().reserve(internal::memoryForNextRead(parser, m_buffer));
    }

    /** Reserves memory for the read buffer as it has grown. Returns false if the budget does not allow it. */
    [[nodiscard]] bool reserveBuffer()
    {
        const auto capacity = m_buffer.capacity();
        return m_bufferMemory.resize(capacity > UncountedBufferBytes ? capacity - UncountedBufferBytes : 0);
    }

    /** Returns the memory of a read buffer that a long header section or chunk line has left. */
    void shrinkBuffer()
    {
        if (m_buffer.capacity() > UncountedBufferBytes) {
            m_buffer.shrink_to_fit();
            static_cast<void>(reserveBuffer());
        }
    }

    asio::awaitable<bool> readAndServe()
    {
        request_parser parser;
        parser.get().body() = body_text{m_server.makeReservation(memory_use::Request)};
        parser.header_limit(m_server.m_limits.headerBytes);
        parser.body_limit(m_server.m_limits.requestBodyBytes);
        boost::system::error_code error;
        co_await readRequest(parser, error);
        if (m_closing) {
            co_return false;
        }
        if (error) {
            handleReadError(error);
            co_return false;
        }
        if (isClosedByPeer(m_socket)) {
            m_server.m_abandonObserver(parser.get());
            cancelPending();
            co_return false;
        }
        auto item = std::make_shared<pending_request>();
        item->version = parser.get().version();
        item->keepAlive = parser.get().keep_alive();
        item->isHead = parser.get().method() == http::verb::head;
        m_pending.push_back(item);
        ++m_server.m_requestsInFlight;
        asio::co_spawn(m_server.m_context, serve(shared_from_this(), item, parser.release()), asio::detached);
        if (m_pending.size() >= MaxPipelinedRequests && !std::exchange(m_isPipelineWatched, true)) {
            asio::co_spawn(m_server.m_context, watchFullPipeline(shared_from_this()), asio::detached);
        }
        while (m_pending.size() >= MaxPipelinedRequests && m_socket.is_open()) {
            co_await m_pendingChanged.wait();
        }
        co_return item->keepAlive &&m_socket.is_open() && !m_closing && !m_disconnected;
    }

    asio::awaitable<void> readRequest(request_parser &parser, boost::system::error_code &error)
    {
        extendStallDeadline();
        co_await readHeader(parser, error);
        if (error) {
            co_return;
        }
        extendStallDeadline();
        m_isReadingBody = true;
        m_received = {monotonicNow(), 0};
        if (!reserve(parser)) {
            error = asio::error::no_buffer_space;
        }
        if (!error && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            co_await sendContinue(parser.get().version(), error);
        }
        if (!error) {
            std::size_t received{0};
            co_await readBounded(m_socket, m_buffer, parser, error, [&](std::size_t) -> asio::awaitable<bool> {
                m_received.bytes += parser.get().body().size() - std::exchange(received, parser.get().body().size());
                co_return reserve(parser);
            });
        }
        if (std::exchange(m_isEvicted, false)) {
            error = asio::error::no_buffer_space;
        }
        m_isReadingBody = false;
        shrinkBuffer();
    }

    /** Reads a header section. Unlike async_read_header(), counts the buffer against the memory budget after each read from the socket. */
    asio::awaitable<void> readHeader(request_parser &parser, boost::system::error_code &error)
    {
        while (!error && !parser.is_header_done()) {
            if (m_buffer.size() > 0) {
                m_buffer.consume(parser.put(m_buffer.data(), error));
                if (error != http::error::need_more) {
                    continue;
                }
                error = {};
            }
            co_await fillBuffer(parser, error);
        }
        if (!error) {
            error = checkFraming(parser.get());
        }
    }

    asio::awaitable<void> fillBuffer(request_parser &parser, boost::system::error_code &error)
    {
        const auto space = boost::beast::read_size(m_buffer, m_buffer.max_size());
        if (space == 0) {
            error = http::error::buffer_overflow;
            co_return;
        }
        const auto part = m_buffer.prepare(space);
        if (!reserveBuffer()) {
            error = asio::error::no_buffer_space;
            co_return;
        }
        m_buffer.commit(co_await m_socket.async_read_some(part, asio::redirect_error(asio::use_awaitable, error)));
        if (error == asio::error::eof) {
            error = parser.got_some() || m_buffer.size() > 0 ? http::error::partial_message : http::error::end_of_stream;
        }
    }

    /** Writes 100 Continue once all earlier requests are answered. */
    asio::awaitable<void> sendContinue(unsigned version, boost::system::error_code &error)
    {
        while (!m_pending.empty() && m_socket.is_open()) {
            co_await m_pendingChanged.wait();
        }
        http::response<http::empty_body> proceed{http::status::continue_, version};
        co_await http::async_write(m_socket, proceed, asio::redirect_error(asio::use_awaitable, error));
    }

    /** Queues a refusal behind the pending responses if the request is malformed or above a limit. Otherwise the client disconnected. */
    void handleReadError(boost::system::error_code error)
    {
        const auto kind = refusalKindOf(error);
        if (!kind) {
            cancelPending();
            return;
        }
        m_server.m_observer(*kind);
        auto item = std::make_shared<pending_request>();
        item->keepAlive = false;
        const bool isMemoryShort{*kind == refusal_kind::MemoryShort};
        m_isBodyRefused = isMemoryShort || *kind == refusal_kind::BodyTooLarge;
        item->response = makeRefusalResponse(*kind, outcome::NotRun, isMemoryShort ? duration{MemoryRetryAfter} : duration::zero());
        m_pending.push_back(item);
        ++m_server.m_requestsInFlight;
        startWriting();
    }

    void cancelPending()
    {
        m_disconnected = true;
        const auto pending = m_pending;
        for (const auto &item : pending) {
            item->control->cancel();
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<session> self, std::shared_ptr<pending_request> item, http_request request)
    {
        try {
            item->response = co_await self->m_server.m_handler(std::move(request), item->control);
        } catch (const std::exception &error) {
            logEvent(log_level::Error, "request_handler_failed", {{"error", error.what()}});
            item->response = makeRefusalResponse(refusal_kind::InternalError, outcome::Unknown);
            self->m_server.m_observer(refusal_kind::InternalError);
        }
        self->startWriting();
    }

    void startWriting()
    {
        if (!std::exchange(m_writing, true)) {
            asio::co_spawn(m_server.m_context, writeResponses(shared_from_this()), asio::detached);
        }
    }

    static asio::awaitable<void> writeResponses(std::shared_ptr<session> self)
    {
        while (!self->m_pending.empty() && self->m_pending.front()->response) {
            const auto item = self->m_pending.front();
            co_await self->writeResponse(*item);
            self->m_pending.pop_front();
            --self->m_server.m_requestsInFlight;
        }
        self->m_writing = false;
        self->m_pendingChanged.notifyAll();
    }

    asio::awaitable<void> writeResponse(pending_request &item)
    {
        if (m_disconnected || m_closing || !m_socket.is_open()) {
            co_return;
        }
        auto &response = *item.response;
        response.version(item.version);
        const bool isLastPending{m_pending.size() == 1};
        response.keep_alive(item.keepAlive && !(m_server.m_draining && isLastPending));
        m_closing = !response.keep_alive();
        extendStallDeadline();
        m_sent = {monotonicNow(), 0};
        boost::system::error_code error;
        if (item.isHead) {
            http::response<http::empty_body> headOnly{std::move(response.base())};
            co_await http::async_write(m_socket, headOnly, asio::redirect_error(asio::use_awaitable, error));
        } else {
            co_await write(response, error);
        }
        extendStallDeadline();
        if (error) {
            close();
        } else if (m_closing) {
            m_socket.cancel(error);
        }
    }

    asio::awaitable<void> write(http_response &response, boost::system::error_code &error)
    {
        http::response_serializer<message_body> serializer{response};
        while (!error && !serializer.is_done()) {
            m_sent.bytes += co_await http::async_write_some(m_socket, serializer, asio::redirect_error(asio::use_awaitable, error));
        }
    }

    /** Waits for the pending responses. Bytes received meanwhile follow the last request of the connection and are discarded. */
    asio::awaitable<void> waitForResponses()
    {
        if (!m_disconnected && !m_pending.empty()) {
            asio::co_spawn(m_server.m_context, watchForDisconnect(shared_from_this()), asio::detached);
        }
        while (!m_pending.empty()) {
            co_await m_pendingChanged.wait();
        }
    }

    /** Notices that the client disconnects while no further request is read, since unread bytes hide the end of the connection. */
    static asio::awaitable<void> watchFullPipeline(std::shared_ptr<session> self)
    {
        asio::steady_timer timer{self->m_server.m_context};
        while (self->m_pending.size() >= MaxPipelinedRequests && self->m_socket.is_open()) {
            if (isClosedByPeer(self->m_socket)) {
                self->cancelPending();
                break;
            }
            boost::system::error_code ignored;
            timer.expires_after(DisconnectCheckInterval);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        self->m_isPipelineWatched = false;
    }

    static asio::awaitable<void> watchForDisconnect(std::shared_ptr<session> self)
    {
        boost::system::error_code error;
        std::array<char, DiscardBufferSize> discarded{};
        while (!error && !self->m_pending.empty()) {
            co_await self->m_socket.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
        }
        if (error && !self->m_pending.empty()) {
            self->cancelPending();
        }
    }

    /**
     * Shuts down the sending side and discards input until the client closes or the linger timeout has passed. Closing with unread input
     * would reset the connection before the client has read the last response.
     */
    asio::awaitable<void> closeGracefully()
    {
        boost::system::error_code error;
        m_socket.shutdown(tcp::socket::shutdown_send, error);
        m_stallDeadline = monotonicNow() + (m_isBodyRefused ? RefusedBodyLingerTimeout : LingerTimeout);
        std::array<char, DiscardBufferSize> discarded{};
        while (!error && !m_disconnected) {
            co_await m_socket.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
        }
        close();
    }

    http_server &m_server;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer{makeReadBuffer(m_server.m_limits.headerBytes)};
    async_signal m_pendingChanged;
    /** Memory of the read buffer beyond UncountedBufferBytes. */
    memory_reservation m_bufferMemory;
    /** Progress of the body that is being read, and of the response that is being written. */
    transfer_progress m_received;
    transfer_progress m_sent;
    /** Unanswered requests in order of arrival. */
    std::deque<std::shared_ptr<pending_request>> m_pending;
    time_point m_stallDeadline{};
    bool m_writing{false};
    /** Whether the header of the next request was read and its body was not yet. */
    bool m_isReadingBody{false};
    /** Whether watchFullPipeline() runs. */
    bool m_isPipelineWatched{false};
    /** Whether the body that is being read was given up because it came too slowly. */
    bool m_isEvicted{false};
    /** Whether a request was refused before its body was read. */
    bool m_isBodyRefused{false};
    /** Whether a response with "Connection: close" is being or was written. */
    bool m_closing{false};
    /** Whether the client disconnected. */
    bool m_disconnected{false};
};

http_server::http_server(asio::io_context &context,
                         http_limits limits,
                         http_handler handler,
                         refusal_observer observer,
                         abandon_observer abandonObserver,
                         std::optional<memory_budget> memory)
    : m_context{context}
    , m_limits{limits}
    , m_handler{std::move(handler)}
    , m_observer{std::move(observer)}
    , m_abandonObserver{std::move(abandonObserver)}
    , m_memory{std::move(memory)}
    , m_acceptor{context}
    , m_stallTimer{context}
{ }

boost::system::error_code http_server::listen(const endpoint &local)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(local.address, error);
    if (error) {
        return error;
    }
    const tcp::endpoint bound{address, local.port};
    m_acceptor.open(bound.protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address{true}, error);
    }
    if (!error) {
        m_acceptor.bind(bound, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
        m_acceptor.non_blocking(true, error);
    }
    if (!error) {
        asio::co_spawn(m_context, acceptConnections(), asio::detached);
        checkStalled();
    }
    return error;
}

std::uint16_t http_server::port() const
{
    return m_acceptor.local_endpoint().port();
}

void http_server::startDraining()
{
    m_draining = true;
}

void http_server::closeIdleConnections()
{
    // Closing the listening socket would reset the connections that still wait in its queue.
    if (m_acceptor.is_open()) {
        acceptWaiting(std::numeric_limits<std::size_t>::max());
    }
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const auto sessions = m_sessions;
    for (auto *open : sessions) {
        open->closeIfIdle();
    }
}

memory_reservation http_server::makeReservation(memory_use use) const
{
    return m_memory ? m_memory->makeReservation(use) : memory_reservation{};
}

std::size_t http_server::unreadConnections() const
{
    return static_cast<std::size_t>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const session *open) {
        return open->hasUnreadInput();
    }));
}

void http_server::checkStalled()
{
    m_stallTimer.expires_after(StallCheckInterval);
    m_stallTimer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        const auto now = monotonicNow();
        const auto sessions = m_sessions;
        const bool isMemoryShort{m_memory && m_memory->isShort(now)};
        for (auto *open : sessions) {
            open->closeIfStalled(now);
            if (isMemoryShort) {
                open->evictIfSlow(now);
            }
        }
        checkStalled();
    });
}

asio::awaitable<void> http_server::acceptConnections()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            asio::steady_timer pause{m_context, AcceptRetryInterval};
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        startSession(std::move(socket));
        acceptWaiting(MaxAcceptBatch - 1);
    }
}

/**
 * Accepts the connections that are already waiting, up to a limit, without blocking. With one connection for each pass of the event loop,
 * connections would wait longer than their clients do while many handlers are ready.
 */
void http_server::acceptWaiting(std::size_t limit)
{
    for (std::size_t accepted{0}; accepted < limit; ++accepted) {
        boost::system::error_code error;
        auto socket = m_acceptor.accept(error);
        if (error) {
            return;
        }
        startSession(std::move(socket));
    }
}

/** Serves a connection, or closes it if the maximum number of connections is open. */
void http_server::startSession(tcp::socket socket)
{
    if (m_sessions.size() >= m_limits.connections) {
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay{true}, ignored);
    auto opened = std::make_shared<session>(*this, std::move(socket));
    asio::co_spawn(
        m_context,
        [opened]() -> asio::awaitable<void> {
            co_await opened->run();
        },
        asio::detached);
}

} // namespace ragwortpin
