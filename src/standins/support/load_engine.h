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

/** Sends the load of a scenario and records how each request ended, on the thread of one io_context. */
class load_engine
{
public:
    load_engine(boost::asio::io_context &context, load_scenario scenario);

    /** Starts to send. Stops the io_context when the load has ended and the targets have told what they ran. */
    void start();

    /** Ends the load early. */
    void stop() noexcept;

    [[nodiscard]] const std::vector<request_record> &records() const noexcept;
    [[nodiscard]] const run_evidence &evidence() const noexcept;
    [[nodiscard]] const load_scenario &scenario() const noexcept;

private:
    boost::asio::awaitable<void> runStream(std::size_t index);
    boost::asio::awaitable<void> runRequest(std::size_t index, std::size_t record, std::uint64_t randomSeed);
    boost::asio::awaitable<bool>
    attempt(const load_stream &stream, request_record &record, std::mt19937_64 &random, std::string idempotencyKey);
    boost::asio::awaitable<call_result>
    sendToAny(const load_stream &stream, request_record &record, std::mt19937_64 &random, std::string idempotencyKey);
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<std::optional<Json::Value>> getJson(endpoint address, const char *path);
    boost::asio::awaitable<void> askTarget(endpoint address);
    [[nodiscard]] duration sinceStart() const noexcept;

    boost::asio::io_context &m_context;
    load_scenario m_scenario;
    http_client m_client;
    time_point m_start;
    std::string m_runId;
    std::vector<request_record> m_records;
    run_evidence m_evidence;
    std::size_t m_open{0};
    std::size_t m_runningStreams{0};
    bool m_stopping{false};
};

} // namespace ragwortpin::standins

#endif
