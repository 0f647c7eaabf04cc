#ifndef RAGWORTPIN_TARGETS_TARGET_GATEWAY_H
#define RAGWORTPIN_TARGETS_TARGET_GATEWAY_H

#include "ragwortpin/admission/admission.h"
#include "ragwortpin/admission/processing_limit.h"
#include "ragwortpin/dispatch/call.h"
#include "ragwortpin/http/client_pool.h"
#include "ragwortpin/http/header_names.h"
#include "ragwortpin/overload/call_graph.h"
#include "ragwortpin/runtime/async_signal.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/targets/announcement.h"
#include "ragwortpin/targets/in_flight.h"
#include "ragwortpin/targets/send_check.h"
#include "ragwortpin/telemetry/span.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace ragwortpin {

/** Settings of a target_gateway. */
struct target_options
{
    admission_options admission;
    header_names headers;
    /** Whether admission begins with a slow start, that is with few concurrent requests, at the first announcement of the target. */
    bool startsCold{true};
    /** Fraction of the announced slots that is used. A fraction below 1 helps targets that slow down when all their slots are taken. */
    double usableSlotFraction{1.0};
    /** Options of the exchanges with the target, such as the matching of responses to requests and the reuse of connections. */
    exchange_options exchange;
    /** Called when the target refused a request with status 421 because it is not the announced incarnation, which is passed. */
    std::function<void(const std::string &incarnation)> refuted{[](const std::string &) {}};
    /** Idle time from which on a connection is not reused for requests that are not retryable and so must not be sent twice. */
    duration maxIdleNonRetryable{seconds{5}};
};

/**
 * Runs requests at the node's own target. Makes the final decision on their admission, assigns an in-flight token to each and
 * relays only complete answers. Used by the data thread only.
 */
class target_gateway
{
public:
    target_gateway(boost::asio::io_context &context,
                   http_client_pool &client,
                   metrics_registry &metrics,
                   span_sink spans,
                   target_options options = {});

    /**
     * Applies an announcement of the target. The first one creates the admission state, which begins with a slow start if
     * target_options::startsCold is set; later ones update its capacity. If the address or the incarnation has changed, the idle
     * connections to the previous address are closed. Requests are accepted again if the target refused the previous incarnation.
     */
    void announce(const target_announcement &announcement, time_point now);

    /** Refuses new requests and those that wait for a slot with refusal_kind::Draining until stopDraining() is called. */
    void startDraining();

    /** Accepts requests again, after a new announcement of the target. */
    void stopDraining() noexcept
    {
        m_draining = false;
    }

    /** Runs a request at the target once it is admitted; returns the answer or refusal. The weight is that of the workspace. */
    [[nodiscard]] boost::asio::awaitable<call_answer> run(inbound_call call, double weight);

    /** Refuses queued requests that can no longer finish before their deadline. To be called every few milliseconds. */
    void expireQueued(time_point now);

    /** Applies the load of the node's event loop to the load that is reported. To be called several times a second. */
    void observeNodeLoad(const loop_load &load, time_point now);

    /** Returns how many requests the target and the node beside it can process concurrently; 0 before the first announcement. */
    [[nodiscard]] std::uint32_t limit() const noexcept
    {
        return m_admission ? sustainableLimit(m_processing, *m_admission) : 0;
    }

    /** Returns the number of requests that wait for a slot or to be read. */
    [[nodiscard]] std::uint32_t waiting() const noexcept
    {
        return m_admission ? waitingRequests(m_processing, *m_admission) : 0;
    }

    [[nodiscard]] const in_flight_table &inFlight() const noexcept
    {
        return m_inFlight;
    }

    /** Returns the latest announcement of the target; nothing before the first one. */
    [[nodiscard]] const std::optional<target_announcement> &announced() const noexcept
    {
        return m_announcement;
    }

    /** Returns the admission state of the target; nothing before its first announcement. */
    [[nodiscard]] const std::optional<admission_state> &admission() const noexcept
    {
        return m_admission;
    }

    /**
     * Records that the target calls a route and returns the rank of the run that makes the call; nothing if no run matches. Calls do
     * not name their run: it is identified by its deadline, which the target passes on to its calls. A call with a shorter deadline
     * of its own cannot be matched. If several runs match, the lowest rank is returned.
     */
    std::optional<unsigned> attributeTargetCall(std::string_view route, time_point callDeadline);

    /**
     * Returns whether a call with the given deadline may be made by a run at the target, whose deadline its calls carry. The deadline
     * appears later the longer the node takes to read the call, which the delay of its event loop tells.
     */
    [[nodiscard]] bool mayBeTargetCall(time_point callDeadline) const;

    /** Returns the estimate of which calls the runs at the target make. */
    [[nodiscard]] call_graph &callGraph() noexcept
    {
        return m_graph;
    }

    /** Returns whether new requests are accepted. */
    [[nodiscard]] bool acceptsRequests() const noexcept
    {
        return m_admission && !m_draining && !m_targetReplaced;
    }

    /** Returns the number of requests that are queued for a slot or hold one. */
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
        /** The target may not run the request any more. */
        Withdrawn,
    };

    /** Request that is running at the target. */
    struct active_run
    {
        std::uint32_t route{0};
        unsigned rank{0};
    };

    /** Queued request that waits for a slot. */
    struct slot_waiter
    {
        slot_waiter(boost::asio::io_context &context, send_conditions awaited)
            : changed{context}
            , conditions{std::move(awaited)}
        { }

        slot_state state{slot_state::Waiting};
        async_signal changed;
        send_conditions conditions;
    };

    [[nodiscard]] boost::asio::awaitable<slot_state>
    waitForSlot(request_id id, std::shared_ptr<call_control> control, send_conditions conditions);
    [[nodiscard]] std::optional<send_obstacle> findObstacleTo(const send_conditions &conditions) const;
    [[nodiscard]] call_answer refuseSend(send_obstacle obstacle, const inbound_call &call);
    void withdrawWaiting();
    [[nodiscard]] boost::asio::awaitable<call_answer> exchangeWithTarget(inbound_call &call, request_id id);
    [[nodiscard]] call_answer refuse(refusal_kind kind, const inbound_call &call);
    [[nodiscard]] http_request toTargetRequest(inbound_call &call, const std::string &token, time_point now) const;
    [[nodiscard]] call_answer toAnswer(
        exchange_result result, bool isHead, const inbound_call &call, const in_flight_request &request, const std::string &incarnation);
    void observeMisdirected(const std::string &incarnation);
    void logOutcome(const inbound_call &call, const call_answer &answer, duration elapsed) const;
    void releaseSlot(request_id id, const in_flight_request &request, const exchange_result &result, bool cancelled);
    void applyAdmissionChanges(const admission_changes &changes);
    void endWait(request_id id, slot_state state);
    void setLoad(call_answer &answer, const std::string &workspace, const shed_level &downstreamLevel);

    boost::asio::io_context &m_context;
    http_client_pool &m_client;
    span_sink m_spans;
    std::optional<target_announcement> m_announcement;
    std::optional<admission_state> m_admission;
    processing_limit m_processing;
    std::unordered_map<request_id, std::shared_ptr<slot_waiter>> m_waiters;
    in_flight_table m_inFlight;
    call_graph m_graph;
    /** Requests running at the target, by the deadline that was sent to it. */
    std::multimap<time_point, active_run> m_activeRuns;
    /** Longest time that a call of the target is expected to take until it is read. */
    duration m_callReadDelay{milliseconds{250}};
    request_id m_lastId{0};
    bool m_draining{false};
    /** Whether the target refused a request with status 421 because it is another incarnation than the announced one. */
    bool m_targetReplaced{false};
    target_options m_options;
    counter &m_ran;
    counter &m_notRun;
    counter &m_unknown;
    /** Requests that were stopped before they were sent, by send_obstacle. */
    std::array<counter *, SendObstacles.size()> m_stopped{};
    distribution &m_queueTime;
    distribution &m_targetTime;
};

} // namespace ragwortpin

#endif
