#include "claims/fake_store.h"

#include "ragwortpin/claims/claims.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

/** Thrown by a store call to simulate that the calling node is killed. */
struct node_killed
{ };

constexpr int MaxDepth{3};
constexpr seconds MaxStep{40};

/** What happened to the requests with one Idempotency-Key. */
struct key_history
{
    int runs{0};
    /** Requests that tried to claim the key; any of them may hold the claim. */
    std::vector<claim_request> claimants;
    std::string ranFingerprint;
    recorded_answer answer;
};

/** Probabilities of faults, each between 0 and 1. */
struct fault_rates
{
    double lost{0.0};
    double kill{0.0};
    double outage{0.0};
};

/** Simulation of many attempts at several nodes. Other attempts may run before and after each store call of an attempt. */
struct simulation
{
    fake_store store;
    claim_settings settings;
    fault_rates faults;
    std::mt19937_64 random;
    std::map<std::string, key_history> keys;
    std::vector<claim_handle> abandoned;
    std::vector<store_breaker> breakers{std::vector<store_breaker>(3)};
    time_point now{seconds{1}};
    int depth{0};
    std::uint64_t attempts{0};
    bool outcomesCorrect{true};
};

double randomFraction(simulation &sim)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(sim.random);
}

void attemptRequest(simulation &sim);

void applyDelayed(simulation &sim)
{
    while (!sim.store.delayed.empty() && randomFraction(sim) < 0.1) {
        const auto index = sim.random() % sim.store.delayed.size();
        const auto request = sim.store.delayed[index];
        sim.store.delayed.erase(sim.store.delayed.begin() + static_cast<std::ptrdiff_t>(index));
        (void)apply(sim.store, request);
    }
}

void runOtherAttempts(simulation &sim)
{
    if (sim.depth < MaxDepth && randomFraction(sim) < 0.3) {
        ++sim.depth;
        attemptRequest(sim);
        --sim.depth;
    }
}

store_reply callStore(simulation &sim, const store_request &request)
{
    applyDelayed(sim);
    runOtherAttempts(sim);
    sim.now += milliseconds{1 + sim.random() % 400};
    if (randomFraction(sim) < sim.faults.kill) {
        sim.store.delayed.push_back(request);
        throw node_killed{};
    }
    if (randomFraction(sim) < sim.faults.outage) {
        return lostReply();
    }
    if (randomFraction(sim) < sim.faults.lost) {
        if (randomFraction(sim) < 0.5) {
            sim.store.delayed.push_back(request);
        } else {
            (void)apply(sim.store, request);
        }
        return lostReply();
    }
    auto reply = apply(sim.store, request);
    runOtherAttempts(sim);
    if (randomFraction(sim) < sim.faults.kill) {
        throw node_killed{};
    }
    return reply;
}

claim_request randomRequest(simulation &sim)
{
    static const std::array<std::string, 8> keys{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"};
    static const std::array<std::string, 2> bodies{"one", "two"};
    const auto &body = randomFraction(sim) < 0.85 ? bodies[0] : bodies[1];
    return {"w",
            keys[sim.random() % keys.size()],
            fingerprintRequest("POST", "/buy", body),
            ++sim.attempts,
            microseconds{sim.now.time_since_epoch()}};
}

/** Runs a claimed request: it is refused before it runs, it runs and its answer is lost, or it runs. The node may be killed at any step. */
void runClaimed(simulation &sim, const store_call &call, const claim_request &request, const claim_handle &handle)
{
    auto &history = sim.keys[request.idempotencyKey];
    if (randomFraction(sim) < sim.faults.kill) {
        throw node_killed{};
    }
    runOtherAttempts(sim);
    if (randomFraction(sim) < 0.5) {
        (void)releaseClaim(sim.settings, call, handle);
        return;
    }
    ++history.runs;
    history.ranFingerprint = request.fingerprint;
    history.answer = {201, "text/plain", "answer " + std::to_string(request.attempt), true};
    if (randomFraction(sim) < sim.faults.lost) {
        (void)recordUnknownOutcome(sim.settings, call, handle);
        return;
    }
    (void)recordCompleted(sim.settings, call, handle, history.answer);
}

/** Checks that the outcome reported by a refusal or a replay is correct. */
void checkReportedOutcome(simulation &sim, const claim_request &request, const claim_result &result)
{
    const auto &history = sim.keys[request.idempotencyKey];
    const auto hasOtherClaimant = [&](bool same) {
        return std::any_of(history.claimants.begin(), history.claimants.end(), [&](const claim_request &other) {
            return other.attempt != request.attempt && (other.fingerprint == request.fingerprint) == same;
        });
    };
    const auto sameRequestRan = history.runs == 1 && history.ranFingerprint == request.fingerprint;
    bool isCorrect{true};
    if (result.verdict == claim_verdict::Replay) {
        isCorrect = sameRequestRan && *result.answer == history.answer;
    } else if (result.reportedOutcome == outcome::Ran) {
        isCorrect = sameRequestRan;
    } else if (result.refusal == refusal_kind::IdempotencyKeyReused) {
        isCorrect = hasOtherClaimant(false);
    } else if (result.refusal != refusal_kind::StoreUnavailable) {
        isCorrect = result.reportedOutcome == outcome::Unknown && hasOtherClaimant(true);
    }
    sim.outcomesCorrect = sim.outcomesCorrect && isCorrect;
}

void attemptRequest(simulation &sim)
{
    const auto request = randomRequest(sim);
    auto &breaker = sim.breakers[sim.random() % sim.breakers.size()];
    const store_call call = [&sim](const store_request &item) {
        return callStore(sim, item);
    };
    sim.keys[request.idempotencyKey].claimants.push_back(request);
    try {
        const auto result = claim(sim.settings, call, breaker, request, [&sim] {
            return sim.now;
        });
        if (result.leftoverClaim) {
            sim.abandoned.push_back(*result.leftoverClaim);
        }
        if (result.verdict == claim_verdict::Run) {
            runClaimed(sim, call, request, *result.handle);
        } else {
            checkReportedOutcome(sim, request, result);
        }
    } catch (const node_killed &) {
        // The caller of a killed node gets no answer, and no other node continues the attempt.
    }
    if (!sim.abandoned.empty() && randomFraction(sim) < 0.5) {
        (void)removeLeftoverClaim(
            [&sim](const store_request &item) {
                return apply(sim.store, item);
            },
            sim.abandoned.back());
        sim.abandoned.pop_back();
    }
    sim.now += seconds{sim.random() % static_cast<std::uint64_t>(MaxStep.count())};
}

int mostRuns(const simulation &sim)
{
    int most{0};
    for (const auto &[key, history] : sim.keys) {
        most = std::max(most, history.runs);
    }
    return most;
}

} // namespace

TEST_CASE("a request runs at most once per workspace and key and every reported outcome is correct", "[claims][I9][I8]")
{
    rc::prop("any interleaving of attempts, kills, lost answers and outages", [](std::uint64_t seed) {
        simulation sim;
        sim.random.seed(seed);
        sim.faults = {*rc::gen::element(0.0, 0.2, 0.6), *rc::gen::element(0.0, 0.05, 0.2), *rc::gen::element(0.0, 0.1, 0.5)};
        for (int attempt{0}; attempt < 100; ++attempt) {
            attemptRequest(sim);
        }
        RC_ASSERT(mostRuns(sim) <= 1);
        RC_ASSERT(sim.outcomesCorrect);
    });
}
