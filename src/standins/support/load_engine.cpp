#include "standins/support/load_engine.h"

#include "standins/support/json.h"
#include "standins/support/response_body.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>

namespace ragwortpin::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** Maximum number of attempts of a client with client_retry::Hard. */
constexpr unsigned MaxHardAttempts{4};

/** Delay before each retry of a client with client_retry::Hard. */
constexpr milliseconds HardRetryDelay{10};

/** Number of randomly chosen addresses that a client tries to connect to before an attempt fails. */
constexpr unsigned MaxConnectAttempts{3};

/** Interval between checks whether the load has ended. */
constexpr milliseconds CompletionPollInterval{20};

/** Maximum time that a stream sleeps at once, so that it reacts to stop() in time. */
constexpr milliseconds MaxTimerWait{100};

constexpr unsigned StatusTooManyRequests{429};
constexpr unsigned StatusServerError{500};

std::string fieldOf(const http_response &response, const char *name)
{
    const auto value = response[name];
    return {value.data(), value.size()};
}

boost::beast::string_view toField(std::string_view text)
{
    return {text.data(), text.size()};
}

http_request makeRequest(const load_stream &stream, const std::string &testId, const std::string &idempotencyKey)
{
    http_request request;
    request.version(11);
    request.method_string(stream.method);
    request.target(stream.path);
    request.set(toField(TestIdHeader), testId);
    if (!stream.key.empty()) {
        request.set("X-Api-Key", stream.key);
    }
    if (!idempotencyKey.empty()) {
        request.set("Idempotency-Key", idempotencyKey);
    }
    request.body() = std::string(stream.bodyBytes, 'b');
    return request;
}

request_result classifyResult(const call_result &result, const std::string &testId)
{
    if (result.error) {
        const bool timedOut = result.error == std::error_code{make_error_code(boost::beast::error::timeout)};
        if (!result.connected) {
            return request_result::NotConnected;
        }
        return timedOut ? request_result::TimedOut : request_result::ConnectionLost;
    }
    if (!fieldOf(result.response, "Ragwortpin-Refusal").empty()) {
        return request_result::Refused;
    }
    switch (checkResponseBody(result.response.body(), testId)) {
    case body_check::Truncated:
        return result.response.result() == http::status::ok ? request_result::Truncated : request_result::TargetError;
    case body_check::Mismatched:
        return request_result::Mismatched;
    case body_check::Complete:
        break;
    }
    return result.response.result() == http::status::ok ? request_result::Ok : request_result::TargetError;
}

bool isRetryable(const request_record &record, unsigned status)
{
    if (record.result == request_result::Refused || record.result == request_result::TargetError) {
        return status == StatusTooManyRequests || status >= StatusServerError;
    }
    return record.result != request_result::Ok && record.result != request_result::Truncated && record.result != request_result::Mismatched;
}

} // namespace

load_engine::load_engine(asio::io_context &context, load_scenario scenario)
    : m_context{context}
    , m_scenario{std::move(scenario)}
    , m_client{context, m_scenario.maxConnections}
    , m_runId{std::to_string(wallClockNow().count())}
{ }

void load_engine::start()
{
    m_start = monotonicNow();
    m_runningStreams = m_scenario.streams.size();
    for (std::size_t index{0}; index < m_scenario.streams.size(); ++index) {
        asio::co_spawn(m_context, runStream(index), asio::detached);
    }
    asio::co_spawn(m_context, awaitCompletion(), asio::detached);
}

void load_engine::stop() noexcept
{
    m_stopping = true;
}

const std::vector<request_record> &load_engine::records() const noexcept
{
    return m_records;
}

const target_observations &load_engine::observations() const noexcept
{
    return m_observations;
}

const load_scenario &load_engine::scenario() const noexcept
{
    return m_scenario;
}

/**
 * Generates a Poisson process with a different rate in each phase by thinning: arrivals are drawn at the peak rate of the stream,
 * and each is kept with the probability phase rate / peak rate.
 */
asio::awaitable<void> load_engine::runStream(std::size_t index)
{
    const auto &stream = m_scenario.streams[index];
    const double peak = peakFactor(m_scenario, stream.name);
    std::mt19937_64 random{m_scenario.seed + index};
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    std::exponential_distribution<double> interarrival{std::max(stream.rate * peak, 1e-9)};
    asio::steady_timer timer{m_context};
    auto sendAt = fromSeconds(std::min(interarrival(random), 1e6));
    while (!m_stopping && sendAt < m_scenario.runDuration) {
        const auto wait = sendAt - sinceStart();
        if (wait > duration::zero()) {
            timer.expires_after(std::min<duration>(wait, MaxTimerWait));
            co_await timer.async_wait(asio::use_awaitable);
            continue;
        }
        const auto phase = phaseAt(m_scenario, sendAt);
        if (uniform(random) * peak < factorOf(m_scenario.phases[phase], stream.name)) {
            request_record record;
            record.stream = index;
            record.phase = phase;
            record.sentAt = sendAt;
            record.testId = m_runId + "-" + std::to_string(m_records.size());
            m_records.push_back(std::move(record));
            ++m_pendingRequests;
            asio::co_spawn(m_context, runRequest(index, m_records.size() - 1, random()), asio::detached);
        }
        sendAt += fromSeconds(interarrival(random));
    }
    --m_runningStreams;
}

asio::awaitable<void> load_engine::runRequest(std::size_t index, std::size_t record, std::uint64_t randomSeed)
{
    const auto &stream = m_scenario.streams[index];
    auto progress = m_records[record];
    const std::string idempotencyKey{stream.once ? "key-" + progress.testId : std::string{}};
    const unsigned maxAttempts = stream.retry == client_retry::Hard ? MaxHardAttempts : 1;
    const auto startedAt = monotonicNow();
    std::mt19937_64 random{randomSeed};
    bool shouldRetry{true};
    while (shouldRetry && progress.attempts < maxAttempts && !m_client.exhausted()) {
        if (progress.attempts > 0) {
            asio::steady_timer timer{m_context, HardRetryDelay};
            co_await timer.async_wait(asio::use_awaitable);
        }
        shouldRetry = co_await attempt(stream, progress, random, idempotencyKey);
    }
    progress.latency = monotonicNow() - startedAt;
    m_records[record] = std::move(progress);
    --m_pendingRequests;
}

asio::awaitable<bool>
load_engine::attempt(const load_stream &stream, request_record &record, std::mt19937_64 &random, std::string idempotencyKey)
{
    ++record.attempts;
    const auto result = co_await sendWithFailover(stream, record, random, std::move(idempotencyKey));
    record.result = classifyResult(result, record.testId);
    record.refusal = fieldOf(result.response, "Ragwortpin-Refusal");
    record.reportedOutcome = parseOutcome(fieldOf(result.response, "Ragwortpin-Outcome"));
    record.allAttemptsNotRun
        = record.allAttemptsNotRun && record.result == request_result::Refused && record.reportedOutcome == outcome::NotRun;
    co_return isRetryable(record, result.response.result_int());
}

asio::awaitable<call_result>
load_engine::sendWithFailover(const load_stream &stream, request_record &record, std::mt19937_64 &random, std::string idempotencyKey)
{
    const auto &addresses = stream.addresses.empty() ? m_scenario.nodes : stream.addresses;
    std::uniform_int_distribution<std::size_t> choice{0, addresses.size() - 1};
    call_result result;
    for (unsigned connectAttempts{0}; connectAttempts < MaxConnectAttempts && !result.connected; ++connectAttempts) {
        auto request = makeRequest(stream, record.testId, idempotencyKey);
        result = co_await m_client.send(addresses[choice(random)], std::move(request), m_scenario.timeout, nullptr);
        record.failedConnects += result.connected ? 0 : 1;
    }
    co_return result;
}

asio::awaitable<void> load_engine::awaitCompletion()
{
    asio::steady_timer timer{m_context};
    while (m_runningStreams > 0 || m_pendingRequests > 0) {
        timer.expires_after(CompletionPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    for (const auto &target : m_scenario.targets) {
        co_await queryTarget(target);
    }
    m_context.stop();
}

asio::awaitable<std::optional<Json::Value>> load_engine::getJson(endpoint address, const char *path)
{
    http_request request;
    request.version(11);
    request.method(http::verb::get);
    request.target(path);
    const auto result = co_await m_client.send(std::move(address), std::move(request), m_scenario.timeout, nullptr);
    std::optional<Json::Value> value;
    if (!result.error) {
        value = parseObject(result.response.body());
    }
    co_return value;
}

asio::awaitable<void> load_engine::queryTarget(endpoint address)
{
    const auto stats = co_await getJson(address, "/standin/stats");
    const auto runs = co_await getJson(address, "/standin/runs");
    if (!stats || !runs) {
        ++m_observations.unreachable;
        co_return;
    }
    target_run_counts target;
    target.service = (*stats)["service"].asString();
    target.keysSeen = (*stats)["keys_seen"].asUInt64();
    target.total = (*runs)["total"].asUInt64();
    const auto &byTestId = (*runs)["runs"];
    for (const auto &testId : byTestId.getMemberNames()) {
        target.byTestId[testId] = byTestId[testId].asUInt64();
    }
    m_observations.targets.push_back(std::move(target));
}

duration load_engine::sinceStart() const noexcept
{
    return monotonicNow() - m_start;
}

} // namespace ragwortpin::standins
