#include "ragwortpin/targets/target_gateway.h"

#include "ragwortpin/deadlines/deadlines.h"
#include "ragwortpin/identity/credentials.h"
#include "ragwortpin/runtime/logging.h"

#include <algorithm>

namespace ragwortpin {

namespace {

/**
 * Tolerances for matching the deadline of a call to that of the run that makes it. The deadline of the call may appear earlier or
 * later than that of its run because of rounding to milliseconds and of the transmission time.
 */
constexpr milliseconds CallDeadlineEarlyTolerance{3};
constexpr milliseconds CallDeadlineLateTolerance{4};
/** Bounds of the time from the send of a target's call until the node beside it reads the call, and its ratio to the loop's delay. */
constexpr duration MinCallReadDelay{milliseconds{10}};
constexpr duration MaxCallReadDelay{milliseconds{250}};
constexpr duration::rep CallReadDelayRatio{8};

bool isOverloadStatus(unsigned status) noexcept
{
    constexpr unsigned TooManyRequests{429};
    constexpr unsigned ServiceUnavailable{503};
    return status == TooManyRequests || status == ServiceUnavailable;
}

milliseconds toWholeMilliseconds(duration span) noexcept
{
    return std::max(milliseconds{1}, std::chrono::duration_cast<milliseconds>(span));
}

/** Returns whether the target's response indicates that it did not run the request. */
bool indicatesNotRun(const http_response &response, const header_names &headers)
{
    return response.count(toBeast(headers.notRun)) > 0 || response.result() == http::status::misdirected_request;
}

/** Sets a header field, or erases it if the value is empty, so that a value set by the sender of the request is never passed on. */
void setOrErase(http_request &request, const std::string &name, const std::string &value)
{
    if (value.empty()) {
        request.erase(name);
    } else {
        request.set(name, value);
    }
}

} // namespace

target_gateway::target_gateway(
    boost::asio::io_context &context, http_client_pool &client, metrics_registry &metrics, span_sink spans, target_options options)
    : m_context{context}
    , m_client{client}
    , m_spans{std::move(spans)}
    , m_options{std::move(options)}
    , m_ran{metrics.counterFor("ragwortpin_target_requests_total{outcome=\"ran\"}")}
    , m_notRun{metrics.counterFor("ragwortpin_target_requests_total{outcome=\"not_run\"}")}
    , m_unknown{metrics.counterFor("ragwortpin_target_requests_total{outcome=\"unknown\"}")}
    , m_queueTime{metrics.distributionFor("ragwortpin_target_queue_seconds")}
    , m_targetTime{metrics.distributionFor("ragwortpin_target_answer_seconds")}
{
    for (const auto obstacle : SendObstacles) {
        const auto name = "ragwortpin_target_sends_stopped_total{reason=\"" + std::string{toToken(obstacle)} + "\"}";
        m_stopped[static_cast<std::size_t>(obstacle)] = &metrics.counterFor(name);
    }
}

void target_gateway::announce(const target_announcement &announcement, time_point now)
{
    const bool restarted
        = !m_announcement || m_announcement->address != announcement.address || m_announcement->incarnation != announcement.incarnation;
    const auto slots = std::max(1U, static_cast<std::uint32_t>(announcement.slots * m_options.usableSlotFraction));
    if (!m_admission) {
        m_admission = makeAdmission(m_options.admission, slots, announcement.connections, m_options.startsCold, now);
    } else if (restarted || m_announcement->slots != announcement.slots || m_announcement->connections != announcement.connections) {
        applyAdmissionChanges(setCapacity(*m_admission, slots, announcement.connections, now));
    }
    if (restarted && m_announcement) {
        m_client.closeIdleConnections(m_announcement->address);
    }
    m_targetReplaced = false;
    m_announcement = announcement;
    withdrawWaiting();
}

void target_gateway::startDraining()
{
    m_draining = true;
    withdrawWaiting();
}

std::optional<send_obstacle> target_gateway::findObstacleTo(const send_conditions &conditions) const
{
    return findObstacle(conditions, {m_announcement, m_draining, m_targetReplaced}, monotonicNow());
}

/** Ends the wait of the requests that the target may not run any more, so that they can go elsewhere at once. */
void target_gateway::withdrawWaiting()
{
    std::vector<request_id> withdrawn;
    for (const auto &[id, waiter] : m_waiters) {
        const auto obstacle = findObstacleTo(waiter->conditions);
        if (obstacle && *obstacle != send_obstacle::DeadlineExceeded) {
            withdrawn.push_back(id);
        }
    }
    for (const auto id : withdrawn) {
        applyAdmissionChanges(cancel(*m_admission, id, monotonicNow()));
        endWait(id, slot_state::Withdrawn);
    }
}

boost::asio::awaitable<call_answer> target_gateway::run(inbound_call call, double weight)
{
    call.requestId = std::string{call.request[m_options.headers.requestId]};
    const send_conditions conditions{call.definition.service, std::nullopt, {}, call.deadline};
    const auto obstacle = findObstacleTo(conditions);
    if (obstacle && *obstacle != send_obstacle::DeadlineExceeded) {
        co_return refuse(toRefusal(*obstacle), call);
    }
    const auto id = ++m_lastId;
    const auto arrivedAt = monotonicNow();
    const admission_request offered{.id = id,
                                    .rank = call.context.rank,
                                    .workspace = call.context.workspace,
                                    .weight = weight,
                                    .depth = call.context.depth,
                                    .deadline = call.deadline,
                                    .expectedWork = duration::zero(),
                                    .admitProbability = call.context.admitProbability};
    const auto decision = offer(*m_admission, offered, arrivedAt);
    applyAdmissionChanges(decision.changes);
    for (const auto displaced : decision.displaced) {
        endWait(displaced, slot_state::Displaced);
    }
    if (decision.verdict == admission_verdict::Refused) {
        co_return refuse(decision.refusal, call);
    }
    if (decision.verdict == admission_verdict::Queued) {
        const auto state = co_await waitForSlot(id, call.control, conditions);
        if (state == slot_state::Cancelled) {
            co_return refuse(refusal_kind::Cancelled, call);
        }
        if (state == slot_state::Withdrawn) {
            co_return refuseSend(findObstacleTo(conditions).value_or(send_obstacle::NotReady), call);
        }
        if (state != slot_state::Granted) {
            co_return refuse(state == slot_state::Expired ? refusal_kind::DeadlineExceeded : refusal_kind::Overloaded, call);
        }
    }
    m_queueTime.record(monotonicNow() - arrivedAt);
    co_return co_await exchangeWithTarget(call, id);
}

void target_gateway::observeNodeLoad(const loop_load &load, time_point now)
{
    m_callReadDelay = std::clamp(load.delay * CallReadDelayRatio, MinCallReadDelay, MaxCallReadDelay);
    if (!m_admission) {
        return;
    }
    const bool wasLimited{m_processing.limit.has_value()};
    observeLoop(m_processing, load, *m_admission, now);
    if (wasLimited != m_processing.limit.has_value()) {
        logEvent(log_level::Info,
                 wasLimited ? "processing_limit_ended" : "processing_limit_began",
                 {{"limit", std::to_string(limit())},
                  {"target_limit", std::to_string(currentLimit(m_admission->limit))},
                  {"running", std::to_string(m_admission->running.size())},
                  {"utilisation", std::to_string(load.utilisation)},
                  {"delay_ms", std::to_string(std::chrono::duration_cast<milliseconds>(load.delay).count())}});
    }
}

void target_gateway::expireQueued(time_point now)
{
    if (m_admission) {
        applyAdmissionChanges(expire(*m_admission, now));
    }
}

boost::asio::awaitable<target_gateway::slot_state>
target_gateway::waitForSlot(request_id id, std::shared_ptr<call_control> control, send_conditions conditions)
{
    auto waiter = std::make_shared<slot_waiter>(m_context, std::move(conditions));
    m_waiters.emplace(id, waiter);
    control->onCancel([this, id] {
        applyAdmissionChanges(cancel(*m_admission, id, monotonicNow()));
        endWait(id, slot_state::Cancelled);
    });
    while (waiter->state == slot_state::Waiting) {
        co_await waiter->changed.wait();
    }
    control->onCancel(nullptr);
    co_return waiter->state;
}

boost::asio::awaitable<call_answer> target_gateway::exchangeWithTarget(inbound_call &call, request_id id)
{
    if (const auto obstacle = findObstacleTo({call.definition.service, std::nullopt, {}, call.deadline})) {
        applyAdmissionChanges(cancel(*m_admission, id, monotonicNow()));
        co_return refuseSend(*obstacle, call);
    }
    const auto startedAt = monotonicNow();
    const auto startedAtWallClock = wallClockNow();
    const auto parentSpanId = call.context.trace.spanId;
    call.context.trace = makeChildSpan(call.context.trace);
    auto request = std::make_shared<in_flight_request>();
    request->context = call.context;
    request->deadline = call.deadline;
    request->escrow = makeAllowance(call.context.retryAllowance);
    const auto token = m_inFlight.add(request);
    observeStart(m_graph, routeId(call.context.route), startedAt);
    const auto run = m_activeRuns.emplace(deadlineAfter(toWholeMilliseconds(remainingForCallee(call.deadline, startedAt)), startedAt),
                                          active_run{routeId(call.context.route), call.context.rank});
    const auto address = m_announcement->address;
    const auto incarnation = m_announcement->incarnation;
    auto options = m_options.exchange;
    options.expectedId = call.requestId;
    if (!call.definition.retryable) {
        options.maxIdleTime = m_options.maxIdleNonRetryable;
    }
    std::optional<send_obstacle> obstacle;
    const send_conditions conditions{call.definition.service, incarnation, address, call.deadline};
    options.prepare = [this, &obstacle, &conditions](http_request &message) {
        obstacle = findObstacleTo(conditions);
        const auto remaining = toWholeMilliseconds(remainingForCallee(conditions.deadline, monotonicNow()));
        message.set(m_options.headers.deadline, std::to_string(remaining.count()));
        return !obstacle;
    };
    const bool isHead{call.request.method() == http::verb::head};
    auto message = toTargetRequest(call, token, startedAt);
    auto result = co_await m_client.exchange(address, std::move(message), call.deadline, call.control, std::move(options));
    m_inFlight.remove(token);
    m_activeRuns.erase(run);
    observeEnd(m_graph, routeId(call.context.route), monotonicNow() - startedAt, monotonicNow());
    if (request->activeCalls > 0) {
        request->downstreamTime += monotonicNow() - request->callsActiveSince;
    }
    cancelCalls(*request);
    releaseSlot(id, *request, result, call.control->cancelled() || obstacle.has_value());
    m_targetTime.record(monotonicNow() - startedAt);
    auto answer = obstacle ? refuseSend(*obstacle, call) : toAnswer(std::move(result), isHead, call, *request, incarnation);
    logOutcome(call, answer, monotonicNow() - startedAt);
    if (call.context.trace.sampled) {
        m_spans(span{.trace = call.context.trace,
                     .parentSpanId = parentSpanId,
                     .name = "target",
                     .route = call.definition.name,
                     .workspace = call.context.workspace,
                     .start = startedAtWallClock,
                     .end = wallClockNow(),
                     .httpStatus = answer.response.result_int(),
                     .result = answer.result});
    }
    co_return answer;
}

std::optional<unsigned> target_gateway::attributeTargetCall(std::string_view route, time_point callDeadline)
{
    std::vector<std::uint32_t> parents;
    std::optional<unsigned> rank;
    const auto end = m_activeRuns.upper_bound(callDeadline + CallDeadlineEarlyTolerance);
    for (auto run = m_activeRuns.lower_bound(callDeadline - CallDeadlineLateTolerance); run != end; ++run) {
        parents.push_back(run->second.route);
        rank = std::min(run->second.rank, rank.value_or(run->second.rank));
    }
    observeCall(m_graph, routeId(route), parents, monotonicNow());
    return rank;
}

bool target_gateway::mayBeTargetCall(time_point callDeadline) const
{
    const auto run = m_activeRuns.lower_bound(callDeadline - m_callReadDelay);
    return run != m_activeRuns.end() && run->first <= callDeadline + CallDeadlineEarlyTolerance;
}

http_request target_gateway::toTargetRequest(inbound_call &call, const std::string &token, time_point now) const
{
    const auto &headers = m_options.headers;
    auto request = std::move(call.request);
    removeInternalFields(request);
    removeHopByHopFields(request);
    request.set(toBeast(field::Request), token);
    request.set(headers.deadline, std::to_string(toWholeMilliseconds(remainingForCallee(call.deadline, now)).count()));
    setOrErase(request, headers.workspace, call.context.workspace);
    setOrErase(request, headers.callerService, call.context.callerService);
    setOrErase(request, headers.expectedInstance, m_announcement->incarnation);
    request.set("traceparent", formatTraceparent(call.context.trace));
    request.version(11);
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

call_answer target_gateway::refuse(refusal_kind kind, const inbound_call &call)
{
    m_notRun.add();
    const auto retryDelay = m_admission ? retryAfter(*m_admission) : duration{seconds{1}};
    auto answer = refuseCall(kind, outcome::NotRun, call.context.retryAllowance, retryDelay);
    setLoad(answer, call.context.workspace, {});
    logOutcome(call, answer, duration::zero());
    return answer;
}

/** Refuses a request whose send was stopped. It has not run, and its sender may send it elsewhere. */
call_answer target_gateway::refuseSend(send_obstacle obstacle, const inbound_call &call)
{
    m_stopped[static_cast<std::size_t>(obstacle)]->add();
    return refuse(toRefusal(obstacle), call);
}

/** Logs the state of the last hop for each request that was refused or that the target answered with a server error. */
void target_gateway::logOutcome(const inbound_call &call, const call_answer &answer, duration elapsed) const
{
    constexpr unsigned FirstServerError{500};
    const auto status = answer.response.result_int();
    if (!answer.refusal && status < FirstServerError) {
        return;
    }
    logDecision(log_weight::Important,
                "last_hop",
                {{"id", call.requestId},
                 {"route", call.context.route},
                 {"rank", std::to_string(call.context.rank)},
                 {"status", std::to_string(status)},
                 {"outcome", std::string{toToken(answer.result)}},
                 {"refusal", answer.refusal ? std::string{describe(*answer.refusal).token} : std::string{}},
                 {"incarnation", m_announcement ? m_announcement->incarnation : std::string{}},
                 {"draining", m_draining ? "true" : "false"},
                 {"running", std::to_string(m_admission ? m_admission->running.size() : 0)},
                 {"queued", std::to_string(m_admission ? m_admission->queue.size() : 0)},
                 {"limit", std::to_string(m_admission ? currentLimit(m_admission->limit) : 0)},
                 {"at_target_ms", std::to_string(std::chrono::duration_cast<milliseconds>(elapsed).count())},
                 {"left_ms", std::to_string(std::chrono::duration_cast<milliseconds>(call.deadline - monotonicNow()).count())}});
}

/** Records that the target is not the incarnation that a request was meant for. A refusal of an earlier one says nothing of the latest. */
void target_gateway::observeMisdirected(const std::string &incarnation)
{
    if (m_announcement->incarnation == incarnation) {
        m_targetReplaced = true;
        m_options.refuted(incarnation);
        withdrawWaiting();
    }
}

call_answer target_gateway::toAnswer(
    exchange_result result, bool isHead, const inbound_call &call, const in_flight_request &request, const std::string &incarnation)
{
    call_answer answer;
    if (result.progress == exchange_progress::Answered && indicatesNotRun(*result.response, m_options.headers)) {
        m_notRun.add();
        const bool misdirected{result.response->result() == http::status::misdirected_request};
        if (misdirected) {
            observeMisdirected(incarnation);
        }
        const auto kind = misdirected ? refusal_kind::NotReady : refusal_kind::Overloaded;
        answer = refuseCall(kind, outcome::NotRun, unusedAllowance(request.escrow), retryAfter(*m_admission));
        answer.arrivals = 1;
    } else if (result.progress == exchange_progress::Answered) {
        m_ran.add();
        answer.response = std::move(*result.response);
        removeInternalFields(answer.response);
        removeHopByHopFields(answer.response);
        setRelayedLength(answer.response, isHead);
        answer.result = outcome::Ran;
        answer.arrivals = 1;
        answer.unusedAllowance = unusedAllowance(request.escrow);
    } else if (result.progress == exchange_progress::NotSent) {
        const auto kind = call.control->cancelled() ? refusal_kind::Cancelled : refusal_kind::NoInstance;
        m_notRun.add();
        answer = refuseCall(kind, outcome::NotRun, unusedAllowance(request.escrow), seconds{1});
    } else {
        const bool isPastDeadline = monotonicNow() >= call.deadline;
        m_unknown.add();
        answer = refuseCall(
            isPastDeadline ? refusal_kind::DeadlineExceeded : refusal_kind::AnswerLost, outcome::Unknown, unusedAllowance(request.escrow));
        answer.arrivals = 1;
    }
    setLoad(answer, call.context.workspace, request.level);
    return answer;
}

void target_gateway::releaseSlot(request_id id, const in_flight_request &request, const exchange_result &result, bool cancelled)
{
    const auto now = monotonicNow();
    if (cancelled) {
        applyAdmissionChanges(cancel(*m_admission, id, now));
        return;
    }
    const bool answered = result.progress == exchange_progress::Answered;
    const completion finished{.id = id,
                              .downstreamTime = request.downstreamTime,
                              .rejected = answered && isOverloadStatus(result.response->result_int()),
                              .timedOut = !answered};
    applyAdmissionChanges(complete(*m_admission, finished, now));
}

void target_gateway::applyAdmissionChanges(const admission_changes &changes)
{
    for (const auto id : changes.started) {
        endWait(id, slot_state::Granted);
    }
    for (const auto id : changes.expired) {
        endWait(id, slot_state::Expired);
    }
}

void target_gateway::endWait(request_id id, slot_state state)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end()) {
        return;
    }
    found->second->state = state;
    found->second->changed.notifyAll();
    m_waiters.erase(found);
}

void target_gateway::setLoad(call_answer &answer, const std::string &workspace, const shed_level &downstreamLevel)
{
    if (!m_admission) {
        return;
    }
    answer.level = strictest(shedLevel(*m_admission, workspace, monotonicNow()), downstreamLevel);
    answer.load = limit() == 0 ? 1.0 : static_cast<double>(m_admission->running.size() + waiting()) / limit();
}

} // namespace ragwortpin
