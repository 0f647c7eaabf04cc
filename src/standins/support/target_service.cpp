#include "standins/support/target_service.h"

#include "standins/support/daemon.h"
#include "standins/support/json.h"
#include "standins/support/response_body.h"

#include <array>

namespace ragwortpin::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** Maximum number of connections from a target to the egress listener of its node. */
constexpr std::size_t MaxEgressConnections{1000};

/** Status of a response to a request whose downstream call failed. */
constexpr unsigned DownstreamFailedStatus{502};

/** Time for which a request is held back when the fault neverRespond is active. */
constexpr seconds NeverRespondTimeout{3600};

/** Header fields that a downstream call copies from the original request. */
constexpr std::array<std::string_view, 4> PropagatedFields{"Ragwortpin-Request", "traceparent", TestIdHeader, "Idempotency-Key"};

/** Header fields that a node must never forward to a target. */
constexpr std::array<std::string_view, 3> CredentialFields{"Authorization", "X-Api-Key", "Ragwortpin-Context"};

std::string_view toView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string fieldOf(const http_request &request, std::string_view name)
{
    return std::string{toView(request[boost::beast::string_view{name.data(), name.size()}])};
}

bool carriesCredential(const http_request &request)
{
    for (const auto name : CredentialFields) {
        if (!fieldOf(request, name).empty()) {
            return true;
        }
    }
    return false;
}

http_request makeDownstreamRequest(const downstream_call &call, const http_request &original)
{
    http_request request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.path);
    for (const auto name : PropagatedFields) {
        if (const auto value = fieldOf(original, name); !value.empty()) {
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
    , m_startedAt{monotonicNow()}
{ }

asio::awaitable<reply> target_service::handle(http_request request, exchange_pointer current)
{
    const std::string path{toView(request.target())};
    if (path == "/standin/faults") {
        co_return handleFaults(request.body());
    }
    if (path == "/standin/runs") {
        co_return handleRuns();
    }
    if (path == "/standin/stats") {
        co_return handleStats();
    }
    ++m_inFlight;
    reply response = co_await handleWork(std::move(request), std::move(current));
    --m_inFlight;
    co_return response;
}

std::size_t target_service::inFlight() const noexcept
{
    return m_inFlight;
}

const target_settings &target_service::settings() const noexcept
{
    return m_settings;
}

asio::awaitable<reply> target_service::handleWork(http_request request, exchange_pointer current)
{
    m_counters.keysSeen += carriesCredential(request) ? 1 : 0;
    const auto testId = fieldOf(request, TestIdHeader);
    std::string refusal;
    unsigned status{0};
    const bool acquired = co_await m_slots.acquire(current);
    if (acquired && !current->cancelled) {
        status = co_await execute(request, current, refusal);
    }
    if (acquired) {
        m_slots.release();
    }
    if (m_faults.responseDelay > milliseconds::zero()) {
        co_await waitFor(m_faults.responseDelay, current);
    }
    if (current->cancelled) {
        ++m_counters.cancelled;
        co_return reply{};
    }
    co_return makeReply(testId, status, refusal);
}

asio::awaitable<unsigned> target_service::execute(const http_request &request, exchange_pointer current, std::string &refusal)
{
    ++m_counters.runs;
    if (const auto testId = fieldOf(request, TestIdHeader); !testId.empty()) {
        ++m_counters.runsByTestId[testId];
    }
    if (m_faults.status != 0) {
        co_return m_faults.status;
    }
    co_await waitFor(drawServiceTime(), current);
    if (m_faults.neverRespond) {
        co_await waitFor(NeverRespondTimeout, current);
    }
    if (current->cancelled) {
        co_return 0;
    }
    const bool succeeded = co_await callDownstream(request, current, refusal);
    co_return succeeded ? 200 : DownstreamFailedStatus;
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
            ++m_counters.downstreamFailed;
            co_return false;
        }
        if (checkResponseBody(result.response.body(), testId) != body_check::Complete) {
            ++m_counters.downstreamInvalid;
            co_return false;
        }
    }
    co_return true;
}

reply target_service::makeReply(const std::string &testId, unsigned status, const std::string &refusal)
{
    reply response;
    response.status = status;
    response.contentType = "text/plain";
    response.body = makeResponseBody(m_settings.service, testId, m_settings.responseBytes);
    if (!refusal.empty()) {
        response.headers.push_back({"X-Downstream-Refusal", refusal});
    }
    if (m_faults.truncateNextResponses > 0) {
        --m_faults.truncateNextResponses;
        response.missingBytes = response.body.size() / 2;
        response.body.resize(response.body.size() - response.missingBytes);
    }
    return response;
}

duration target_service::drawServiceTime()
{
    auto mean = toSeconds(m_settings.serviceTime) * m_faults.serviceTimeFactor;
    if (monotonicNow() < m_startedAt + m_settings.coldStart) {
        mean *= m_settings.coldFactor;
    }
    if (mean <= 0.0 || m_settings.distribution == service_time_distribution::Fixed) {
        return fromSeconds(mean);
    }
    std::exponential_distribution<double> exponential{1.0 / mean};
    return fromSeconds(exponential(m_random));
}

reply target_service::handleFaults(const std::string &body)
{
    reply response;
    const auto faults = parseTargetFaults(m_faults, body);
    if (!faults) {
        response.status = 400;
        response.contentType = "text/plain";
        response.body = "invalid fault settings; send a JSON object with any of late_ms, cut_short, never_answer, slow_factor, status\n";
        return response;
    }
    m_faults = *faults;
    logInfo(m_settings.service + " fault settings changed: " + body);
    response.body = "{}";
    return response;
}

reply target_service::handleRuns() const
{
    Json::Value runs{Json::objectValue};
    runs["total"] = static_cast<Json::UInt64>(m_counters.runs);
    runs["runs"] = Json::Value{Json::objectValue};
    for (const auto &[testId, count] : m_counters.runsByTestId) {
        runs["runs"][testId] = static_cast<Json::UInt64>(count);
    }
    reply response;
    response.body = writeJson(runs);
    return response;
}

reply target_service::handleStats() const
{
    Json::Value stats{Json::objectValue};
    stats["service"] = m_settings.service;
    stats["runs"] = static_cast<Json::UInt64>(m_counters.runs);
    stats["in_flight"] = static_cast<Json::UInt64>(m_inFlight);
    stats["cancelled"] = static_cast<Json::UInt64>(m_counters.cancelled);
    stats["keys_seen"] = static_cast<Json::UInt64>(m_counters.keysSeen);
    stats["downstream_failed"] = static_cast<Json::UInt64>(m_counters.downstreamFailed);
    stats["downstream_false"] = static_cast<Json::UInt64>(m_counters.downstreamInvalid);
    reply response;
    response.body = writeJson(stats);
    return response;
}

} // namespace ragwortpin::standins
