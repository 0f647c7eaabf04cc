#ifndef RAGWORTPIN_STANDINS_SUPPORT_LOAD_ENGINE_H
#define RAGWORTPIN_STANDINS_SUPPORT_LOAD_ENGINE_H

#include "standins/support/http_client.h"
#include "standins/support/load_record.h"
#include "standins/support/load_scenario.h"

#include <jsoncpp/json/value.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ragwortpin::standins {

/**
 * Generates the load of a scenario and records the result of each request. Not thread-safe: runs on the single thread of its
 * io_context.
 */
class load_engine
{
public:
    load_engine(boost::asio::io_context &context, load_scenario scenario);

    /** Starts the load. Stops the io_context when all requests have ended and the targets have been queried for their run counts. */
    void start();

    /** Stops sending new requests. Requests in flight are completed and the targets are still queried. */
    void stop() noexcept;

    [[nodiscard]] const std::vector<request_record> &records() const noexcept;
    [[nodiscard]] const target_observations &observations() const noexcept;
    [[nodiscard]] const load_scenario &scenario() const noexcept;

private:
    boost::asio::awaitable<void> runStream(std::size_t index);
    boost::asio::awaitable<void> runRequest(std::size_t index, std::size_t record, std::uint64_t randomSeed);
    boost::asio::awaitable<bool>
    attempt(const load_stream &stream, request_record &record, std::mt19937_64 &random, std::string idempotencyKey);
    boost::asio::awaitable<call_result>
    sendWithFailover(const load_stream &stream, request_record &record, std::mt19937_64 &random, std::string idempotencyKey);
    boost::asio::awaitable<void> awaitCompletion();
    boost::asio::awaitable<std::optional<Json::Value>> getJson(endpoint address, const char *path);
    boost::asio::awaitable<void> queryTarget(endpoint address);
    [[nodiscard]] duration sinceStart() const noexcept;

    boost::asio::io_context &m_context;
    load_scenario m_scenario;
    http_client m_client;
    time_point m_start;
    std::string m_runId;
    std::vector<request_record> m_records;
    target_observations m_observations;
    std::size_t m_pendingRequests{0};
    std::size_t m_runningStreams{0};
    bool m_stopping{false};
};

} // namespace ragwortpin::standins

#endif
