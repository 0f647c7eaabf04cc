#ifndef RAGWORTPIN_TARGETS_TARGET_GATEWAY_H
#define RAGWORTPIN_TARGETS_TARGET_GATEWAY_H

#include "ragwortpin/admission/admission.h"
#include "ragwortpin/dispatch/call.h"
#include "ragwortpin/http/client_pool.h"
#include "ragwortpin/http/header_names.h"
#include "ragwortpin/overload/call_graph.h"
#include "ragwortpin/runtime/async_signal.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/targets/announcement.h"
#include "ragwortpin/targets/in_flight.h"
#include "ragwortpin/telemetry/span.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace ragwortpin {

/** Settings of the last hop. */
struct target_options
{
    admission_options admission;
    header_names headers;
    /** Whether a target that announces itself anew starts with few requests at once. */
    bool startsCold{true};
    /** Part of the announced slots that is used; targets may slow down when all are taken. */
    double usedSlots{1.0};
    /** How answers are told apart and when connections are reused. */
    exchange_options exchange;
    /** Idle time from which on a connection is not reused for a request that must not be sent twice. */
    duration longestIdleOnce{seconds{5}};
};

/**
 * Runs requests at the node's own target: holds the last word on their admission, gives each an in-flight token, and relays
 * only whole answers. Data thread only.
 */
class target_gateway
{
public:
    target_gateway(boost::asio::io_context &context,
                   http_client_pool &client,
                   metrics_registry &metrics,
                   span_sink spans,
                   target_options options = {});

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

    /** Admission to the target; nothing before its first announcement. */
    [[nodiscard]] const std::optional<admission_state> &admission() const noexcept
    {
        return m_admission;
    }

    /**
     * Notes that the target calls a route, and returns the rank of the run that makes the call; nothing when that cannot be told.
     * A target's calls end at the deadline that the run was given, which shows the run unless the call has a shorter limit.
     */
    std::optional<unsigned> observeTargetCall(std::string_view route, time_point callDeadline);

    /** What was learned of the calls that runs at the target make. */
    [[nodiscard]] call_graph &callGraph() noexcept
    {
        return m_graph;
    }

    /** Whether new requests are accepted. */
    [[nodiscard]] bool takesWork() const noexcept
    {
        return m_admission && !m_draining && !m_replaced;
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

    /** A run at the target. */
    struct active_run
    {
        std::uint32_t route{0};
        unsigned rank{0};
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
    [[nodiscard]] http_request toTargetRequest(inbound_call &call, const std::string &token, time_point now) const;
    [[nodiscard]] call_answer toAnswer(exchange_result result, const inbound_call &call, const in_flight_request &request);
    void logOutcome(const inbound_call &call, const call_answer &answer, duration elapsed) const;
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
    call_graph m_graph;
    /** Runs at the target by the deadline that they were given. */
    std::multimap<time_point, active_run> m_runs;
    request_id m_lastId{0};
    bool m_draining{false};
    bool m_replaced{false};
    target_options m_options;
    counter &m_started;
    counter &m_notRun;
    counter &m_unknown;
    distribution &m_queueTime;
    distribution &m_targetTime;
};

} // namespace ragwortpin

#endif
