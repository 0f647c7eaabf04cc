#include "ragwortpin/rights/batches.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr time_point Start{seconds{100}};

/** Creates a node without slots; the pool of its availability zone is the instance "pool". */
rights_state makeRequester()
{
    auto state = makeRights({}, {"asker", "a", "10.0.0.1:7", 42}, Start);
    auto config = std::make_shared<configuration>();
    config->revision = 1;
    config->workspaces = {{"w", 100.0, 100.0, 1.0}};
    config->availabilityZones = {{"a", "region", 1.0}};
    auto members = std::make_shared<membership_view>();
    instance_record pool;
    pool.name = "pool";
    pool.availabilityZone = "a";
    pool.state = instance_state::Ready;
    members->instances = {pool};
    onConfiguration(state, config, Start);
    onMembers(state, members, Start);
    return state;
}

/** Takes a token at the given time, which must wait, and returns the batch request that is sent to the pool. */
batch_request requestBatchAt(rights_state &state, time_point now)
{
    const auto decision = takeToken(state, "w", now, now);
    REQUIRE(decision.verdict == token_verdict::Wait);
    const auto output = takeOutput(state);
    REQUIRE(output.messages.size() == 1);
    return std::get<batch_request>(output.messages.front().message.body);
}

void grantAt(rights_state &state, const batch_request &request, std::uint32_t kept, std::uint32_t tokens, time_point now)
{
    batch_grant grant{"w", request.number, 42, kept, tokens, request.sentAt, duration::zero(), milliseconds{20}, false};
    onMessage(state, {"pool", 7, grant}, now);
}

std::uint32_t heldTokens(const rights_state &state)
{
    return state.workspaces.at("w").accounts.front().tokens;
}

} // namespace

TEST_CASE("the life of a batch counts from the time of its request", "[rights][I6]")
{
    struct life_case
    {
        duration arrival;
        duration use;
        bool admitted;
    };
    const std::vector<life_case> cases{
        {milliseconds{1}, milliseconds{479}, true},
        {milliseconds{1}, milliseconds{480}, false},
        {milliseconds{300}, milliseconds{479}, true},
        {milliseconds{300}, milliseconds{480}, false},
        {milliseconds{480}, milliseconds{481}, false},
    };
    for (const auto &item : cases) {
        CAPTURE(item.arrival.count(), item.use.count());
        auto state = makeRequester();
        const auto request = requestBatchAt(state, Start);
        grantAt(state, request, 0, 5, Start + item.arrival);
        const auto decision = takeToken(state, "w", Start + item.use, Start + item.use);
        CHECK((decision.verdict == token_verdict::Admitted) == item.admitted);
    }
}

TEST_CASE("a holder drops tokens that the pool does not count as held", "[rights][I6]")
{
    for (const auto counted : {0U, 1U, 3U}) {
        CAPTURE(counted);
        auto state = makeRequester();
        grantAt(state, requestBatchAt(state, Start), 0, 3, Start + milliseconds{1});
        auto &account = state.workspaces.at("w").accounts.front();
        account.awaitingReply = true;
        grantAt(state, {"w", account.number, 0, 3, 0, 2, 0, Start + milliseconds{2}}, counted, 2, Start + milliseconds{3});
        CHECK(heldTokens(state) == counted + 2);
    }
}

TEST_CASE("a repeated or outdated grant is ignored", "[rights][I6]")
{
    auto state = makeRequester();
    const auto first = requestBatchAt(state, Start);
    grantAt(state, first, 0, 3, Start + milliseconds{1});
    grantAt(state, first, 0, 3, Start + milliseconds{2});
    CHECK(heldTokens(state) == 3);
    CHECK(state.counters.messagesIgnored == 1);
    auto late = makeRequester();
    const auto firstRequest = requestBatchAt(late, Start);
    const auto again = Start + milliseconds{100};
    (void)requestBatchAt(late, again);
    grantAt(late, firstRequest, 0, 3, again + milliseconds{1});
    CHECK(heldTokens(late) == 0);
}
