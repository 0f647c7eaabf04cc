#include "ragwortpin/store/client.h"

#include "ragwortpin/http/address.h"
#include "ragwortpin/http/client_pool.h"
#include "ragwortpin/store/error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>

#include <atomic>
#include <charconv>
#include <cstddef>
#include <exception>
#include <utility>

namespace ragwortpin {

namespace internal {

/** Maximum response size: a range with several values of 1 MB each, encoded in base64. */
constexpr std::uint64_t MaxResponseBytes{16UL * 1024 * 1024};

http_request makeHttpRequest(const endpoint &server, const store_message &call)
{
    constexpr unsigned Http11{11};
    http_request request{call.method, call.target, Http11};
    request.set(http::field::host, toText(server));
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

http_limits responseLimits()
{
    http_limits limits;
    limits.responseBodyBytes = MaxResponseBytes;
    return limits;
}

/** Maps the error of an exchange whose request was sent, at least in part, to a store error. */
store_errc toStoreError(const boost::system::error_code &error)
{
    const bool timedOut
        = error == boost::beast::error::timeout || error == boost::asio::error::operation_aborted || error == boost::asio::error::timed_out;
    return timedOut ? store_errc::TimedOut : store_errc::AnswerLost;
}

} // namespace internal

/** Connection pool with a private event loop that runs only during a call. */
class store_client::connection
{
public:
    explicit connection(store_settings settings)
        : m_settings{std::move(settings)}
        , m_pool{m_context, internal::responseLimits()}
    { }

    store_reply call(const store_request &request)
    {
        const auto encoded = m_settings.protocol.encode(request);
        const bool isRead = !std::holds_alternative<store_transaction>(request);
        const auto *watch = std::get_if<store_watch>(&request);
        const auto deadline = monotonicNow() + m_settings.timeout + (watch != nullptr ? duration{watch->wait} : duration{0});
        store_reply reply;
        reply.error = store_errc::Unreachable;
        const auto count = m_settings.endpoints.size();
        const auto firstIndex = m_preferred;
        for (std::size_t attempt{0}; attempt < count; ++attempt) {
            const auto index = (firstIndex + attempt) % count;
            const auto attemptDeadline = isRead ? nextAttemptDeadline(deadline, count - attempt) : deadline;
            const auto result = exchange(m_settings.endpoints[index], encoded, attemptDeadline);
            m_preferred = result.progress == exchange_progress::Answered ? index : (index + 1) % count;
            if (m_isInterrupted.load()) {
                reply.error = store_errc::Unreachable;
                return reply;
            }
            if (result.progress == exchange_progress::NotSent) {
                continue;
            }
            if (result.progress == exchange_progress::Answered) {
                reply = m_settings.protocol.decode(request, result.response->result_int(), result.response->body().text());
                reply.era = readEra(*result.response);
            } else {
                reply.error = internal::toStoreError(result.error);
            }
            if (!reply.error || !isRead) {
                return reply;
            }
        }
        return reply;
    }

    void interrupt()
    {
        m_isInterrupted.store(true);
        m_context.stop();
    }

private:
    /** Returns the deadline of the next attempt, so that all remaining attempts get an equal share of the time left. */
    static time_point nextAttemptDeadline(time_point deadline, std::size_t attempts)
    {
        const auto now = monotonicNow();
        return now + (deadline - now) / static_cast<duration::rep>(attempts);
    }

    /** Returns the era that the response reports; 0 if it reports none. */
    [[nodiscard]] std::uint64_t readEra(const http_response &response) const
    {
        std::uint64_t era{0};
        if (const auto &name = m_settings.protocol.eraHeader; !name.empty()) {
            const auto text = toStd(response[name]);
            std::from_chars(text.data(), text.data() + text.size(), era);
        }
        return era;
    }

    exchange_result exchange(const endpoint &server, const store_message &call, time_point deadline)
    {
        exchange_result result;
        const auto run = [&]() -> boost::asio::awaitable<void> {
            auto control = std::make_shared<call_control>();
            result = co_await m_pool.exchange(server, internal::makeHttpRequest(server, call), deadline, std::move(control));
        };
        m_context.restart();
        // The flag is set before the context is stopped, so that an interruption before restart() is noticed here.
        if (m_isInterrupted.load()) {
            return result;
        }
        boost::asio::co_spawn(m_context, run, [&result](const std::exception_ptr &failure) {
            if (failure) {
                result.progress = exchange_progress::Sent;
                result.error = boost::asio::error::connection_aborted;
            }
        });
        m_context.run();
        return result;
    }

    store_settings m_settings;
    std::atomic<bool> m_isInterrupted{false};
    boost::asio::io_context m_context;
    http_client_pool m_pool;
    /** Index of the endpoint to try first: the one that responded last, or the one after an endpoint that failed. */
    std::size_t m_preferred{0};
};

store_client::store_client(store_settings settings)
    : m_connection{std::make_unique<connection>(std::move(settings))}
{ }

store_client::~store_client() = default;

store_reply store_client::call(const store_request &request)
{
    return m_connection->call(request);
}

void store_client::interrupt()
{
    m_connection->interrupt();
}

interruptible_store_call makeInterruptibleStoreCall(store_settings settings)
{
    auto client = std::make_shared<store_client>(std::move(settings));
    return {[client](const store_request &request) {
                return client->call(request);
            },
            [client] {
                client->interrupt();
            }};
}

store_call makeStoreCall(store_settings settings)
{
    return makeInterruptibleStoreCall(std::move(settings)).call;
}

} // namespace ragwortpin
