#include "standins/support/target_service.h"

#include "standins/support/answer_body.h"
#include "standins/support/daemon.h"
#include "standins/support/json.h"

#include <array>

namespace ragwortpin::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** Connections that a target holds to its node at most. */
constexpr std::size_t MaxEgressConnections{1000};

/** Status of an answer whose downstream call failed. */
constexpr unsigned DownstreamFailedStatus{502};

/** Longest wait of work that is never answered. */
constexpr seconds NeverAnswerLimit{3600};

/** Header fields that a downstream call copies from the request it is made for. */
constexpr std::array<std::string_view, 4> CopiedFields{"Ragwortpin-Request", "traceparent", TestIdHeader, "Idempotency-Key"};

/** Header fields that no target may ever receive. */
constexpr std::array<std::string_view, 3> SecretFields{"Authorization", "X-Api-Key", "Ragwortpin-Context"};

std::string_view toView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string fieldOf(const http_request &request, std::string_view name)
{
    return std::string{toView(request[boost::beast::string_view{name.data(), name.size()}])};
}

bool carriesKey(const http_request &request)
{
    for (const auto name : SecretFields) {
        if (!fieldOf(request, name).empty()) {
            return true;
        }
    }
    return false;
}

http_request makeDownstreamRequest(const downstream_call &call, const http_request &cause)
{
    http_request request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.path);
    for (const auto name : CopiedFields) {
        if (const auto value = fieldOf(cause, name); !value.empty()) {
            request.set(boost::beast::string_view{name.data(), name.size()}, value);
        }
    }
    return request;
}

} // namespace

target_service::target_service(asio::io_context &context, target_settings settings)
    : m_settings{std::move(settings)}
    , m_slots{m_settings.slots}
    , m_client{context, MaxEgressConnections}
    , m_random{m_settings.seed}
    , m_started{monotonicNow()}
{ }

asio::awaitable<reply> target_service::answer(http_request request, exchange_pointer current)
{
    const std::string path{toView(request.target())};
    if (path == "/standin/faults") {
        co_return answerFaults(request.body());
    }
    if (path == "/standin/runs") {
        co_return answerRuns();
    }
    if (path == "/standin/stats") {
        co_return answerStats();
    }
    ++m_answering;
    reply done = co_await work(std::move(request), std::move(current));
    --m_answering;
    co_return done;
}

std::size_t target_service::inFlight() const noexcept
{
    return m_answering;
}

const target_settings &target_service::settings() const noexcept
{
    return m_settings;
}

asio::awaitable<reply> target_service::work(http_request request, exchange_pointer current)
{
    m_record.keysSeen += carriesKey(request) ? 1 : 0;
    const auto testId = fieldOf(request, TestIdHeader);
    std::string refusal;
    unsigned status{0};
    const bool acquired = co_await m_slots.acquire(current);
    if (acquired && !current->cancelled) {
        status = co_await run(request, current, refusal);
    }
    if (acquired) {
        m_slots.release();
    }
    if (m_faults.late > milliseconds::zero()) {
        co_await waitFor(m_faults.late, current);
    }
    if (current->cancelled) {
        ++m_record.cancelled;
        co_return reply{};
    }
    co_return finish(testId, status, refusal);
}

asio::awaitable<unsigned> target_service::run(const http_request &request, exchange_pointer current, std::string &refusal)
{
    ++m_record.runs;
    if (const auto testId = fieldOf(request, TestIdHeader); !testId.empty()) {
        ++m_record.runsByTestId[testId];
    }
    if (m_faults.status != 0) {
        co_return m_faults.status;
    }
    co_await waitFor(drawServiceTime(), current);
    if (m_faults.neverAnswer) {
        co_await waitFor(NeverAnswerLimit, current);
    }
    if (current->cancelled) {
        co_return 0;
    }
    const bool done = co_await callDownstream(request, current, refusal);
    co_return done ? 200 : DownstreamFailedStatus;
}

asio::awaitable<bool> target_service::callDownstream(const http_request &request, exchange_pointer current, std::string &refusal)
{
    const auto testId = fieldOf(request, TestIdHeader);
    for (const auto &call : m_settings.downstream) {
        if (current->cancelled) {
            co_return false;
        }
        auto message = makeDownstreamRequest(call, request);
        const auto result = co_await m_client.send(*m_settings.egress, std::move(message), m_settings.downstreamTimeout, current);
        refusal = std::string{toView(result.response["Ragwortpin-Refusal"])};
        if (result.error || result.response.result() != http::status::ok) {
            ++m_record.downstreamFailed;
            co_return false;
        }
        if (checkAnswerBody(result.response.body(), testId) != answer_check::Whole) {
            ++m_record.downstreamFalse;
            co_return false;
        }
    }
    co_return true;
}

reply target_service::finish(const std::string &testId, unsigned status, const std::string &refusal)
{
    reply done;
    done.status = status;
    done.contentType = "text/plain";
    done.body = makeAnswerBody(m_settings.service, testId, m_settings.answerBytes);
    if (!refusal.empty()) {
        done.headers.push_back({"X-Downstream-Refusal", refusal});
    }
    if (m_faults.cutShort > 0) {
        --m_faults.cutShort;
        done.missingBytes = done.body.size() / 2;
        done.body.resize(done.body.size() - done.missingBytes);
    }
    return done;
}

duration target_service::drawServiceTime()
{
    auto mean = toSeconds(m_settings.serviceTime) * m_faults.slowFactor;
    if (monotonicNow() < m_started + m_settings.coldStart) {
        mean *= m_settings.coldFactor;
    }
    if (mean <= 0.0 || m_settings.law == service_time_law::Fixed) {
        return fromSeconds(mean);
    }
    std::exponential_distribution<double> distribution{1.0 / mean};
    return fromSeconds(distribution(m_random));
}

reply target_service::answerFaults(const std::string &body)
{
    reply done;
    const auto faults = parseTargetFaults(m_faults, body);
    if (!faults) {
        done.status = 400;
        done.contentType = "text/plain";
        done.body = "send JSON with late_ms, cut_short, never_answer, slow_factor or status\n";
        return done;
    }
    m_faults = *faults;
    logChange(m_settings.service + " faults: " + body);
    done.body = "{}";
    return done;
}

reply target_service::answerRuns() const
{
    Json::Value runs{Json::objectValue};
    runs["total"] = static_cast<Json::UInt64>(m_record.runs);
    runs["runs"] = Json::Value{Json::objectValue};
    for (const auto &[testId, count] : m_record.runsByTestId) {
        runs["runs"][testId] = static_cast<Json::UInt64>(count);
    }
    reply done;
    done.body = writeJson(runs);
    return done;
}

reply target_service::answerStats() const
{
    Json::Value stats{Json::objectValue};
    stats["service"] = m_settings.service;
    stats["runs"] = static_cast<Json::UInt64>(m_record.runs);
    stats["in_flight"] = static_cast<Json::UInt64>(m_answering);
    stats["cancelled"] = static_cast<Json::UInt64>(m_record.cancelled);
    stats["keys_seen"] = static_cast<Json::UInt64>(m_record.keysSeen);
    stats["downstream_failed"] = static_cast<Json::UInt64>(m_record.downstreamFailed);
    stats["downstream_false"] = static_cast<Json::UInt64>(m_record.downstreamFalse);
    reply done;
    done.body = writeJson(stats);
    return done;
}

} // namespace ragwortpin::standins
