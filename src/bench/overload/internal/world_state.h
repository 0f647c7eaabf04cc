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

/** A user request; covers the first client attempt and all client retries. */
struct user_request
{
    std::size_t workspace{0};
    unsigned rank{0};
    time_point arrivedAt{};
    unsigned attempts{0};
};

/** One attempt of a client to get a user request answered. */
struct client_attempt
{
    std::shared_ptr<user_request> user;
    std::size_t entryNode{0};
    time_point deadline{};
    double admitProbability{1.0};
    retry_allowance escrow;
    /** True if the attempt passed the first hop after the warm-up and is included in the results. */
    bool counted{false};
    std::uint64_t deepestAttempts{0};
    bool finished{false};
    bool answered{false};
    double workSeconds{0.0};
};

/** Result of a call, as the caller receives it. */
struct call_result
{
    bool answered{false};
    outcome result{outcome::Unknown};
    std::optional<refusal_kind> refusal;
    bool failedAtCallee{true};
    attempt_kind kind{attempt_kind::Failed};
    shed_level level;
    unsigned unusedAllowance{0};
    double load{0.0};
};

struct hop_attempt;

/** A call from one hop to the service of the next one; covers all attempts at instances of that service. */
struct hop_call
{
    std::shared_ptr<client_attempt> clientAttempt;
    /** Attempt that the calling target works on; null for the first hop. */
    std::shared_ptr<hop_attempt> parent;
    std::size_t callerNode{0};
    unsigned depth{0};
    time_point deadline{};
    /** Indices of the instances already tried, in the routing state of the caller. */
    std::vector<std::size_t> tried;
    unsigned attempts{0};
    unsigned overloadRefusals{0};
    bool finished{false};
    std::weak_ptr<hop_attempt> currentAttempt;
    std::function<void(const call_result &)> onFinished;
};

/** One attempt of a call, sent to one instance. */
struct hop_attempt
{
    request_id id{0};
    std::shared_ptr<hop_call> call;
    std::size_t node{0};
    /** Name of the instance; its index in the routing state of the caller can change with the membership. */
    std::string instance;
    unsigned grant{0};
    retry_allowance escrow;
    time_point sentAt{};
    /** True once the caller has received the reply, timed the attempt out or cancelled it. */
    bool settled{false};
    /** True while the attempt occupies a slot of the target. */
    bool running{false};
    /** True once the target has sent a reply or processed the cancellation. */
    bool replied{false};
    /** True if the attempt was in flight at the target when the drain of the target began. */
    bool inFlightAtDrain{false};
    duration downstreamTime{0};
    shed_level level;
    std::shared_ptr<hop_call> child;
};

using hop_attempt_ptr = std::shared_ptr<hop_attempt>;
using call_ptr = std::shared_ptr<hop_call>;
using client_attempt_ptr = std::shared_ptr<client_attempt>;

/**
 * State of one simulated run. world.cpp implements users, clients and faults; world_calls.cpp implements the calls between nodes and
 * the work at targets.
 */
class simulation
{
public:
    explicit simulation(const scenario &plan);

    /** Runs the scenario to its end and returns its results. */
    [[nodiscard]] run_result run();

private:
    [[nodiscard]] bool usesProductPolicy() const noexcept
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

    void scheduleFault(const fault_spec &fault);
    void markInFlightAtDrain(const fault_spec &fault);
    void failInFlightOnDeadNodes();
    void scheduleArrival(std::size_t workspace);
    void startUserRequest(std::size_t workspace);
    [[nodiscard]] unsigned drawRank();
    void count(const user_request &user, std::uint64_t request_counts::*member, time_point at);
    [[nodiscard]] std::size_t drawEntryNode();
    void sendClientAttempt(const std::shared_ptr<user_request> &user);
    void enterFirstHop(const client_attempt_ptr &clientAttempt);
    void observeLevel(const client_attempt &clientAttempt, const shed_level &level);
    void answerClient(const client_attempt_ptr &clientAttempt, bool answered);
    void finishClientAttempt(const client_attempt_ptr &clientAttempt, bool answered);
    void beginCall(const call_ptr &call);
    [[nodiscard]] std::size_t serviceOf(const hop_call &call) const;
    [[nodiscard]] retry_budget &budgetOf(const hop_call &call);
    [[nodiscard]] retry_allowance &escrowOf(const hop_call &call);
    void sendAttempt(const call_ptr &call);
    [[nodiscard]] duration attemptTimeout(const hop_call &call) const;
    void arriveAtTarget(const hop_attempt_ptr &request);
    [[nodiscard]] admission_decision offerTo(fleet_node &node, const hop_attempt &request);
    void applyChanges(const admission_changes &changes);
    void refuseRequests(const std::vector<request_id> &ids, refusal_kind refusal);
    void refuse(const hop_attempt_ptr &request, refusal_kind refusal);
    void startWork(const hop_attempt_ptr &request);
    /** Simulates half of the service time of the target, then calls `next` unless the request was answered or cancelled meanwhile. */
    void workForHalfServiceTime(const hop_attempt_ptr &request, std::function<void()> next);
    void callNextHop(const hop_attempt_ptr &request);
    void finishWork(const hop_attempt_ptr &request, bool answered);
    void releaseSlot(const hop_attempt_ptr &request, bool timedOut);
    void reply(const hop_attempt_ptr &request, call_result result);
    [[nodiscard]] const workspace_spec &workspaceOf(const hop_attempt &request) const;
    void recordOutcome(const hop_attempt &request, attempt_kind kind, std::optional<load_report> report);
    void receive(const hop_attempt_ptr &request, const call_result &result);
    void retryOrFinish(const call_ptr &call, const call_result &result);
    [[nodiscard]] bool shouldRetry(hop_call &call, const call_result &result);
    void finishCall(const call_ptr &call, const call_result &result);
    void timeOutAttempt(const hop_attempt_ptr &request);
    void sendCancel(const hop_attempt_ptr &request);
    /** Cancels a request at its target together with the downstream call that the target waits for. */
    void cancelAtTarget(const hop_attempt_ptr &request);

    scenario m_plan;
    event_queue m_events;
    std::mt19937_64 m_random;
    fleet m_fleet;
    run_result m_result;
    request_id m_lastRequestId{0};
    std::unordered_map<request_id, hop_attempt_ptr> m_attempts;
    std::vector<client_attempt_ptr> m_clientAttempts;
};

} // namespace ragwortpin::bench::internal

#endif
