#ifndef RAGWORTPIN_TARGETS_TARGET_GATEWAY_H
#define RAGWORTPIN_TARGETS_TARGET_GATEWAY_H

#include "ragwortpin/admission/admission.h"
#include "ragwortpin/dispatch/call.h"
#include "ragwortpin/http/client_pool.h"
#include "ragwortpin/runtime/async_signal.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/targets/in_flight.h"
#include "ragwortpin/telemetry/span.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace ragwortpin {

/** What a target tells the node beside it. */
struct target_announcement
{
    std::string service;
    endpoint address;
    /** Requests that the target works on at once. */
    std::uint32_t slots{0};
    /** Connections that the target accepts. */
    std::uint32_t connections{0};

    bool operator==(const target_announcement &) const = default;
};

/**
 * Runs requests at the node's own target: holds the last word on their admission, gives each an in-flight token, and relays
 * only whole answers. Data thread only.
 */
class target_gateway
{
public:
    target_gateway(boost::asio::io_context &context, http_client_pool &client, metrics_registry &metrics, span_sink spans);

    /** Takes over what the target announced. A first or changed address starts cold. */
    void announce(const target_announcement &announcement, time_point now);

    /** Refuses new requests as Draining from now on. */
    void startDraining() noexcept
    {
        m_draining = true;
    }

    /** Accepts requests again after the target announced itself anew. */
    void stopDraining() noexcept
    {
        m_draining = false;
    }

    /** Runs a request and returns its answer. The weight is that of the request's workspace. */
    [[nodiscard]] boost::asio::awaitable<call_answer> run(inbound_call call, double weight);

    /** Refuses queued requests that can no longer finish in time. To be called every few milliseconds. */
    void expireQueued(time_point now);

    [[nodiscard]] const in_flight_table &inFlight() const noexcept
    {
        return m_inFlight;
    }

    /** What the target last announced; nothing before that. */
    [[nodiscard]] const std::optional<target_announcement> &announced() const noexcept
    {
        return m_announcement;
    }

    /** Requests that wait for a slot or hold one. */
    [[nodiscard]] std::size_t requests() const noexcept
    {
        return m_admission ? m_admission->running.size() + m_admission->queue.size() : 0;
    }

private:
    enum class slot_state : unsigned char {
        Waiting,
        Granted,
        Displaced,
        Expired,
        Cancelled,
    };

    struct slot_waiter
    {
        explicit slot_waiter(boost::asio::io_context &context)
            : changed{context}
        { }

        slot_state state{slot_state::Waiting};
        async_signal changed;
    };

    [[nodiscard]] boost::asio::awaitable<slot_state> waitForSlot(request_id id, std::shared_ptr<call_control> control);
    [[nodiscard]] boost::asio::awaitable<call_answer> exchangeWithTarget(inbound_call &call, request_id id);
    [[nodiscard]] call_answer refuse(refusal_kind kind, const inbound_call &call);
    [[nodiscard]] call_answer toAnswer(exchange_result result, const inbound_call &call, const in_flight_request &request);
    void release(request_id id, const in_flight_request &request, const exchange_result &result, bool cancelled);
    void apply(const admission_changes &changes);
    void settle(request_id id, slot_state state);
    void fillLoad(call_answer &answer, const std::string &workspace, const shed_level &below);

    boost::asio::io_context &m_context;
    http_client_pool &m_client;
    span_sink m_spans;
    std::optional<target_announcement> m_announcement;
    std::optional<admission_state> m_admission;
    std::unordered_map<request_id, std::shared_ptr<slot_waiter>> m_waiters;
    in_flight_table m_inFlight;
    request_id m_lastId{0};
    bool m_draining{false};
    counter &m_started;
    counter &m_notRun;
    counter &m_unknown;
    distribution &m_queueTime;
    distribution &m_targetTime;
};

} // namespace ragwortpin

#endif
