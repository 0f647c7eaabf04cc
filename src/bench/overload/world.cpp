#include "bench/overload/world.h"

#include "bench/overload/event_queue.h"
#include "bench/overload/fleet.h"
#include "ragwortpin/deadlines/deadlines.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

namespace ragwortpin::bench {

namespace {

/** Attempts that a common client library makes at each hop, under the baselines. */
constexpr unsigned BaselineAttempts{3};

/** Time after a change until every node's membership shows it. */
constexpr duration MembershipDelay{milliseconds{2000}};

/** A request of a user, over all attempts of the client. */
struct user_request
{
    std::size_t tenant{0};
    unsigned rank{0};
    time_point arrivedAt{};
    unsigned attempts{0};
};

/** One attempt of a client. */
struct root_request
{
    std::shared_ptr<user_request> user;
    std::size_t firstNode{0};
    time_point deadline{};
    double probability{1.0};
    retry_escrow escrow;
    bool counted{false};
    std::uint64_t deepestAttempts{0};
    bool finished{false};
    bool answered{false};
    double work{0.0};
};

/** What came back from a call. */
struct call_result
{
    bool answered{false};
    outcome result{outcome::Unknown};
    std::optional<refusal_kind> refusal;
    bool failedAtCallee{true};
    attempt_kind kind{attempt_kind::Failed};
    shed_level level;
    unsigned unused{0};
    double load{0.0};
};

struct attempt;

/** A call to the service of one hop, over all attempts at its instances. */
struct hop_call
{
    std::shared_ptr<root_request> root;
    /** Attempt whose target makes the call; none for the first hop. */
    std::shared_ptr<attempt> parent;
    std::size_t callerNode{0};
    unsigned depth{0};
    time_point deadline{};
    std::vector<std::size_t> tried;
    unsigned attempts{0};
    unsigned overloads{0};
    bool finished{false};
    std::weak_ptr<attempt> current;
    std::function<void(const call_result &)> done;
};

/** One attempt at an instance. */
struct attempt
{
    request_id id{0};
    std::shared_ptr<hop_call> call;
    std::size_t node{0};
    /** Index in the caller's routing state, with the name to find it again after a change of membership. */
    std::string instance;
    unsigned grant{0};
    retry_escrow escrow;
    time_point sentAt{};
    bool abandoned{false};
    bool running{false};
    bool replied{false};
    bool atDrain{false};
    duration downstream{0};
    shed_level level;
    std::shared_ptr<hop_call> child;
};

using attempt_ptr = std::shared_ptr<attempt>;
using call_ptr = std::shared_ptr<hop_call>;
using root_ptr = std::shared_ptr<root_request>;

/** State of one run. */
class world
{
public:
    explicit world(const scenario &plan)
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

    run_result run()
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

private:
    [[nodiscard]] bool controlled() const noexcept
    {
        return m_plan.policy == control_policy::Full;
    }

    [[nodiscard]] time_point now() const noexcept
    {
        return m_events.now();
    }

    [[nodiscard]] double uniform()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(m_random);
    }

    void scheduleFault(const fault &cause)
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

    void markInFlightAtDrain(const fault &cause)
    {
        if (cause.kind != fault_kind::Leave) {
            return;
        }
        for (auto &[id, request] : m_attempts) {
            request->atDrain = m_fleet.nodes[request->node].draining;
        }
    }

    void failInFlightOfDead()
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

    void scheduleArrival(std::size_t tenant)
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

    void arriveUser(std::size_t tenant)
    {
        auto user = std::make_shared<user_request>(user_request{tenant, drawRank(), now(), 0});
        count(*user, &tally::arrived, now());
        sendRoot(user);
    }

    [[nodiscard]] unsigned drawRank()
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

    void count(const user_request &user, std::uint64_t tally::*member, time_point at)
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

    [[nodiscard]] std::size_t drawFirstNode()
    {
        for (;;) {
            const std::size_t node{m_random() % m_fleet.nodes.size()};
            if (m_fleet.nodes[node].alive) {
                return node;
            }
        }
    }

    void sendRoot(const std::shared_ptr<user_request> &user)
    {
        user->attempts += 1;
        auto root = std::make_shared<root_request>();
        root->user = user;
        root->firstNode = drawFirstNode();
        root->deadline = now() + m_plan.clientTimeout;
        root->escrow = makeEscrow(controlled() ? DefaultRetryAllowance : 0);
        m_events.after(m_plan.clientTimeout, [this, root] {
            finishRoot(root, false);
        });
        m_events.after(m_plan.place.toClients, [this, root] {
            enterFirstHop(root);
        });
    }

    void enterFirstHop(const root_ptr &root)
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

    void learn(const root_request &root, const shed_level &level)
    {
        if (controlled()) {
            auto &memory = m_fleet.nodes[root.firstNode].memory;
            observeShedLevel(memory, "chain", m_plan.tenants[root.user->tenant].name, level, now());
        }
    }

    void answerClient(const root_ptr &root, bool answered)
    {
        m_events.after(m_plan.place.toClients, [this, root, answered] {
            finishRoot(root, answered);
        });
    }

    void finishRoot(const root_ptr &root, bool answered)
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

    void beginCall(const call_ptr &call)
    {
        if (controlled()) {
            observeFirstAttempt(budgetOf(*call));
        }
        sendAttempt(call);
    }

    [[nodiscard]] std::size_t serviceOf(const hop_call &call) const
    {
        return m_plan.chain[call.depth];
    }

    [[nodiscard]] retry_budget &budgetOf(const hop_call &call)
    {
        return m_fleet.nodes[call.callerNode].budgets[serviceOf(call)];
    }

    [[nodiscard]] retry_escrow &escrowOf(const hop_call &call)
    {
        return call.parent ? call.parent->escrow : call.root->escrow;
    }

    void sendAttempt(const call_ptr &call)
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
        request->escrow = makeEscrow(request->grant);
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

    [[nodiscard]] duration attemptTimeout(const hop_call &call) const
    {
        return controlled() ? std::max(duration{0}, call.deadline - now()) : m_plan.clientTimeout;
    }

    void arrive(const attempt_ptr &request)
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
            gone.kind = node.alive ? attempt_kind::Leaving : attempt_kind::Failed;
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

    [[nodiscard]] admission_decision offerTo(fleet_node &node, const attempt &request)
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

    void apply(const admission_changes &changes)
    {
        refuseAll(changes.expired, refusal_kind::DeadlineExceeded);
        for (const request_id id : changes.started) {
            startWork(m_attempts.at(id));
        }
    }

    void refuseAll(const std::vector<request_id> &ids, refusal_kind refusal)
    {
        for (const request_id id : ids) {
            const attempt_ptr request{m_attempts.at(id)};
            refuse(request, refusal);
        }
    }

    void refuse(const attempt_ptr &request, refusal_kind refusal)
    {
        call_result result;
        result.result = outcome::NotRun;
        result.refusal = refusal;
        result.kind = refusal == refusal_kind::Overloaded ? attempt_kind::Overloaded : attempt_kind::Cancelled;
        reply(request, result);
    }

    void startWork(const attempt_ptr &request)
    {
        request->running = true;
        if (!m_fleet.nodes[request->node].hanging) {
            work(request, [this, request] {
                callOnward(request);
            });
        }
    }

    /** Lets the target work for half of its service time, then goes on unless the request was cancelled. */
    void work(const attempt_ptr &request, std::function<void()> next)
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

    void callOnward(const attempt_ptr &request)
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

    void finishWork(const attempt_ptr &request, bool answered)
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

    void releaseSlot(const attempt_ptr &request, bool timedOut)
    {
        fleet_node &node{m_fleet.nodes[request->node]};
        request->running = false;
        if (controlled()) {
            apply(complete(node.admission, completion{request->id, request->downstream, false, timedOut}, now()));
        } else if (!timedOut) {
            apply(complete(node.gate, request->id, now()));
        }
    }

    void reply(const attempt_ptr &request, call_result result)
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

    [[nodiscard]] const tenant &tenantOf(const attempt &request) const
    {
        return m_plan.tenants[request.call->root->user->tenant];
    }

    void observe(const attempt &request, attempt_kind kind, std::optional<load_report> report)
    {
        routing_state &routing{m_fleet.nodes[request.call->callerNode].routing[serviceOf(*request.call)]};
        const auto index = findInstance(routing, request.instance);
        if (index) {
            observeAttempt(routing, *index, attempt_result{kind, now() - request.sentAt, report}, now());
        }
    }

    void receive(const attempt_ptr &request, const call_result &result)
    {
        if (request->abandoned) {
            return;
        }
        request->abandoned = true;
        observe(*request, result.kind, load_report{result.load});
        settleGrant(escrowOf(*request->call), request->grant, result.unused);
        conclude(request->call, result);
    }

    void conclude(const call_ptr &call, const call_result &result)
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

    [[nodiscard]] bool retries(hop_call &call, const call_result &result)
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
        failed.earlierOverloads = call.overloads;
        failed.remaining = call.deadline - now();
        return mayRetry(failed, escrowOf(call), budgetOf(call)) == retry_verdict::Retry;
    }

    void finishCall(const call_ptr &call, const call_result &result)
    {
        if (!call->finished) {
            call->finished = true;
            call->done(result);
        }
    }

    void timeOut(const attempt_ptr &request)
    {
        if (request->abandoned) {
            return;
        }
        request->abandoned = true;
        observe(*request, attempt_kind::TimedOut, std::nullopt);
        loseGrant(escrowOf(*request->call), request->grant);
        if (controlled()) {
            sendCancel(request);
        }
        conclude(request->call, call_result{});
    }

    void sendCancel(const attempt_ptr &request)
    {
        const fleet_node &caller{m_fleet.nodes[request->call->callerNode]};
        m_events.after(delayBetween(m_fleet, caller, m_fleet.nodes[request->node]), [this, request] {
            cancelAt(request);
        });
    }

    /** Stops a request at its target, and the call that the target waits for. */
    void cancelAt(const attempt_ptr &request)
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

    scenario m_plan;
    event_queue m_events;
    std::mt19937_64 m_random;
    fleet m_fleet;
    run_result m_result;
    request_id m_lastId{0};
    std::unordered_map<request_id, attempt_ptr> m_attempts;
    std::vector<root_ptr> m_roots;
};

} // namespace

run_result run(const scenario &plan)
{
    return world{plan}.run();
}

} // namespace ragwortpin::bench
