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

/** Thrown out of a store call: the node that made it has ended. */
struct node_killed
{ };

constexpr int MaxNesting{3};
constexpr seconds LongestStep{40};

/** What really happened under one key. */
struct key_history
{
    int runs{0};
    /** Requests that asked, of which any may hold the claim. */
    std::vector<claim_request> asked;
    std::string ranFingerprint;
    recorded_answer answer;
};

/** How often things go wrong, each between 0 and 1. */
struct fault_rates
{
    double lost{0.0};
    double kill{0.0};
    double outage{0.0};
};

/** Many attempts at several nodes; a store call of one may find others running in between. */
struct world
{
    fake_store store;
    claim_settings settings;
    fault_rates faults;
    std::mt19937_64 random;
    std::map<std::string, key_history> keys;
    std::vector<claim_handle> abandoned;
    std::vector<store_breaker> breakers{std::vector<store_breaker>(3)};
    time_point now{seconds{1}};
    int nesting{0};
    std::uint64_t attempts{0};
    bool truthful{true};
};

double chance(world &all)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(all.random);
}

void attemptRequest(world &all);

void applyDelayed(world &all)
{
    while (!all.store.delayed.empty() && chance(all) < 0.1) {
        const auto index = all.random() % all.store.delayed.size();
        const auto request = all.store.delayed[index];
        all.store.delayed.erase(all.store.delayed.begin() + static_cast<std::ptrdiff_t>(index));
        (void)apply(all.store, request);
    }
}

void runOthers(world &all)
{
    if (all.nesting < MaxNesting && chance(all) < 0.3) {
        ++all.nesting;
        attemptRequest(all);
        --all.nesting;
    }
}

store_reply callStore(world &all, const store_request &request)
{
    applyDelayed(all);
    runOthers(all);
    all.now += milliseconds{1 + all.random() % 400};
    if (chance(all) < all.faults.kill) {
        all.store.delayed.push_back(request);
        throw node_killed{};
    }
    if (chance(all) < all.faults.outage) {
        return lostReply();
    }
    if (chance(all) < all.faults.lost) {
        if (chance(all) < 0.5) {
            all.store.delayed.push_back(request);
        } else {
            (void)apply(all.store, request);
        }
        return lostReply();
    }
    auto reply = apply(all.store, request);
    runOthers(all);
    if (chance(all) < all.faults.kill) {
        throw node_killed{};
    }
    return reply;
}

claim_request drawRequest(world &all)
{
    static const std::array<std::string, 8> keys{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"};
    static const std::array<std::string, 2> bodies{"one", "two"};
    const auto &body = chance(all) < 0.85 ? bodies[0] : bodies[1];
    return {"w",
            keys[all.random() % keys.size()],
            fingerprintRequest("POST", "/buy", body),
            ++all.attempts,
            microseconds{all.now.time_since_epoch()}};
}

/** Runs a claimed request: refused before it ran, run with its answer lost, or run; and the node may end anywhere. */
void runClaimed(world &all, const store_call &call, const claim_request &request, const claim_handle &handle)
{
    auto &history = all.keys[request.idempotencyKey];
    if (chance(all) < all.faults.kill) {
        throw node_killed{};
    }
    runOthers(all);
    if (chance(all) < 0.5) {
        (void)releaseClaim(all.settings, call, handle);
        return;
    }
    ++history.runs;
    history.ranFingerprint = request.fingerprint;
    history.answer = {201, "text/plain", "answer " + std::to_string(request.attempt), true};
    if (chance(all) < all.faults.lost) {
        (void)recordUnknown(all.settings, call, handle);
        return;
    }
    (void)recordRan(all.settings, call, handle, history.answer);
}

/** Checks that what a refusal or a replay says is so. */
void checkTruth(world &all, const claim_request &request, const claim_result &result)
{
    const auto &history = all.keys[request.idempotencyKey];
    const auto askedBy = [&](bool same) {
        return std::any_of(history.asked.begin(), history.asked.end(), [&](const claim_request &other) {
            return other.attempt != request.attempt && (other.fingerprint == request.fingerprint) == same;
        });
    };
    const auto ranSame = history.runs == 1 && history.ranFingerprint == request.fingerprint;
    bool truth{true};
    if (result.verdict == claim_verdict::Replay) {
        truth = ranSame && *result.answer == history.answer;
    } else if (result.known == outcome::Ran) {
        truth = ranSame;
    } else if (result.refusal == refusal_kind::IdempotencyKeyReused) {
        truth = askedBy(false);
    } else if (result.refusal != refusal_kind::StoreUnavailable) {
        truth = result.known == outcome::Unknown && askedBy(true);
    }
    all.truthful = all.truthful && truth;
}

void attemptRequest(world &all)
{
    const auto request = drawRequest(all);
    auto &breaker = all.breakers[all.random() % all.breakers.size()];
    const store_call call = [&all](const store_request &item) {
        return callStore(all, item);
    };
    all.keys[request.idempotencyKey].asked.push_back(request);
    try {
        const auto result = claim(all.settings, call, breaker, request, [&all] {
            return all.now;
        });
        if (result.abandoned) {
            all.abandoned.push_back(*result.abandoned);
        }
        if (result.verdict == claim_verdict::Run) {
            runClaimed(all, call, request, *result.handle);
        } else {
            checkTruth(all, request, result);
        }
    } catch (const node_killed &) {
        // The caller of a node that ended gets no answer, and nobody goes on for it.
    }
    if (!all.abandoned.empty() && chance(all) < 0.5) {
        (void)dropAbandoned(
            [&all](const store_request &item) {
                return apply(all.store, item);
            },
            all.abandoned.back());
        all.abandoned.pop_back();
    }
    all.now += seconds{all.random() % static_cast<std::uint64_t>(LongestStep.count())};
}

int mostRuns(const world &all)
{
    int most{0};
    for (const auto &[key, history] : all.keys) {
        most = std::max(most, history.runs);
    }
    return most;
}

} // namespace

TEST_CASE("a request runs at most once per workspace and key and every outcome told is true", "[claims][I9][I8]")
{
    rc::prop("any interleaving of attempts, kills, lost answers and outages", [](std::uint64_t seed) {
        world all;
        all.random.seed(seed);
        all.faults = {*rc::gen::element(0.0, 0.2, 0.6), *rc::gen::element(0.0, 0.05, 0.2), *rc::gen::element(0.0, 0.1, 0.5)};
        for (int attempt{0}; attempt < 100; ++attempt) {
            attemptRequest(all);
        }
        RC_ASSERT(mostRuns(all) <= 1);
        RC_ASSERT(all.truthful);
    });
}
