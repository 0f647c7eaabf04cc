#include "ragwortpin/http/server.h"

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
#include <optional>

namespace ragwortpin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

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

bool peerClosed(tcp::socket &socket)
{
    std::array<char, 1> byte{};
    boost::system::error_code error;
    socket.non_blocking(true, error);
    const auto received = socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    if (error == asio::error::would_block) {
        return false;
    }
    return error || received == 0;
}

} // namespace

/** One connection of a client. Owned by its coroutine. */
class http_server::session : public std::enable_shared_from_this<session>
{
public:
    session(http_server &server, tcp::socket socket)
        : m_server{server}
        , m_stream{std::move(socket)}
    {
        m_server.m_sessions.insert(this);
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
            open = co_await serveOne();
        }
        boost::system::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    void closeIfIdle()
    {
        if (!m_serving && m_buffer.size() == 0) {
            m_stream.cancel();
        }
    }

private:
    asio::awaitable<bool> serveOne()
    {
        request_parser parser;
        parser.header_limit(m_server.m_limits.headerBytes);
        parser.body_limit(m_server.m_limits.requestBodyBytes);
        boost::system::error_code error;
        co_await readRequest(parser, error);
        if (error) {
            co_await answerReadError(error);
            co_return false;
        }
        m_serving = true;
        ++m_server.m_requestsInFlight;
        const bool reusable = co_await answer(parser.release());
        --m_server.m_requestsInFlight;
        m_serving = false;
        co_return reusable;
    }

    asio::awaitable<void> readRequest(request_parser &parser, boost::system::error_code &error)
    {
        m_stream.expires_after(m_server.m_limits.idleTimeout);
        co_await http::async_read_header(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            http::response<http::empty_body> proceed{http::status::continue_, parser.get().version()};
            co_await http::async_write(m_stream, proceed, asio::redirect_error(asio::use_awaitable, error));
        }
        if (!error) {
            co_await http::async_read(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        }
    }

    asio::awaitable<void> answerReadError(boost::system::error_code error)
    {
        const auto kind = refusalFor(error);
        if (!kind) {
            co_return;
        }
        m_server.m_observer(*kind);
        auto response = makeRefusal(*kind, outcome::NotRun);
        response.keep_alive(false);
        boost::system::error_code ignored;
        co_await http::async_write(m_stream, response, asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<bool> answer(http_request request)
    {
        const bool keepAlive = request.keep_alive();
        const auto version = request.version();
        const bool head = request.method() == http::verb::head;
        auto control = std::make_shared<call_control>();
        watchForDisconnect(control);
        auto response = co_await m_server.m_handler(std::move(request), control);
        m_watched.reset();
        boost::system::error_code error;
        m_stream.socket().cancel(error);
        if (control->cancelled()) {
            co_return false;
        }
        response.version(version);
        response.keep_alive(keepAlive && !m_server.m_draining);
        const bool reusable = response.keep_alive();
        m_stream.expires_after(m_server.m_limits.idleTimeout);
        if (head) {
            http::response<http::empty_body> headOnly{std::move(response.base())};
            co_await http::async_write(m_stream, headOnly, asio::redirect_error(asio::use_awaitable, error));
        } else {
            co_await http::async_write(m_stream, response, asio::redirect_error(asio::use_awaitable, error));
        }
        co_return reusable && !error;
    }

    void watchForDisconnect(const std::shared_ptr<call_control> &control)
    {
        m_stream.expires_never();
        m_watched = control;
        if (m_buffer.size() > 0) {
            return;
        }
        m_stream.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this(), control](boost::system::error_code error) {
            if (!error && self->m_watched == control && peerClosed(self->m_stream.socket())) {
                control->cancel();
            }
        });
    }

    http_server &m_server;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<call_control> m_watched;
    bool m_serving{false};
};

http_server::http_server(asio::io_context &context, http_limits limits, http_handler handler, refusal_observer observer)
    : m_context{context}
    , m_limits{limits}
    , m_handler{std::move(handler)}
    , m_observer{std::move(observer)}
    , m_acceptor{context}
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
