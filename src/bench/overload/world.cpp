#include "bench/overload/world.h"

#include "bench/overload/internal/world_state.h"

#include <algorithm>
#include <utility>

namespace ragwortpin::bench {

namespace internal {

namespace {

/** Time after a change until every node's membership shows it. */
constexpr duration MembershipDelay{milliseconds{2000}};

} // namespace

world::world(const scenario &plan)
    : m_plan{plan}
    , m_random{plan.seed}
    , m_fleet{makeFleet(plan.place, plan.policy, m_events.now())}
{
    m_result.byRank.resize(plan.rankShares.size());
    m_result.byTenant.resize(plan.tenants.size());
    const auto windows = static_cast<std::size_t>(plan.length / WindowLength);
    m_result.windows.resize(windows);
    m_result.measuredSeconds = toSeconds(plan.length - plan.warmUp);
}

run_result world::run()
{
    for (const auto &cause : m_plan.faults) {
        scheduleFault(cause);
    }
    for (std::size_t tenant{0}; tenant < m_plan.tenants.size(); ++tenant) {
        scheduleArrival(tenant);
    }
    m_events.runUntil(time_point{m_plan.length + m_plan.clientTimeout + MembershipDelay});
    for (const auto &root : m_roots) {
        (root->answered ? m_result.usefulWork : m_result.wastedWork) += root->work;
    }
    return std::move(m_result);
}

void world::scheduleFault(const fault &cause)
{
    m_events.after(cause.from.time_since_epoch(), [this, cause] {
        beginFault(m_fleet, cause, now());
        markInFlightAtDrain(cause);
        failInFlightOfDead();
    });
    const bool membershipChanges{cause.kind == fault_kind::Leave || cause.kind == fault_kind::ZoneGone};
    if (membershipChanges) {
        m_events.after(cause.from.time_since_epoch() + MembershipDelay, [this] {
            announceMembership(m_fleet, now());
        });
    } else {
        m_events.after(cause.until.time_since_epoch(), [this, cause] {
            endFault(m_fleet, cause, now());
        });
    }
}

void world::markInFlightAtDrain(const fault &cause)
{
    if (cause.kind != fault_kind::Leave) {
        return;
    }
    for (auto &[id, request] : m_attempts) {
        request->atDrain = m_fleet.nodes[request->node].draining;
    }
}

void world::failInFlightOfDead()
{
    std::vector<attempt_ptr> broken;
    for (auto &[id, request] : m_attempts) {
        if (!m_fleet.nodes[request->node].alive) {
            broken.push_back(request);
        }
    }
    std::sort(broken.begin(), broken.end(), [](const auto &left, const auto &right) {
        return left->id < right->id;
    });
    for (const auto &request : broken) {
        reply(request, call_result{});
    }
}

void world::scheduleArrival(std::size_t tenant)
{
    const double rate{m_plan.tenants[tenant].load * capacityOf(m_plan.place, m_plan.chain)};
    if (rate <= 0.0) {
        return;
    }
    const double gap{std::exponential_distribution<double>{rate}(m_random)};
    m_events.after(fromSeconds(gap), [this, tenant] {
        if (now() >= time_point{m_plan.length}) {
            return;
        }
        arriveUser(tenant);
        scheduleArrival(tenant);
    });
}

void world::arriveUser(std::size_t tenant)
{
    auto user = std::make_shared<user_request>(user_request{tenant, drawRank(), now(), 0});
    count(*user, &tally::arrived, now());
    sendRoot(user);
}

unsigned world::drawRank()
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

void world::count(const user_request &user, std::uint64_t tally::*member, time_point at)
{
    const auto window = static_cast<std::size_t>(at.time_since_epoch() / WindowLength);
    if (window < m_result.windows.size()) {
        m_result.windows[window].*member += 1;
    }
    if (at >= time_point{m_plan.warmUp} && at < time_point{m_plan.length}) {
        m_result.total.*member += 1;
        m_result.byRank[user.rank].*member += 1;
        m_result.byTenant[user.tenant].*member += 1;
    }
}

std::size_t world::drawFirstNode()
{
    for (;;) {
        const std::size_t node{m_random() % m_fleet.nodes.size()};
        if (m_fleet.nodes[node].alive) {
            return node;
        }
    }
}

void world::sendRoot(const std::shared_ptr<user_request> &user)
{
    user->attempts += 1;
    auto root = std::make_shared<root_request>();
    root->user = user;
    root->firstNode = drawFirstNode();
    root->deadline = now() + m_plan.clientTimeout;
    root->escrow = makeAllowance(controlled() ? DefaultRetryAllowance : 0);
    m_events.after(m_plan.clientTimeout, [this, root] {
        finishRoot(root, false);
    });
    m_events.after(m_plan.place.toClients, [this, root] {
        enterFirstHop(root);
    });
}

void world::enterFirstHop(const root_ptr &root)
{
    const tenant &sender{m_plan.tenants[root->user->tenant]};
    if (controlled()) {
        const auto &memory = m_fleet.nodes[root->firstNode].memory;
        const auto decision = admitAtFirstHop(memory, "chain", sender.name, root->user->rank, uniform(), now());
        root->probability = decision.probability;
        if (!decision.admitted) {
            answerClient(root, false);
            return;
        }
    }
    if (now() >= time_point{m_plan.warmUp}) {
        m_result.roots += 1;
        root->counted = true;
        m_roots.push_back(root);
    }
    auto call = std::make_shared<hop_call>();
    call->root = root;
    call->callerNode = root->firstNode;
    call->deadline = root->deadline - m_plan.place.toClients;
    call->done = [this, root](const call_result &result) {
        learn(*root, result.level);
        answerClient(root, result.answered);
    };
    beginCall(call);
}

void world::learn(const root_request &root, const shed_level &level)
{
    if (controlled()) {
        auto &memory = m_fleet.nodes[root.firstNode].memory;
        observeShedLevel(memory, "chain", m_plan.tenants[root.user->tenant].name, level, now());
    }
}

void world::answerClient(const root_ptr &root, bool answered)
{
    m_events.after(m_plan.place.toClients, [this, root, answered] {
        finishRoot(root, answered);
    });
}

void world::finishRoot(const root_ptr &root, bool answered)
{
    if (root->finished) {
        return;
    }
    root->finished = true;
    root->answered = answered;
    if (answered) {
        count(*root->user, &tally::answered, root->user->arrivedAt);
        count(*root->user, &tally::finished, now());
    } else if (root->user->attempts <= m_plan.clientRetries) {
        m_events.after(m_plan.clientPause, [this, user = root->user] {
            sendRoot(user);
        });
    }
}

} // namespace internal

run_result run(const scenario &plan)
{
    return internal::world{plan}.run();
}

} // namespace ragwortpin::bench
