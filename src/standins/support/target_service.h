#ifndef RAGWORTPIN_STANDINS_SUPPORT_TARGET_SERVICE_H
#define RAGWORTPIN_STANDINS_SUPPORT_TARGET_SERVICE_H

#include "ragwortpin/core/time.h"
#include "standins/support/endpoint.h"
#include "standins/support/http_client.h"
#include "standins/support/http_server.h"
#include "standins/support/slot_pool.h"
#include "standins/support/target_faults.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ragwortpin::standins {

/** Call that a target makes to another service for each request it runs. */
struct downstream_call
{
    std::string method;
    std::string path;

    bool operator==(const downstream_call &) const = default;
};

/** Distribution of the service times. */
enum class service_time_distribution : unsigned char {
    Exponential,
    Fixed,
};

/** Settings of a target stand-in. */
struct target_settings
{
    std::string service;
    std::size_t slots{35};
    milliseconds serviceTime{10};
    service_time_distribution distribution{service_time_distribution::Exponential};
    std::uint64_t seed{1};
    /** Time after the start during which the mean service time is multiplied by coldFactor. */
    milliseconds coldStart{0};
    double coldFactor{1.0};
    std::vector<downstream_call> downstream;
    /** Egress listener of the node that downstream calls are sent to. Required if downstream is not empty. */
    std::optional<endpoint> egress;
    std::size_t responseBytes{256};
    milliseconds downstreamTimeout{10'000};
};

/** Counters of a target. */
struct target_counters
{
    std::uint64_t runs{0};
    /** Number of runs for each test id. */
    std::map<std::string, std::uint64_t> runsByTestId;
    /** Requests whose client closed the connection before the response. */
    std::uint64_t cancelled{0};
    /** Requests that carried an API key of a caller or the context header, neither of which a node may pass on to a target. */
    std::uint64_t keysSeen{0};
    std::uint64_t downstreamFailed{0};
    /** Downstream responses whose body was truncated or belonged to another request. */
    std::uint64_t downstreamInvalid{0};
};

/** Simulates the service of a target. Not thread-safe: runs on the single thread of its io_context. */
class target_service
{
public:
    target_service(boost::asio::io_context &context, target_settings settings);

    /** Handles one request: a control request under /standin, or simulated work for any other path. */
    [[nodiscard]] boost::asio::awaitable<reply> handle(http_request request, exchange_pointer current);

    /** Returns the number of requests being handled: those that wait for a slot, run, or wait out the injected response delay. */
    [[nodiscard]] std::size_t inFlight() const noexcept;

    [[nodiscard]] const target_settings &settings() const noexcept;

private:
    boost::asio::awaitable<reply> handleWork(http_request request, exchange_pointer current);
    boost::asio::awaitable<unsigned> execute(const http_request &request, exchange_pointer current, std::string &refusal);
    boost::asio::awaitable<bool> callDownstream(const http_request &request, exchange_pointer current, std::string &refusal);
    reply makeReply(const std::string &testId, unsigned status, const std::string &refusal);
    duration drawServiceTime();
    [[nodiscard]] reply handleFaults(const std::string &body);
    [[nodiscard]] reply handleRuns() const;
    [[nodiscard]] reply handleStats() const;

    target_settings m_settings;
    target_faults m_faults;
    target_counters m_counters;
    slot_pool m_slots;
    http_client m_client;
    std::mt19937_64 m_random;
    time_point m_startedAt;
    /** Requests being handled, including those that wait out the injected response delay. */
    std::size_t m_inFlight{0};
};

} // namespace ragwortpin::standins

#endif
