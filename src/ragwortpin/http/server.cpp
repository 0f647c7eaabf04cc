#include "ragwortpin/http/server.h"

#include "ragwortpin/runtime/async_signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <deque>
#include <optional>

namespace ragwortpin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/** Requests of one connection that are served side by side; more wait unread. */
constexpr std::size_t MostPipelined{32};

/** Longest wait for the client's own close after the last answer. */
constexpr seconds LingerTime{1};

/** Time between two checks for stalled connections. */
constexpr seconds StallCheckInterval{1};

constexpr std::size_t DiscardBytes{512};

/** Pause after a failed accept, for example while file descriptors are short. */
constexpr milliseconds AcceptRetryInterval{10};

using request_parser = http::request_parser<http::string_body>;

std::optional<refusal_kind> refusalFor(const boost::system::error_code &error)
{
    if (error == http::error::header_limit) {
        return refusal_kind::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return refusal_kind::BodyTooLarge;
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

/** One connection of a client. Requests are served side by side and answered in the order in which they came. */
class http_server::session : public std::enable_shared_from_this<session>
{
public:
    session(http_server &server, tcp::socket socket)
        : m_server{server}
        , m_socket{std::move(socket)}
        , m_changed{server.m_context}
    {
        m_server.m_sessions.insert(this);
        touch();
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
            open = co_await readOne();
        }
        co_await watchUntilAnswered();
        co_await closeGracefully();
    }

    /** Closes the connection if no request is being read or served. */
    void closeIfIdle()
    {
        if (m_pending.empty() && m_buffer.size() == 0) {
            close();
        }
    }

    /** Closes the connection if its client neither sent nor took a byte in time while the server waited for it. */
    void closeIfStalled(time_point now)
    {
        const bool waitsForHandler{!m_pending.empty() && !m_writing};
        if (!waitsForHandler && now >= m_stallDeadline) {
            close();
        }
    }

private:
    /** A request that was read and not yet answered. */
    struct exchange
    {
        std::shared_ptr<call_control> control{std::make_shared<call_control>()};
        unsigned version{11};
        bool keepAlive{true};
        bool head{false};
        std::optional<http_response> response;
    };

    void touch()
    {
        m_stallDeadline = monotonicNow() + m_server.m_limits.idleTimeout;
    }

    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    asio::awaitable<bool> readOne()
    {
        request_parser parser;
        parser.header_limit(m_server.m_limits.headerBytes);
        parser.body_limit(m_server.m_limits.requestBodyBytes);
        boost::system::error_code error;
        co_await readRequest(parser, error);
        if (m_closing) {
            co_return false;
        }
        if (error) {
            answerReadError(error);
            co_return false;
        }
        auto item = std::make_shared<exchange>();
        item->version = parser.get().version();
        item->keepAlive = parser.get().keep_alive();
        item->head = parser.get().method() == http::verb::head;
        m_pending.push_back(item);
        ++m_server.m_requestsInFlight;
        asio::co_spawn(m_server.m_context, serve(shared_from_this(), item, parser.release()), asio::detached);
        while (m_pending.size() >= MostPipelined && m_socket.is_open()) {
            co_await m_changed.wait();
        }
        co_return item->keepAlive &&m_socket.is_open() && !m_closing;
    }

    asio::awaitable<void> readRequest(request_parser &parser, boost::system::error_code &error)
    {
        touch();
        co_await http::async_read_header(m_socket, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        touch();
        if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            co_await sendContinue(parser.get().version(), error);
        }
        if (!error) {
            co_await http::async_read(m_socket, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        }
    }

    /** Answers to earlier requests go first. */
    asio::awaitable<void> sendContinue(unsigned version, boost::system::error_code &error)
    {
        while (!m_pending.empty() && m_socket.is_open()) {
            co_await m_changed.wait();
        }
        http::response<http::empty_body> proceed{http::status::continue_, version};
        co_await http::async_write(m_socket, proceed, asio::redirect_error(asio::use_awaitable, error));
    }

    /** Refuses what broke a limit or the grammar, after the answers that are due before; any other end is that of the client. */
    void answerReadError(boost::system::error_code error)
    {
        const auto kind = refusalFor(error);
        if (!kind) {
            abandonAll();
            return;
        }
        m_server.m_observer(*kind);
        auto item = std::make_shared<exchange>();
        item->keepAlive = false;
        item->response = makeRefusal(*kind, outcome::NotRun);
        m_pending.push_back(item);
        ++m_server.m_requestsInFlight;
        startWriting();
    }

    void abandonAll()
    {
        m_gone = true;
        const auto pending = m_pending;
        for (const auto &item : pending) {
            item->control->cancel();
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<session> self, std::shared_ptr<exchange> item, http_request request)
    {
        item->response = co_await self->m_server.m_handler(std::move(request), item->control);
        self->startWriting();
    }

    void startWriting()
    {
        if (!std::exchange(m_writing, true)) {
            asio::co_spawn(m_server.m_context, writeAnswers(shared_from_this()), asio::detached);
        }
    }

    static asio::awaitable<void> writeAnswers(std::shared_ptr<session> self)
    {
        while (!self->m_pending.empty() && self->m_pending.front()->response) {
            const auto item = self->m_pending.front();
            co_await self->writeAnswer(*item);
            self->m_pending.pop_front();
            --self->m_server.m_requestsInFlight;
        }
        self->m_writing = false;
        self->m_changed.notifyAll();
    }

    asio::awaitable<void> writeAnswer(exchange &item)
    {
        if (m_gone || m_closing || !m_socket.is_open()) {
            co_return;
        }
        auto &response = *item.response;
        response.version(item.version);
        const bool isLast{m_pending.size() == 1};
        response.keep_alive(item.keepAlive && !(m_server.m_draining && isLast));
        m_closing = !response.keep_alive();
        touch();
        boost::system::error_code error;
        if (item.head) {
            http::response<http::empty_body> headOnly{std::move(response.base())};
            co_await http::async_write(m_socket, headOnly, asio::redirect_error(asio::use_awaitable, error));
        } else {
            co_await http::async_write(m_socket, response, asio::redirect_error(asio::use_awaitable, error));
        }
        touch();
        if (error) {
            close();
        } else if (m_closing) {
            m_socket.cancel(error);
        }
    }

    /** Waits for the answers under way. What the client sends meanwhile was sent behind the last request and is not read as one. */
    asio::awaitable<void> watchUntilAnswered()
    {
        if (!m_gone && !m_pending.empty()) {
            asio::co_spawn(m_server.m_context, watchForDisconnect(shared_from_this()), asio::detached);
        }
        while (!m_pending.empty()) {
            co_await m_changed.wait();
        }
    }

    static asio::awaitable<void> watchForDisconnect(std::shared_ptr<session> self)
    {
        boost::system::error_code error;
        std::array<char, DiscardBytes> discarded{};
        while (!error && !self->m_pending.empty()) {
            co_await self->m_socket.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
        }
        if (error && !self->m_pending.empty()) {
            self->abandonAll();
        }
    }

    /** Lets the client read the last answer: closing with unread bytes would reset the connection under it. */
    asio::awaitable<void> closeGracefully()
    {
        boost::system::error_code error;
        m_socket.shutdown(tcp::socket::shutdown_send, error);
        m_stallDeadline = monotonicNow() + LingerTime;
        std::array<char, DiscardBytes> discarded{};
        while (!error && !m_gone) {
            co_await m_socket.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, error));
        }
        close();
    }

    http_server &m_server;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    async_signal m_changed;
    /** In the order of arrival. */
    std::deque<std::shared_ptr<exchange>> m_pending;
    time_point m_stallDeadline{};
    bool m_writing{false};
    /** Whether an answer was written that ends the connection. */
    bool m_closing{false};
    /** Whether the client closed the connection. */
    bool m_gone{false};
};

http_server::http_server(asio::io_context &context, http_limits limits, http_handler handler, refusal_observer observer)
    : m_context{context}
    , m_limits{limits}
    , m_handler{std::move(handler)}
    , m_observer{std::move(observer)}
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

void http_server::closeIdle()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const auto sessions = m_sessions;
    for (auto *open : sessions) {
        open->closeIfIdle();
    }
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
        for (auto *open : sessions) {
            open->closeIfStalled(now);
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
        if (m_sessions.size() >= m_limits.connections) {
            continue;
        }
        socket.set_option(tcp::no_delay{true}, error);
        auto opened = std::make_shared<session>(*this, std::move(socket));
        asio::co_spawn(
            m_context,
            [opened]() -> asio::awaitable<void> {
                co_await opened->run();
            },
            asio::detached);
    }
}

} // namespace ragwortpin
