#include "bench/overload/internal/world_state.h"

#include "ragwortpin/deadlines/deadlines.h"

#include <algorithm>
#include <utility>

namespace ragwortpin::bench::internal {

namespace {

/** Attempts per hop under the baseline policies, as a common client library makes them. */
constexpr unsigned BaselineAttempts{3};

} // namespace

void simulation::beginCall(const call_ptr &call)
{
    if (usesProductPolicy()) {
        observeFirstAttempt(budgetOf(*call));
    }
    sendAttempt(call);
}

std::size_t simulation::serviceOf(const hop_call &call) const
{
    return m_plan.chain[call.depth];
}

retry_budget &simulation::budgetOf(const hop_call &call)
{
    return m_fleet.nodes[call.callerNode].retryBudgets[serviceOf(call)];
}

retry_allowance &simulation::escrowOf(const hop_call &call)
{
    return call.parent ? call.parent->escrow : call.clientAttempt->escrow;
}

void simulation::sendAttempt(const call_ptr &call)
{
    fleet_node &caller{m_fleet.nodes[call->callerNode]};
    const auto node = chooseNode(m_fleet, caller, serviceOf(*call), call->tried, now(), m_random);
    if (!node) {
        call_result noInstance;
        noInstance.result = outcome::NotRun;
        noInstance.refusal = refusal_kind::NoInstance;
        finishCall(call, noInstance);
        return;
    }
    call->attempts += 1;
    auto request = std::make_shared<hop_attempt>();
    request->id = ++m_lastRequestId;
    request->call = call;
    request->node = *node;
    request->instance = m_fleet.nodes[*node].name;
    request->grant = grantToCallee(escrowOf(*call));
    request->escrow = makeAllowance(request->grant);
    request->sentAt = now();
    call->currentAttempt = request;
    beginAttempt(caller.routing[serviceOf(*call)], call->tried.back(), now());
    m_events.after(delayBetween(m_fleet, caller, m_fleet.nodes[*node]), [this, request] {
        arriveAtTarget(request);
    });
    m_events.after(attemptTimeout(*call), [this, request] {
        timeOutAttempt(request);
    });
}

duration simulation::attemptTimeout(const hop_call &call) const
{
    return usesProductPolicy() ? std::max(duration{0}, call.deadline - now()) : m_plan.clientTimeout;
}

void simulation::arriveAtTarget(const hop_attempt_ptr &request)
{
    fleet_node &node{m_fleet.nodes[request->node]};
    if (request->call->depth + 1 == m_plan.chain.size() && request->call->clientAttempt->counted) {
        m_result.deepestAttempts += 1;
        request->call->clientAttempt->deepestAttempts += 1;
        m_result.maxDeepestAttempts = std::max(m_result.maxDeepestAttempts, request->call->clientAttempt->deepestAttempts);
    }
    if (!node.alive || node.draining) {
        call_result unavailable;
        unavailable.result = outcome::NotRun;
        unavailable.kind = node.alive ? attempt_kind::NotServing : attempt_kind::Failed;
        unavailable.refusal = node.alive ? std::optional{refusal_kind::Draining} : std::nullopt;
        reply(request, unavailable);
        return;
    }
    if (uniform() < m_fleet.connectionFailureRatios[node.service]) {
        call_result connectionFailure;
        connectionFailure.result = outcome::NotRun;
        reply(request, connectionFailure);
        return;
    }
    m_attempts.emplace(request->id, request);
    const auto decision = offerTo(node, *request);
    refuseRequests(decision.displaced, refusal_kind::Overloaded);
    applyChanges(decision.changes);
    if (decision.verdict == admission_verdict::Started) {
        startWork(request);
    } else if (decision.verdict == admission_verdict::Refused) {
        refuse(request, decision.refusal);
    }
}

admission_decision simulation::offerTo(fleet_node &node, const hop_attempt &request)
{
    if (!usesProductPolicy()) {
        return offer(node.limiter, request.id, now());
    }
    const client_attempt &clientAttempt{*request.call->clientAttempt};
    const workspace_spec &sender{m_plan.workspaces[clientAttempt.user->workspace]};
    admission_request admissionRequest;
    admissionRequest.id = request.id;
    admissionRequest.rank = clientAttempt.user->rank;
    admissionRequest.workspace = sender.name;
    admissionRequest.weight = sender.weight;
    admissionRequest.depth = request.call->depth;
    admissionRequest.deadline = request.call->deadline;
    admissionRequest.admitProbability = clientAttempt.admitProbability;
    return offer(node.admission, admissionRequest, now());
}

void simulation::applyChanges(const admission_changes &changes)
{
    refuseRequests(changes.expired, refusal_kind::DeadlineExceeded);
    for (const request_id id : changes.started) {
        startWork(m_attempts.at(id));
    }
}

void simulation::refuseRequests(const std::vector<request_id> &ids, refusal_kind refusal)
{
    for (const request_id id : ids) {
        const hop_attempt_ptr request{m_attempts.at(id)};
        refuse(request, refusal);
    }
}

void simulation::refuse(const hop_attempt_ptr &request, refusal_kind refusal)
{
    call_result result;
    result.result = outcome::NotRun;
    result.refusal = refusal;
    result.kind = refusal == refusal_kind::Overloaded ? attempt_kind::Overloaded : attempt_kind::Cancelled;
    reply(request, result);
}

void simulation::startWork(const hop_attempt_ptr &request)
{
    request->running = true;
    if (!m_fleet.nodes[request->node].hanging) {
        workForHalfServiceTime(request, [this, request] {
            callNextHop(request);
        });
    }
}

void simulation::workForHalfServiceTime(const hop_attempt_ptr &request, std::function<void()> next)
{
    const duration span{drawServiceTime(m_fleet, m_fleet.nodes[request->node], now(), m_random) / 2};
    m_events.after(span, [request, span, next = std::move(next)] {
        if (request->replied) {
            return;
        }
        request->call->clientAttempt->workSeconds += toSeconds(span);
        next();
    });
}

void simulation::callNextHop(const hop_attempt_ptr &request)
{
    if (request->call->depth + 1 == m_plan.chain.size()) {
        workForHalfServiceTime(request, [this, request] {
            finishWork(request, true);
        });
        return;
    }
    auto call = std::make_shared<hop_call>();
    call->clientAttempt = request->call->clientAttempt;
    call->parent = request;
    call->callerNode = request->node;
    call->depth = request->call->depth + 1;
    call->deadline = now() + remainingForCallee(request->call->deadline, now());
    call->onFinished = [this, request, sentAt = now()](const call_result &result) {
        request->downstreamTime = now() - sentAt;
        request->level = strictest(request->level, result.level);
        if (!result.answered) {
            finishWork(request, false);
            return;
        }
        workForHalfServiceTime(request, [this, request] {
            finishWork(request, true);
        });
    };
    request->child = call;
    beginCall(call);
}

void simulation::finishWork(const hop_attempt_ptr &request, bool answered)
{
    if (request->replied) {
        return;
    }
    call_result result;
    result.answered = answered;
    result.result = outcome::Ran;
    result.failedAtCallee = false;
    result.kind = attempt_kind::Answered;
    reply(request, result);
}

void simulation::releaseSlot(const hop_attempt_ptr &request, bool timedOut)
{
    fleet_node &node{m_fleet.nodes[request->node]};
    request->running = false;
    if (usesProductPolicy()) {
        applyChanges(complete(node.admission, completion{request->id, request->downstreamTime, false, timedOut}, now()));
    } else if (!timedOut) {
        applyChanges(complete(node.limiter, request->id, now()));
    }
}

void simulation::reply(const hop_attempt_ptr &request, call_result result)
{
    fleet_node &node{m_fleet.nodes[request->node]};
    request->replied = true;
    m_attempts.erase(request->id);
    if (request->running) {
        releaseSlot(request, false);
    }
    if (request->inFlightAtDrain && result.result == outcome::Unknown) {
        m_result.lostToDrain += 1;
    }
    if (usesProductPolicy()) {
        result.level = strictest(request->level, shedLevel(node.admission, workspaceOf(*request).name, now()));
        result.load = node.reportsNoLoad ? 0.0 : utilisation(node.admission);
    }
    result.unusedAllowance = unusedAllowance(request->escrow);
    m_events.after(delayBetween(m_fleet, node, m_fleet.nodes[request->call->callerNode]), [this, request, result] {
        receive(request, result);
    });
}

const workspace_spec &simulation::workspaceOf(const hop_attempt &request) const
{
    return m_plan.workspaces[request.call->clientAttempt->user->workspace];
}

void simulation::recordOutcome(const hop_attempt &request, attempt_kind kind, std::optional<load_report> report)
{
    routing_state &routing{m_fleet.nodes[request.call->callerNode].routing[serviceOf(*request.call)]};
    const auto index = findInstance(routing, request.instance);
    if (index) {
        observeAttempt(routing, *index, attempt_result{kind, now() - request.sentAt, report}, now());
    }
}

void simulation::receive(const hop_attempt_ptr &request, const call_result &result)
{
    if (request->settled) {
        return;
    }
    request->settled = true;
    recordOutcome(*request, result.kind, load_report{result.load});
    settleGrant(escrowOf(*request->call), request->grant, result.unusedAllowance);
    retryOrFinish(request->call, result);
}

void simulation::retryOrFinish(const call_ptr &call, const call_result &result)
{
    if (call->finished) {
        return;
    }
    if (!result.answered && shouldRetry(*call, result)) {
        call->overloadRefusals += result.refusal == refusal_kind::Overloaded ? 1 : 0;
        if (call->parent) {
            call->parent->level = strictest(call->parent->level, result.level);
        }
        sendAttempt(call);
        return;
    }
    finishCall(call, result);
}

bool simulation::shouldRetry(hop_call &call, const call_result &result)
{
    if (!usesProductPolicy()) {
        return call.attempts < BaselineAttempts;
    }
    failed_attempt failed;
    failed.result = result.result;
    failed.refusal = result.refusal;
    failed.failedAtCallee = result.failedAtCallee;
    failed.retryable = call.clientAttempt->user->rank > 0;
    failed.once = call.clientAttempt->user->rank == 0;
    failed.earlierOverloadRefusals = call.overloadRefusals;
    failed.remaining = call.deadline - now();
    return acquireRetry(failed, escrowOf(call), budgetOf(call)) == retry_verdict::Retry;
}

void simulation::finishCall(const call_ptr &call, const call_result &result)
{
    if (!call->finished) {
        call->finished = true;
        call->onFinished(result);
    }
}

void simulation::timeOutAttempt(const hop_attempt_ptr &request)
{
    if (request->settled) {
        return;
    }
    request->settled = true;
    recordOutcome(*request, attempt_kind::TimedOut, std::nullopt);
    forfeitGrant(escrowOf(*request->call), request->grant);
    if (usesProductPolicy()) {
        sendCancel(request);
    }
    retryOrFinish(request->call, call_result{});
}

void simulation::sendCancel(const hop_attempt_ptr &request)
{
    const fleet_node &caller{m_fleet.nodes[request->call->callerNode]};
    m_events.after(delayBetween(m_fleet, caller, m_fleet.nodes[request->node]), [this, request] {
        cancelAtTarget(request);
    });
}

void simulation::cancelAtTarget(const hop_attempt_ptr &request)
{
    if (request->replied) {
        return;
    }
    request->replied = true;
    m_attempts.erase(request->id);
    if (request->running) {
        releaseSlot(request, true);
    } else {
        applyChanges(cancel(m_fleet.nodes[request->node].admission, request->id, now()));
    }
    if (request->child && !request->child->finished) {
        request->child->finished = true;
        if (const auto child = request->child->currentAttempt.lock(); child && !child->settled) {
            child->settled = true;
            recordOutcome(*child, attempt_kind::Cancelled, std::nullopt);
            sendCancel(child);
        }
    }
}

} // namespace ragwortpin::bench::internal
