#include "claims/fake_store.h"

#include "ragwortpin/claims/claims.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

const claim_clock FixedClock = [] {
    return time_point{seconds{1}};
};

claim_request makeRequest(std::uint64_t attempt, std::string_view body = "body")
{
    return {"w", "key-1", fingerprintRequest("POST", "/buy", body), attempt, seconds{100}};
}

store_call directCall(fake_store &store)
{
    return [&store](const store_request &request) {
        return apply(store, request);
    };
}

claim_result claimOnce(fake_store &store, const claim_request &request)
{
    store_breaker breaker;
    return claim({}, directCall(store), breaker, request, FixedClock);
}

} // namespace

TEST_CASE("a repeated request gets the recorded outcome", "[claims]")
{
    struct outcome_case
    {
        std::string name;
        std::size_t bodyBytes{0};
        claim_verdict verdict{claim_verdict::Refuse};
        refusal_kind refusal{refusal_kind::StoreUnavailable};
        outcome reportedOutcome{outcome::Ran};
    };
    const std::vector<outcome_case> cases{
        {"kept answer", 4096, claim_verdict::Replay, refusal_kind::StoreUnavailable, outcome::Ran},
        {"answer too large to keep", 4097, claim_verdict::Refuse, refusal_kind::DuplicateRan, outcome::Ran},
    };
    for (const auto &item : cases) {
        CAPTURE(item.name);
        fake_store store;
        const auto first = claimOnce(store, makeRequest(1));
        REQUIRE(first.verdict == claim_verdict::Run);
        const recorded_answer answer{201, "text/plain", std::string(item.bodyBytes, 'x'), true};
        REQUIRE_FALSE(recordCompleted({}, directCall(store), *first.handle, answer));
        const auto second = claimOnce(store, makeRequest(2));
        CHECK(second.verdict == item.verdict);
        CHECK(second.refusal == item.refusal);
        CHECK(second.reportedOutcome == item.reportedOutcome);
        CHECK((!second.answer || *second.answer == answer));
    }
}

TEST_CASE("a request with a claim but no recorded outcome is never run again", "[claims]")
{
    fake_store store;
    REQUIRE(claimOnce(store, makeRequest(1)).verdict == claim_verdict::Run);
    auto again = makeRequest(2);
    CHECK(claimOnce(store, again).refusal == refusal_kind::DuplicateRunning);
    again.wallClock += seconds{61};
    const auto late = claimOnce(store, again);
    CHECK(late.refusal == refusal_kind::DuplicateUnknown);
    CHECK(late.reportedOutcome == outcome::Unknown);
}

TEST_CASE("a released claim may be claimed again", "[claims]")
{
    fake_store store;
    const auto first = claimOnce(store, makeRequest(1));
    REQUIRE_FALSE(releaseClaim({}, directCall(store), *first.handle));
    const auto second = claimOnce(store, makeRequest(2));
    CHECK(second.verdict == claim_verdict::Run);
    CHECK(releaseClaim({}, directCall(store), *first.handle) == claims_errc::ClaimLost);
    CHECK(claimOnce(store, makeRequest(3)).refusal == refusal_kind::DuplicateRunning);
}

TEST_CASE("a key used for another request is refused", "[claims]")
{
    fake_store store;
    REQUIRE(claimOnce(store, makeRequest(1)).verdict == claim_verdict::Run);
    const auto other = claimOnce(store, makeRequest(2, "other body"));
    CHECK(other.refusal == refusal_kind::IdempotencyKeyReused);
    CHECK(other.reportedOutcome == outcome::NotRun);
}

TEST_CASE("an attempt whose store reply was lost recognises its own claim", "[claims]")
{
    fake_store store;
    int calls{0};
    const store_call losesFirst = [&](const store_request &request) {
        const auto reply = apply(store, request);
        return ++calls == 1 ? lostReply() : reply;
    };
    store_breaker breaker;
    const auto result = claim({}, losesFirst, breaker, makeRequest(1), FixedClock);
    CHECK(result.verdict == claim_verdict::Run);
    CHECK(calls == 2);
    CHECK_FALSE(recordUnknownOutcome({}, directCall(store), *result.handle));
    CHECK(claimOnce(store, makeRequest(2)).refusal == refusal_kind::DuplicateUnknown);
}

TEST_CASE("during a store outage requests are refused as not run and the open breaker makes no store calls", "[claims]")
{
    fake_store store;
    int calls{0};
    bool down{true};
    const store_call unreachable = [&](const store_request &request) {
        ++calls;
        return down ? lostReply() : apply(store, request);
    };
    store_breaker breaker;
    time_point now{seconds{1}};
    const claim_clock clock = [&now] {
        return now;
    };
    const auto first = claim({}, unreachable, breaker, makeRequest(1), clock);
    CHECK(first.refusal == refusal_kind::StoreUnavailable);
    CHECK(first.reportedOutcome == outcome::NotRun);
    CHECK(first.leftoverClaim);
    const auto callsSoFar = calls;
    const auto second = claim({}, unreachable, breaker, makeRequest(2), clock);
    CHECK(second.refusal == refusal_kind::StoreUnavailable);
    CHECK(second.retryAfter > duration::zero());
    CHECK_FALSE(second.leftoverClaim);
    CHECK(calls == callsSoFar);
    down = false;
    now += second.retryAfter;
    CHECK(claim({}, unreachable, breaker, makeRequest(3), clock).verdict == claim_verdict::Run);
    CHECK(claim({}, unreachable, breaker, makeRequest(4), clock).refusal == refusal_kind::DuplicateRunning);
}

TEST_CASE("pruning removes old records in bounded batches", "[claims]")
{
    fake_store store;
    store_breaker breaker;
    for (std::uint64_t number{1}; number <= 250; ++number) {
        auto request = makeRequest(number);
        request.idempotencyKey = "key-" + std::to_string(number);
        request.wallClock = number % 2 == 0 ? seconds{100} : seconds{90'000};
        REQUIRE(claim({}, directCall(store), breaker, request, FixedClock).verdict == claim_verdict::Run);
    }
    prune_cursor cursor;
    std::size_t removed{0};
    int steps{0};
    do {
        store.calls = 0;
        const auto step = pruneClaims({}, directCall(store), cursor, seconds{100 + 24 * 3600 + 1});
        CHECK(store.calls <= 2);
        REQUIRE_FALSE(step.error);
        removed += step.removed;
        cursor = step.next;
        ++steps;
    } while (!cursor.from.empty());
    CHECK(steps == 3);
    CHECK(removed == 125);
    CHECK(store.entries.size() == 125);
}

TEST_CASE("a request with a malformed claim record is refused with an unknown outcome", "[claims]")
{
    for (const std::string value : {"", "x", "\x93\x01\x02\x03", "\x99"}) {
        CAPTURE(value);
        std::error_code error;
        (void)decodeClaimRecord(value, error);
        CHECK(error == claims_errc::RecordMalformed);
        fake_store store;
        const auto key = claimKey("w", "key-1");
        store.entries[key] = {key, value, 7};
        store.revision = 7;
        const auto result = claimOnce(store, makeRequest(1));
        CHECK(result.refusal == refusal_kind::DuplicateUnknown);
        CHECK(result.reportedOutcome == outcome::Unknown);
    }
}
