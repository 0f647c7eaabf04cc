#include "standins/support/load_engine.h"

#include "standins/support/answer_body.h"
#include "standins/support/json.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>

namespace ragwortpin::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** Attempts of a client that retries hard. */
constexpr unsigned MaxHardAttempts{4};

/** Pause of such a client before it sends again. */
constexpr milliseconds HardRetryPause{10};

/** Addresses that a client tries before it gives up an attempt. */
constexpr unsigned MaxConnects{3};

/** Period at which the end of the load is looked for. */
constexpr milliseconds EndCheckPeriod{20};

/** Longest sleep of a stream, so that an early stop is seen. */
constexpr milliseconds MaxSleep{100};

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

request_end toEnd(const call_result &result, const std::string &testId)
{
    if (result.error) {
        const bool timedOut = result.error == std::error_code{make_error_code(boost::beast::error::timeout)};
        if (!result.connected) {
            return request_end::NotConnected;
        }
        return timedOut ? request_end::TimedOut : request_end::ConnectionLost;
    }
    if (!fieldOf(result.response, "Ragwortpin-Refusal").empty()) {
        return request_end::Refused;
    }
    switch (checkAnswerBody(result.response.body(), testId)) {
    case answer_check::Cut:
        return result.response.result() == http::status::ok ? request_end::Cut : request_end::TargetError;
    case answer_check::Crossed:
        return request_end::Crossed;
    case answer_check::Whole:
        break;
    }
    return result.response.result() == http::status::ok ? request_end::Ok : request_end::TargetError;
}

bool isWorthRetrying(const request_record &record, unsigned status)
{
    if (record.end == request_end::Refused || record.end == request_end::TargetError) {
        return status == StatusTooManyRequests || status >= StatusServerError;
    }
    return record.end != request_end::Ok && record.end != request_end::Cut && record.end != request_end::Crossed;
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
    asio::co_spawn(m_context, finish(), asio::detached);
}

void load_engine::stop() noexcept
{
    m_stopping = true;
}

const std::vector<request_record> &load_engine::records() const noexcept
{
    return m_records;
}

const run_evidence &load_engine::evidence() const noexcept
{
    return m_evidence;
}

const load_scenario &load_engine::scenario() const noexcept
{
    return m_scenario;
}

/** Draws arrivals at the stream's highest rate and keeps each with the phase's share of it, which gives a Poisson process. */
asio::awaitable<void> load_engine::runStream(std::size_t index)
{
    const auto &stream = m_scenario.streams[index];
    const double peak = peakFactor(m_scenario, stream.name);
    std::mt19937_64 random{m_scenario.seed + index};
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    std::exponential_distribution<double> gap{std::max(stream.rate * peak, 1e-9)};
    asio::steady_timer timer{m_context};
    auto due = fromSeconds(std::min(gap(random), 1e6));
    while (!m_stopping && due < m_scenario.length) {
        const auto wait = due - sinceStart();
        if (wait > duration::zero()) {
            timer.expires_after(std::min<duration>(wait, MaxSleep));
            co_await timer.async_wait(asio::use_awaitable);
            continue;
        }
        const auto phase = phaseAt(m_scenario, due);
        if (uniform(random) * peak < factorOf(m_scenario.phases[phase], stream.name)) {
            request_record record;
            record.stream = index;
            record.phase = phase;
            record.sentAt = due;
            record.testId = m_runId + "-" + std::to_string(m_records.size());
            m_records.push_back(std::move(record));
            ++m_open;
            asio::co_spawn(m_context, runRequest(index, m_records.size() - 1, random()), asio::detached);
        }
        due += fromSeconds(gap(random));
    }
    --m_runningStreams;
}

asio::awaitable<void> load_engine::runRequest(std::size_t index, std::size_t record, std::uint64_t randomSeed)
{
    const auto &stream = m_scenario.streams[index];
    auto progress = m_records[record];
    const std::string idempotencyKey{stream.once ? "key-" + progress.testId : std::string{}};
    const unsigned limit = stream.retry == client_retry::Hard ? MaxHardAttempts : 1;
    const auto began = monotonicNow();
    std::mt19937_64 random{randomSeed};
    bool again{true};
    while (again && progress.attempts < limit && !m_client.exhausted()) {
        if (progress.attempts > 0) {
            asio::steady_timer timer{m_context, HardRetryPause};
            co_await timer.async_wait(asio::use_awaitable);
        }
        again = co_await attempt(stream, progress, random, idempotencyKey);
    }
    progress.latency = monotonicNow() - began;
    m_records[record] = std::move(progress);
    --m_open;
}

asio::awaitable<bool>
load_engine::attempt(const load_stream &stream, request_record &record, std::mt19937_64 &random, std::string idempotencyKey)
{
    ++record.attempts;
    const auto result = co_await sendToAny(stream, record, random, std::move(idempotencyKey));
    record.end = toEnd(result, record.testId);
    record.refusal = fieldOf(result.response, "Ragwortpin-Refusal");
    record.claimed = parseOutcome(fieldOf(result.response, "Ragwortpin-Outcome"));
    record.onlyNotRun = record.onlyNotRun && record.end == request_end::Refused && record.claimed == outcome::NotRun;
    co_return isWorthRetrying(record, result.response.result_int());
}

asio::awaitable<call_result>
load_engine::sendToAny(const load_stream &stream, request_record &record, std::mt19937_64 &random, std::string idempotencyKey)
{
    const auto &addresses = stream.addresses.empty() ? m_scenario.nodes : stream.addresses;
    std::uniform_int_distribution<std::size_t> choice{0, addresses.size() - 1};
    call_result result;
    for (unsigned connects{0}; connects < MaxConnects && !result.connected; ++connects) {
        auto request = makeRequest(stream, record.testId, idempotencyKey);
        result = co_await m_client.send(addresses[choice(random)], std::move(request), m_scenario.timeout, nullptr);
        record.failedConnects += result.connected ? 0 : 1;
    }
    co_return result;
}

asio::awaitable<void> load_engine::finish()
{
    asio::steady_timer timer{m_context};
    while (m_runningStreams > 0 || m_open > 0) {
        timer.expires_after(EndCheckPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
    for (const auto &target : m_scenario.targets) {
        co_await askTarget(target);
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

asio::awaitable<void> load_engine::askTarget(endpoint address)
{
    const auto stats = co_await getJson(address, "/standin/stats");
    const auto runs = co_await getJson(address, "/standin/runs");
    if (!stats || !runs) {
        ++m_evidence.unreachable;
        co_return;
    }
    target_runs target;
    target.service = (*stats)["service"].asString();
    target.keysSeen = (*stats)["keys_seen"].asUInt64();
    target.total = (*runs)["total"].asUInt64();
    const auto &byTestId = (*runs)["runs"];
    for (const auto &testId : byTestId.getMemberNames()) {
        target.byTestId[testId] = byTestId[testId].asUInt64();
    }
    m_evidence.targets.push_back(std::move(target));
}

duration load_engine::sinceStart() const noexcept
{
    return monotonicNow() - m_start;
}

} // namespace ragwortpin::standins
