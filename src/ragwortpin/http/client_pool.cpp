#include "ragwortpin/http/client_pool.h"

#include "ragwortpin/http/framing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string_view>

namespace ragwortpin {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/** Shorter than the servers' idle timeout, so that a connection is not reused while its server closes it. */
constexpr duration MaxIdleTime{seconds{5}};
constexpr std::size_t MaxIdleConnectionsPerServer{128};
/** Fraction of the idle timeout advertised by a server for which its connection is reused. */
constexpr double ReusableIdleFraction{0.7};
/** Number of interim responses and responses to earlier requests that are discarded before an exchange fails. */
constexpr unsigned MaxDiscardedResponses{3};
/** Lower status codes are interim responses. */
constexpr unsigned FirstFinalStatus{200};
constexpr unsigned FirstErrorStatus{400};
/** Pause between two attempts to reserve memory for a response. */
constexpr milliseconds MemoryCheckInterval{10};

bool isOpen(tcp::socket &socket)
{
    std::array<char, 1> byte{};
    boost::system::error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

/** Limits how long sent bytes may stay unacknowledged, so that a network partition is reported as an error. */
void setUnacknowledgedTimeout(tcp::socket &socket, duration limit)
{
    const auto value = static_cast<unsigned>(std::chrono::duration_cast<milliseconds>(limit).count());
    // A failure is ignored: without the option, a broken connection is still detected by the deadline.
    static_cast<void>(::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value)));
}

/**
 * Returns whether a response belongs to the request. A late response carries the id of an earlier request. A response without
 * an id is accepted if no id is expected, or if it is an error response on a connection that had no earlier request.
 */
bool isResponseTo(const http_response &response, const exchange_options &options, bool isFirstExchange)
{
    if (options.requestIdField.empty()) {
        return true;
    }
    const auto found = response.find(toBeast(options.requestIdField));
    if (found != response.end()) {
        return toStd(found->value()) == options.expectedId;
    }
    return options.expectedId.empty() || (isFirstExchange && response.result_int() >= FirstErrorStatus);
}

/**
 * Returns the idle timeout in the Keep-Alive field, reduced by a margin for network latency. Returns duration::max() if the
 * server does not advertise one.
 */
duration advertisedIdleTime(const http_response &response)
{
    constexpr std::string_view Parameter{"timeout="};
    const auto field = toStd(response[http::field::keep_alive]);
    const auto position = field.find(Parameter);
    if (position == std::string_view::npos) {
        return duration::max();
    }
    const auto digits = field.substr(position + Parameter.size());
    long timeout{0};
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), timeout);
    return parsed.ec == std::errc{} ? fromSeconds(static_cast<double>(timeout) * ReusableIdleFraction) : duration::max();
}

} // namespace

http_client_pool::http_client_pool(asio::io_context &context, http_limits limits, std::optional<memory_budget> memory)
    : m_context{context}
    , m_limits{limits}
    , m_memory{std::move(memory)}
{ }

asio::awaitable<exchange_result> http_client_pool::exchange(
    endpoint server, http_request request, time_point deadline, std::shared_ptr<call_control> control, exchange_options options)
{
    exchange_result result;
    if (deadline <= monotonicNow() || control->cancelled()) {
        result.error = asio::error::operation_aborted;
        co_return result;
    }
    auto open = takeIdle(server, options.maxIdleTime);
    if (!open) {
        open = std::make_shared<connection>(m_context, m_limits.headerBytes);
        co_await connect(*open, server, deadline, control, options, result.error);
        if (result.error) {
            co_return result;
        }
    }
    if (options.prepare && !options.prepare(request)) {
        co_return result;
    }
    control->onCancel([open] {
        open->stream.close();
    });
    open->stream.expires_after(std::max(duration{1}, deadline - monotonicNow()));
    co_await sendRequest(*open, request, result);
    if (result.progress == exchange_progress::Sent) {
        co_await readResponse(*open, request.method() == http::verb::head, deadline, options, result);
    }
    control->onCancel(nullptr);
    if (result.progress != exchange_progress::Answered || control->cancelled()) {
        if (result.progress == exchange_progress::Answered) {
            result = {.progress = exchange_progress::Sent, .error = asio::error::operation_aborted, .response = std::nullopt};
        }
        co_return result;
    }
    if (open->reusable) {
        returnIdle(server, std::move(open));
    }
    co_return result;
}

asio::awaitable<exchange_result>
http_client_pool::exchange(endpoint server, http_request request, time_point deadline, std::shared_ptr<call_control> control)
{
    exchange_options defaults;
    return exchange(std::move(server), std::move(request), deadline, std::move(control), std::move(defaults));
}

asio::awaitable<void> http_client_pool::connect(connection &open,
                                                const endpoint &server,
                                                time_point deadline,
                                                const std::shared_ptr<call_control> &control,
                                                const exchange_options &options,
                                                boost::system::error_code &error)
{
    const auto address = asio::ip::make_address(server.address, error);
    if (error) {
        co_return;
    }
    control->onCancel([&open] {
        open.stream.close();
    });
    open.stream.expires_after(std::max(duration{1}, std::min(options.connectTimeout, deadline - monotonicNow())));
    const tcp::endpoint remote{address, server.port};
    co_await open.stream.async_connect(remote, asio::redirect_error(asio::use_awaitable, error));
    control->onCancel(nullptr);
    if (!error && control->cancelled()) {
        error = asio::error::operation_aborted;
    }
    if (error) {
        co_return;
    }
    boost::system::error_code ignored;
    open.stream.socket().set_option(tcp::no_delay{true}, ignored);
    setUnacknowledgedTimeout(open.stream.socket(), options.unacknowledgedTimeout);
}

/**
 * Sends a request. If the connection breaks after part of it was sent, the result is still Sent and the response is read, since
 * the server may have responded before it received the whole request.
 */
asio::awaitable<void> http_client_pool::sendRequest(connection &open, const http_request &request, exchange_result &result)
{
    const auto written = co_await http::async_write(open.stream, request, asio::redirect_error(asio::use_awaitable, result.error));
    if (result.error && written == 0) {
        co_return;
    }
    open.requestFullySent = !result.error;
    result.progress = exchange_progress::Sent;
    if (result.error == boost::beast::error::timeout) {
        open.stream.close();
    }
}

/**
 * Reserves memory for a response, waiting for it until the deadline: other responses return theirs as they are written. Returns false if
 * the deadline passed or the exchange was cancelled.
 */
asio::awaitable<bool> http_client_pool::awaitMemory(const connection &open, body_text &body, std::size_t bytes, time_point deadline)
{
    while (!body.reserve(bytes)) {
        if (monotonicNow() >= deadline || !open.stream.socket().is_open()) {
            co_return false;
        }
        asio::steady_timer pause{m_context, MemoryCheckInterval};
        boost::system::error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return true;
}

asio::awaitable<void>
http_client_pool::readResponse(connection &open, bool isHead, time_point deadline, const exchange_options &options, exchange_result &result)
{
    for (unsigned read{0}; read <= MaxDiscardedResponses; ++read) {
        http::response_parser<message_body> parser;
        parser.header_limit(m_limits.headerBytes);
        parser.body_limit(m_limits.responseBodyBytes);
        parser.skip(isHead);
        if (m_memory) {
            parser.get().body() = body_text{m_memory->makeReservation(memory_use::Response)};
        }
        co_await readBounded(open.stream, open.buffer, parser, result.error, [&](std::size_t bytes) {
            return awaitMemory(open, parser.get().body(), bytes, deadline);
        });
        if (result.error) {
            co_return;
        }
        const bool framed{isFramed(parser)};
        // A write that failed has taken the error of the connection, so that the end of the connection is no proof of a whole response.
        if (!framed && !(options.acceptCloseDelimited && open.requestFullySent)) {
            result.error = http::error::partial_message;
            co_return;
        }
        auto response = parser.release();
        if (response.result_int() >= FirstFinalStatus && isResponseTo(response, options, open.isFirstExchange)) {
            open.reusable = framed && open.requestFullySent && response.keep_alive() && open.buffer.size() == 0;
            open.maxIdleTime = std::min(MaxIdleTime, advertisedIdleTime(response));
            result.progress = exchange_progress::Answered;
            result.response = std::move(response);
            co_return;
        }
        if (!framed) {
            break;
        }
    }
    result.error = http::error::bad_value;
}

std::size_t http_client_pool::idleConnectionCount() const noexcept
{
    std::size_t count{0};
    for (const auto &[server, connections] : m_idle) {
        count += connections.size();
    }
    return count;
}

http_client_pool::connection_ptr http_client_pool::takeIdle(const endpoint &server, duration maxIdleTime)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const auto now = monotonicNow();
    auto &connections = found->second;
    while (!connections.empty()) {
        const auto idle = now - connections.back()->idleSince;
        if (idle >= maxIdleTime && idle < connections.back()->maxIdleTime) {
            return nullptr;
        }
        auto candidate = std::move(connections.back());
        connections.pop_back();
        if (idle < candidate->maxIdleTime && isOpen(candidate->stream.socket())) {
            return candidate;
        }
    }
    m_idle.erase(found);
    return nullptr;
}

void http_client_pool::returnIdle(const endpoint &server, connection_ptr open)
{
    auto &connections = m_idle[server];
    if (connections.size() >= MaxIdleConnectionsPerServer) {
        return;
    }
    open->stream.expires_never();
    open->isFirstExchange = false;
    open->idleSince = monotonicNow();
    connections.push_back(std::move(open));
}

void http_client_pool::closeIdleConnections(const endpoint &server)
{
    m_idle.erase(server);
}

void http_client_pool::closeExpired()
{
    const auto now = monotonicNow();
    for (auto &[server, connections] : m_idle) {
        std::erase_if(connections, [now](const connection_ptr &candidate) {
            return now - candidate->idleSince >= candidate->maxIdleTime || !isOpen(candidate->stream.socket());
        });
    }
}

} // namespace ragwortpin
