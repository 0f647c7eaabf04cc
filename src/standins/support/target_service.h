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

/** A call that a target makes for each request it runs. */
struct downstream_call
{
    std::string method;
    std::string path;

    bool operator==(const downstream_call &) const = default;
};

/** How service times are drawn. */
enum class service_time_law : unsigned char {
    Exponential,
    Fixed,
};

/** Settings of a target. */
struct target_settings
{
    std::string service;
    std::size_t slots{35};
    milliseconds serviceTime{10};
    service_time_law law{service_time_law::Exponential};
    std::uint64_t seed{1};
    /** Time after the start during which service times are multiplied by coldFactor. */
    milliseconds coldStart{0};
    double coldFactor{1.0};
    std::vector<downstream_call> downstream;
    /** Where downstream calls are sent. */
    std::optional<endpoint> egress;
    std::size_t answerBytes{256};
    milliseconds downstreamTimeout{10'000};
};

/** What a target has seen. */
struct target_record
{
    std::uint64_t runs{0};
    /** Runs by test id. */
    std::map<std::string, std::uint64_t> runsByTestId;
    /** Requests whose client went away before their answer. */
    std::uint64_t cancelled{0};
    /** Requests that carried a caller's key or the context meant for nodes only. */
    std::uint64_t keysSeen{0};
    std::uint64_t downstreamFailed{0};
    /** Downstream answers that were cut or belonged to another request. */
    std::uint64_t downstreamFalse{0};
};

/** Answers requests as a target would, on the thread of one io_context. */
class target_service
{
public:
    target_service(boost::asio::io_context &context, target_settings settings);

    /** Answers one request: work, or a switch under /standin. */
    [[nodiscard]] boost::asio::awaitable<reply> answer(http_request request, exchange_pointer current);

    /** Requests that hold a slot or wait for one. */
    [[nodiscard]] std::size_t inFlight() const noexcept;

    [[nodiscard]] const target_settings &settings() const noexcept;

private:
    boost::asio::awaitable<reply> work(http_request request, exchange_pointer current);
    boost::asio::awaitable<unsigned> run(const http_request &request, exchange_pointer current, std::string &refusal);
    boost::asio::awaitable<bool> callDownstream(const http_request &request, exchange_pointer current, std::string &refusal);
    reply finish(const std::string &testId, unsigned status, const std::string &refusal);
    duration drawServiceTime();
    [[nodiscard]] reply answerFaults(const std::string &body);
    [[nodiscard]] reply answerRuns() const;
    [[nodiscard]] reply answerStats() const;

    target_settings m_settings;
    target_faults m_faults;
    target_record m_record;
    slot_pool m_slots;
    http_client m_client;
    std::mt19937_64 m_random;
    time_point m_started;
    /** Requests being answered, late answers included. */
    std::size_t m_answering{0};
};

} // namespace ragwortpin::standins

#endif
