#include "bench/overload/world.h"

#include "bench/overload/internal/world_state.h"

#include <algorithm>
#include <utility>

namespace ragwortpin::bench {

namespace internal {

namespace {

/** Delay between a membership change and the update of the membership views of all nodes. */
constexpr duration MembershipDelay{milliseconds{2000}};

} // namespace

simulation::simulation(const scenario &plan)
    : m_plan{plan}
    , m_random{plan.seed}
    , m_fleet{makeFleet(plan.deployment, plan.policy, m_events.now())}
{
    m_result.byRank.resize(plan.rankShares.size());
    m_result.byWorkspace.resize(plan.workspaces.size());
    const auto windows = static_cast<std::size_t>(plan.length / WindowLength);
    m_result.windows.resize(windows);
    m_result.measuredSeconds = toSeconds(plan.length - plan.warmUp);
}

run_result simulation::run()
{
    for (const auto &fault : m_plan.faults) {
        scheduleFault(fault);
    }
    for (std::size_t workspace{0}; workspace < m_plan.workspaces.size(); ++workspace) {
        scheduleArrival(workspace);
    }
    m_events.runUntil(time_point{m_plan.length + m_plan.clientTimeout + MembershipDelay});
    for (const auto &clientAttempt : m_clientAttempts) {
        (clientAttempt->answered ? m_result.usefulWorkSeconds : m_result.wastedWorkSeconds) += clientAttempt->workSeconds;
    }
    return std::move(m_result);
}

void simulation::scheduleFault(const fault_spec &fault)
{
    m_events.after(fault.from.time_since_epoch(), [this, fault] {
        beginFault(m_fleet, fault, now());
        markInFlightAtDrain(fault);
        failInFlightOnDeadNodes();
    });
    const bool membershipChanges{fault.kind == fault_kind::Drain || fault.kind == fault_kind::ZoneOutage};
    if (membershipChanges) {
        m_events.after(fault.from.time_since_epoch() + MembershipDelay, [this] {
            updateMembership(m_fleet, now());
        });
    } else {
        m_events.after(fault.until.time_since_epoch(), [this, fault] {
            endFault(m_fleet, fault, now());
        });
    }
}

void simulation::markInFlightAtDrain(const fault_spec &fault)
{
    if (fault.kind != fault_kind::Drain) {
        return;
    }
    for (auto &[id, request] : m_attempts) {
        request->inFlightAtDrain = m_fleet.nodes[request->node].draining;
    }
}

void simulation::failInFlightOnDeadNodes()
{
    std::vector<hop_attempt_ptr> lostAttempts;
    for (auto &[id, request] : m_attempts) {
        if (!m_fleet.nodes[request->node].alive) {
            lostAttempts.push_back(request);
        }
    }
    std::sort(lostAttempts.begin(), lostAttempts.end(), [](const auto &left, const auto &right) {
        return left->id < right->id;
    });
    for (const auto &request : lostAttempts) {
        reply(request, call_result{});
    }
}

void simulation::scheduleArrival(std::size_t workspace)
{
    const double rate{m_plan.workspaces[workspace].load * capacityOf(m_plan.deployment, m_plan.chain)};
    if (rate <= 0.0) {
        return;
    }
    const double gap{std::exponential_distribution<double>{rate}(m_random)};
    m_events.after(fromSeconds(gap), [this, workspace] {
        if (now() >= time_point{m_plan.length}) {
            return;
        }
        startUserRequest(workspace);
        scheduleArrival(workspace);
    });
}

void simulation::startUserRequest(std::size_t workspace)
{
    auto user = std::make_shared<user_request>(user_request{workspace, drawRank(), now(), 0});
    count(*user, &request_counts::arrived, now());
    sendClientAttempt(user);
}

unsigned simulation::drawRank()
{
    double left{uniform()};
    for (unsigned rank{0}; rank + 1 < m_plan.rankShares.size(); ++rank) {
        left -= m_plan.rankShares[rank];
        if (left < 0.0) {
            return rank;
        }
    }
    return static_cast<unsigned>(m_plan.rankShares.size() - 1);
}

void simulation::count(const user_request &user, std::uint64_t request_counts::*member, time_point at)
{
    const auto window = static_cast<std::size_t>(at.time_since_epoch() / WindowLength);
    if (window < m_result.windows.size()) {
        m_result.windows[window].*member += 1;
    }
    if (at >= time_point{m_plan.warmUp} && at < time_point{m_plan.length}) {
        m_result.total.*member += 1;
        m_result.byRank[user.rank].*member += 1;
        m_result.byWorkspace[user.workspace].*member += 1;
    }
}

std::size_t simulation::drawEntryNode()
{
    for (;;) {
        const std::size_t node{m_random() % m_fleet.nodes.size()};
        if (m_fleet.nodes[node].alive) {
            return node;
        }
    }
}

void simulation::sendClientAttempt(const std::shared_ptr<user_request> &user)
{
    user->attempts += 1;
    auto clientAttempt = std::make_shared<client_attempt>();
    clientAttempt->user = user;
    clientAttempt->entryNode = drawEntryNode();
    clientAttempt->deadline = now() + m_plan.clientTimeout;
    clientAttempt->escrow = makeAllowance(usesProductPolicy() ? DefaultRetryAllowance : 0);
    m_events.after(m_plan.clientTimeout, [this, clientAttempt] {
        finishClientAttempt(clientAttempt, false);
    });
    m_events.after(m_plan.deployment.clientDelay, [this, clientAttempt] {
        enterFirstHop(clientAttempt);
    });
}

void simulation::enterFirstHop(const client_attempt_ptr &clientAttempt)
{
    const workspace_spec &sender{m_plan.workspaces[clientAttempt->user->workspace]};
    if (usesProductPolicy()) {
        const auto &memory = m_fleet.nodes[clientAttempt->entryNode].shedMemory;
        const auto decision = admitAtFirstHop(memory, "chain", sender.name, clientAttempt->user->rank, uniform(), now());
        clientAttempt->admitProbability = decision.probability;
        if (!decision.admitted) {
            answerClient(clientAttempt, false);
            return;
        }
    }
    if (now() >= time_point{m_plan.warmUp}) {
        m_result.admittedClientAttempts += 1;
        clientAttempt->counted = true;
        m_clientAttempts.push_back(clientAttempt);
    }
    auto call = std::make_shared<hop_call>();
    call->clientAttempt = clientAttempt;
    call->callerNode = clientAttempt->entryNode;
    call->deadline = clientAttempt->deadline - m_plan.deployment.clientDelay;
    call->onFinished = [this, clientAttempt](const call_result &result) {
        observeLevel(*clientAttempt, result.level);
        answerClient(clientAttempt, result.answered);
    };
    beginCall(call);
}

void simulation::observeLevel(const client_attempt &clientAttempt, const shed_level &level)
{
    if (usesProductPolicy()) {
        auto &memory = m_fleet.nodes[clientAttempt.entryNode].shedMemory;
        observeShedLevel(memory, "chain", m_plan.workspaces[clientAttempt.user->workspace].name, level, now());
    }
}

void simulation::answerClient(const client_attempt_ptr &clientAttempt, bool answered)
{
    m_events.after(m_plan.deployment.clientDelay, [this, clientAttempt, answered] {
        finishClientAttempt(clientAttempt, answered);
    });
}

void simulation::finishClientAttempt(const client_attempt_ptr &clientAttempt, bool answered)
{
    if (clientAttempt->finished) {
        return;
    }
    clientAttempt->finished = true;
    clientAttempt->answered = answered;
    if (answered) {
        count(*clientAttempt->user, &request_counts::answered, clientAttempt->user->arrivedAt);
        count(*clientAttempt->user, &request_counts::completed, now());
    } else if (clientAttempt->user->attempts <= m_plan.clientRetries) {
        m_events.after(m_plan.clientRetryDelay, [this, user = clientAttempt->user] {
            sendClientAttempt(user);
        });
    }
}

} // namespace internal

run_result run(const scenario &plan)
{
    return internal::simulation{plan}.run();
}

} // namespace ragwortpin::bench
