#ifndef RAGWORTPIN_BENCH_OVERLOAD_INTERNAL_WORLD_STATE_H
#define RAGWORTPIN_BENCH_OVERLOAD_INTERNAL_WORLD_STATE_H

#include "bench/overload/event_queue.h"
#include "bench/overload/fleet.h"
#include "bench/overload/world.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace ragwortpin::bench::internal {

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
    retry_allowance escrow;
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
    retry_allowance escrow;
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

/** State of one run: world.cpp has users, clients and faults, world_calls.cpp the calls between nodes and the work at targets. */
class world
{
public:
    explicit world(const scenario &plan);

    /** Plays the scenario to its end. */
    [[nodiscard]] run_result run();

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

    void scheduleFault(const fault &cause);
    void markInFlightAtDrain(const fault &cause);
    void failInFlightOfDead();
    void scheduleArrival(std::size_t tenant);
    void arriveUser(std::size_t tenant);
    [[nodiscard]] unsigned drawRank();
    void count(const user_request &user, std::uint64_t tally::*member, time_point at);
    [[nodiscard]] std::size_t drawFirstNode();
    void sendRoot(const std::shared_ptr<user_request> &user);
    void enterFirstHop(const root_ptr &root);
    void learn(const root_request &root, const shed_level &level);
    void answerClient(const root_ptr &root, bool answered);
    void finishRoot(const root_ptr &root, bool answered);
    void beginCall(const call_ptr &call);
    [[nodiscard]] std::size_t serviceOf(const hop_call &call) const;
    [[nodiscard]] retry_budget &budgetOf(const hop_call &call);
    [[nodiscard]] retry_allowance &escrowOf(const hop_call &call);
    void sendAttempt(const call_ptr &call);
    [[nodiscard]] duration attemptTimeout(const hop_call &call) const;
    void arrive(const attempt_ptr &request);
    [[nodiscard]] admission_decision offerTo(fleet_node &node, const attempt &request);
    void apply(const admission_changes &changes);
    void refuseAll(const std::vector<request_id> &ids, refusal_kind refusal);
    void refuse(const attempt_ptr &request, refusal_kind refusal);
    void startWork(const attempt_ptr &request);
    /** Lets the target work for half of its service time, then goes on unless the request was cancelled. */
    void work(const attempt_ptr &request, std::function<void()> next);
    void callOnward(const attempt_ptr &request);
    void finishWork(const attempt_ptr &request, bool answered);
    void releaseSlot(const attempt_ptr &request, bool timedOut);
    void reply(const attempt_ptr &request, call_result result);
    [[nodiscard]] const tenant &tenantOf(const attempt &request) const;
    void observe(const attempt &request, attempt_kind kind, std::optional<load_report> report);
    void receive(const attempt_ptr &request, const call_result &result);
    void conclude(const call_ptr &call, const call_result &result);
    [[nodiscard]] bool retries(hop_call &call, const call_result &result);
    void finishCall(const call_ptr &call, const call_result &result);
    void timeOut(const attempt_ptr &request);
    void sendCancel(const attempt_ptr &request);
    /** Stops a request at its target, and the call that the target waits for. */
    void cancelAt(const attempt_ptr &request);

    scenario m_plan;
    event_queue m_events;
    std::mt19937_64 m_random;
    fleet m_fleet;
    run_result m_result;
    request_id m_lastId{0};
    std::unordered_map<request_id, attempt_ptr> m_attempts;
    std::vector<root_ptr> m_roots;
};

} // namespace ragwortpin::bench::internal

#endif
