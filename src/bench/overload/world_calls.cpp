#include "bench/overload/internal/world_state.h"

#include "ragwortpin/deadlines/deadlines.h"

#include <algorithm>
#include <utility>

namespace ragwortpin::bench::internal {

namespace {

/** Attempts that a common client library makes at each hop, under the baselines. */
constexpr unsigned BaselineAttempts{3};

} // namespace

void world::beginCall(const call_ptr &call)
{
    if (controlled()) {
        observeFirstAttempt(budgetOf(*call));
    }
    sendAttempt(call);
}

std::size_t world::serviceOf(const hop_call &call) const
{
    return m_plan.chain[call.depth];
}

retry_budget &world::budgetOf(const hop_call &call)
{
    return m_fleet.nodes[call.callerNode].budgets[serviceOf(call)];
}

retry_allowance &world::escrowOf(const hop_call &call)
{
    return call.parent ? call.parent->escrow : call.root->escrow;
}

void world::sendAttempt(const call_ptr &call)
{
    fleet_node &caller{m_fleet.nodes[call->callerNode]};
    const auto node = chooseNode(m_fleet, caller, serviceOf(*call), call->tried, now(), m_random);
    if (!node) {
        call_result none;
        none.result = outcome::NotRun;
        none.refusal = refusal_kind::NoInstance;
        finishCall(call, none);
        return;
    }
    call->attempts += 1;
    auto request = std::make_shared<attempt>();
    request->id = ++m_lastId;
    request->call = call;
    request->node = *node;
    request->instance = m_fleet.nodes[*node].name;
    request->grant = grantToCallee(escrowOf(*call));
    request->escrow = makeAllowance(request->grant);
    request->sentAt = now();
    call->current = request;
    beginAttempt(caller.routing[serviceOf(*call)], call->tried.back(), now());
    m_events.after(delayBetween(m_fleet, caller, m_fleet.nodes[*node]), [this, request] {
        arrive(request);
    });
    m_events.after(attemptTimeout(*call), [this, request] {
        timeOut(request);
    });
}

duration world::attemptTimeout(const hop_call &call) const
{
    return controlled() ? std::max(duration{0}, call.deadline - now()) : m_plan.clientTimeout;
}

void world::arrive(const attempt_ptr &request)
{
    fleet_node &node{m_fleet.nodes[request->node]};
    if (request->call->depth + 1 == m_plan.chain.size() && request->call->root->counted) {
        m_result.deepestAttempts += 1;
        request->call->root->deepestAttempts += 1;
        m_result.mostDeepestAttempts = std::max(m_result.mostDeepestAttempts, request->call->root->deepestAttempts);
    }
    if (!node.alive || node.draining) {
        call_result gone;
        gone.result = outcome::NotRun;
        gone.kind = node.alive ? attempt_kind::NotServing : attempt_kind::Failed;
        gone.refusal = node.alive ? std::optional{refusal_kind::Draining} : std::nullopt;
        reply(request, gone);
        return;
    }
    if (uniform() < m_fleet.broken[node.service]) {
        call_result broken;
        broken.result = outcome::NotRun;
        reply(request, broken);
        return;
    }
    m_attempts.emplace(request->id, request);
    const auto decision = offerTo(node, *request);
    refuseAll(decision.displaced, refusal_kind::Overloaded);
    apply(decision.changes);
    if (decision.verdict == admission_verdict::Started) {
        startWork(request);
    } else if (decision.verdict == admission_verdict::Refused) {
        refuse(request, decision.refusal);
    }
}

admission_decision world::offerTo(fleet_node &node, const attempt &request)
{
    if (!controlled()) {
        return offer(node.gate, request.id, now());
    }
    const root_request &root{*request.call->root};
    const tenant &sender{m_plan.tenants[root.user->tenant]};
    admission_request asked;
    asked.id = request.id;
    asked.rank = root.user->rank;
    asked.workspace = sender.name;
    asked.weight = sender.weight;
    asked.depth = request.call->depth;
    asked.deadline = request.call->deadline;
    asked.admitProbability = root.probability;
    return offer(node.admission, asked, now());
}

void world::apply(const admission_changes &changes)
{
    refuseAll(changes.expired, refusal_kind::DeadlineExceeded);
    for (const request_id id : changes.started) {
        startWork(m_attempts.at(id));
    }
}

void world::refuseAll(const std::vector<request_id> &ids, refusal_kind refusal)
{
    for (const request_id id : ids) {
        const attempt_ptr request{m_attempts.at(id)};
        refuse(request, refusal);
    }
}

void world::refuse(const attempt_ptr &request, refusal_kind refusal)
{
    call_result result;
    result.result = outcome::NotRun;
    result.refusal = refusal;
    result.kind = refusal == refusal_kind::Overloaded ? attempt_kind::Overloaded : attempt_kind::Cancelled;
    reply(request, result);
}

void world::startWork(const attempt_ptr &request)
{
    request->running = true;
    if (!m_fleet.nodes[request->node].hanging) {
        work(request, [this, request] {
            callOnward(request);
        });
    }
}

void world::work(const attempt_ptr &request, std::function<void()> next)
{
    const duration span{drawServiceTime(m_fleet, m_fleet.nodes[request->node], now(), m_random) / 2};
    m_events.after(span, [request, span, next = std::move(next)] {
        if (request->replied) {
            return;
        }
        request->call->root->work += toSeconds(span);
        next();
    });
}

void world::callOnward(const attempt_ptr &request)
{
    if (request->call->depth + 1 == m_plan.chain.size()) {
        work(request, [this, request] {
            finishWork(request, true);
        });
        return;
    }
    auto call = std::make_shared<hop_call>();
    call->root = request->call->root;
    call->parent = request;
    call->callerNode = request->node;
    call->depth = request->call->depth + 1;
    call->deadline = now() + remainingForCallee(request->call->deadline, now());
    call->done = [this, request, sentAt = now()](const call_result &result) {
        request->downstream = now() - sentAt;
        request->level = strictest(request->level, result.level);
        if (!result.answered) {
            finishWork(request, false);
            return;
        }
        work(request, [this, request] {
            finishWork(request, true);
        });
    };
    request->child = call;
    beginCall(call);
}

void world::finishWork(const attempt_ptr &request, bool answered)
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

void world::releaseSlot(const attempt_ptr &request, bool timedOut)
{
    fleet_node &node{m_fleet.nodes[request->node]};
    request->running = false;
    if (controlled()) {
        apply(complete(node.admission, completion{request->id, request->downstream, false, timedOut}, now()));
    } else if (!timedOut) {
        apply(complete(node.gate, request->id, now()));
    }
}

void world::reply(const attempt_ptr &request, call_result result)
{
    fleet_node &node{m_fleet.nodes[request->node]};
    request->replied = true;
    m_attempts.erase(request->id);
    if (request->running) {
        releaseSlot(request, false);
    }
    if (request->atDrain && result.result == outcome::Unknown) {
        m_result.cutByDrain += 1;
    }
    if (controlled()) {
        result.level = strictest(request->level, shedLevel(node.admission, tenantOf(*request).name, now()));
        result.load = node.lying ? 0.0 : utilisation(node.admission);
    }
    result.unused = unusedAllowance(request->escrow);
    m_events.after(delayBetween(m_fleet, node, m_fleet.nodes[request->call->callerNode]), [this, request, result] {
        receive(request, result);
    });
}

const tenant &world::tenantOf(const attempt &request) const
{
    return m_plan.tenants[request.call->root->user->tenant];
}

void world::observe(const attempt &request, attempt_kind kind, std::optional<load_report> report)
{
    routing_state &routing{m_fleet.nodes[request.call->callerNode].routing[serviceOf(*request.call)]};
    const auto index = findInstance(routing, request.instance);
    if (index) {
        observeAttempt(routing, *index, attempt_result{kind, now() - request.sentAt, report}, now());
    }
}

void world::receive(const attempt_ptr &request, const call_result &result)
{
    if (request->abandoned) {
        return;
    }
    request->abandoned = true;
    observe(*request, result.kind, load_report{result.load});
    settleGrant(escrowOf(*request->call), request->grant, result.unused);
    conclude(request->call, result);
}

void world::conclude(const call_ptr &call, const call_result &result)
{
    if (call->finished) {
        return;
    }
    if (!result.answered && retries(*call, result)) {
        call->overloads += result.refusal == refusal_kind::Overloaded ? 1 : 0;
        if (call->parent) {
            call->parent->level = strictest(call->parent->level, result.level);
        }
        sendAttempt(call);
        return;
    }
    finishCall(call, result);
}

bool world::retries(hop_call &call, const call_result &result)
{
    if (!controlled()) {
        return call.attempts < BaselineAttempts;
    }
    failed_attempt failed;
    failed.result = result.result;
    failed.refusal = result.refusal;
    failed.failedAtCallee = result.failedAtCallee;
    failed.retryable = call.root->user->rank > 0;
    failed.once = call.root->user->rank == 0;
    failed.earlierOverloadRefusals = call.overloads;
    failed.remaining = call.deadline - now();
    return acquireRetry(failed, escrowOf(call), budgetOf(call)) == retry_verdict::Retry;
}

void world::finishCall(const call_ptr &call, const call_result &result)
{
    if (!call->finished) {
        call->finished = true;
        call->done(result);
    }
}

void world::timeOut(const attempt_ptr &request)
{
    if (request->abandoned) {
        return;
    }
    request->abandoned = true;
    observe(*request, attempt_kind::TimedOut, std::nullopt);
    forfeitGrant(escrowOf(*request->call), request->grant);
    if (controlled()) {
        sendCancel(request);
    }
    conclude(request->call, call_result{});
}

void world::sendCancel(const attempt_ptr &request)
{
    const fleet_node &caller{m_fleet.nodes[request->call->callerNode]};
    m_events.after(delayBetween(m_fleet, caller, m_fleet.nodes[request->node]), [this, request] {
        cancelAt(request);
    });
}

void world::cancelAt(const attempt_ptr &request)
{
    if (request->replied) {
        return;
    }
    request->replied = true;
    m_attempts.erase(request->id);
    if (request->running) {
        releaseSlot(request, true);
    } else {
        apply(cancel(m_fleet.nodes[request->node].admission, request->id, now()));
    }
    if (request->child && !request->child->finished) {
        request->child->finished = true;
        if (const auto child = request->child->current.lock(); child && !child->abandoned) {
            child->abandoned = true;
            observe(*child, attempt_kind::Cancelled, std::nullopt);
            sendCancel(child);
        }
    }
}

} // namespace ragwortpin::bench::internal
