#include "ragwortpin/targets/target_gateway.h"

#include "ragwortpin/http/server.h"
#include "ragwortpin/identity/credentials.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr seconds TestTimeout{20};

/** Target gateway with an in-process target that holds each response back until the test notifies its signal. */
struct gateway_fixture
{
    boost::asio::io_context context{1};
    metrics_registry metrics;
    http_client_pool client{context, {}};
    std::vector<std::shared_ptr<async_signal>> heldResponses;
    std::vector<std::string> receivedFields;
    http_server target{context,
                       {},
                       [this](http_request request, const std::shared_ptr<call_control> &) {
                           return answer(std::move(request));
                       },
                       [](refusal_kind) {}};
    target_gateway gateway{context, client, metrics, [](const span &) {}};

    explicit gateway_fixture(std::uint32_t slots)
    {
        REQUIRE_FALSE(target.listen({"127.0.0.1", 0}));
        gateway.announce({"clips", {"127.0.0.1", target.port()}, slots, slots}, monotonicNow());
    }

    boost::asio::awaitable<http_response> answer(http_request request)
    {
        for (const auto &field : request) {
            receivedFields.emplace_back(field.name_string());
        }
        auto signal = std::make_shared<async_signal>(context);
        heldResponses.push_back(signal);
        co_await signal->wait();
        co_return makeResponse(http::status::ok, "text/plain", "fine");
    }

    std::shared_ptr<call_answer>
    startCall(unsigned rank, std::shared_ptr<call_control> control = std::make_shared<call_control>(), duration limit = TestTimeout)
    {
        auto result = std::make_shared<call_answer>();
        inbound_call call{.request = http_request{http::verb::get, "/clips", 11},
                          .context = {},
                          .definition = {},
                          .deadline = monotonicNow() + limit,
                          .control = std::move(control)};
        call.context.rank = rank;
        call.context.workspace = "large";
        call.context.retryAllowance = 3;
        call.context.trace = makeTrace(false);
        call.definition.service = "clips";
        boost::asio::co_spawn(context, gateway.run(std::move(call), 1.0), [result](const std::exception_ptr &, call_answer answer) {
            *result = std::move(answer);
        });
        return result;
    }

    /** Runs the context until the condition holds. Returns false if it does not hold within TestTimeout. */
    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto limit = monotonicNow() + TestTimeout;
        while (!condition() && monotonicNow() < limit) {
            context.restart();
            context.run_for(milliseconds{5});
        }
        return condition();
    }

    bool isAnswered(const std::shared_ptr<call_answer> &answer) const
    {
        return answer->response.result_int() != 200 ? answer->refusal.has_value() : answer->result == outcome::Ran;
    }
};

} // namespace

TEST_CASE("a queued request that has expired is refused when another request is offered")
{
    gateway_fixture fixture{1};
    const auto running = fixture.startCall(1);
    REQUIRE(fixture.runUntil([&] {
        return fixture.heldResponses.size() == 1;
    }));
    constexpr milliseconds ShortLimit{200};
    const auto deadline = monotonicNow() + ShortLimit;
    const auto queued = fixture.startCall(1, std::make_shared<call_control>(), ShortLimit);
    REQUIRE(fixture.runUntil([&] {
        return fixture.gateway.requests() == 2 && monotonicNow() > deadline;
    }));
    const auto later = fixture.startCall(1);
    REQUIRE(fixture.runUntil([&] {
        return fixture.isAnswered(queued);
    }));
    CHECK(queued->refusal == refusal_kind::DeadlineExceeded);
    CHECK(queued->result == outcome::NotRun);
    REQUIRE(fixture.runUntil([&] {
        for (const auto &signal : fixture.heldResponses) {
            signal->notifyAll();
        }
        return fixture.isAnswered(running) && fixture.isAnswered(later);
    }));
    CHECK(running->result == outcome::Ran);
    CHECK(later->result == outcome::Ran);
    CHECK(fixture.gateway.requests() == 0);
}

TEST_CASE("a target receives a token and a deadline but no internal context")
{
    gateway_fixture fixture{4};
    const auto answer = fixture.startCall(1);
    REQUIRE(fixture.runUntil([&] {
        return fixture.heldResponses.size() == 1;
    }));
    fixture.heldResponses.front()->notifyAll();
    REQUIRE(fixture.runUntil([&] {
        return answer->result == outcome::Ran;
    }));
    CHECK(answer->unusedAllowance == 3);
    const auto receivedOnce = [&fixture](const std::string &name) {
        return std::count(fixture.receivedFields.begin(), fixture.receivedFields.end(), name) == 1;
    };
    CHECK(receivedOnce("Ragwortpin-Request"));
    CHECK(receivedOnce("Ragwortpin-Deadline-Ms"));
    CHECK(receivedOnce("traceparent"));
    CHECK_FALSE(receivedOnce("Ragwortpin-Context"));
}

TEST_CASE("a cancelled request frees its slot or its place in the queue")
{
    gateway_fixture fixture{1};
    const auto runningControl = std::make_shared<call_control>();
    const auto queuedControl = std::make_shared<call_control>();
    const auto running = fixture.startCall(1, runningControl);
    const auto queued = fixture.startCall(1, queuedControl);
    REQUIRE(fixture.runUntil([&] {
        return fixture.heldResponses.size() == 1 && fixture.gateway.requests() == 2;
    }));
    queuedControl->cancel();
    REQUIRE(fixture.runUntil([&] {
        return fixture.isAnswered(queued);
    }));
    CHECK(queued->result == outcome::NotRun);
    CHECK(fixture.gateway.requests() == 1);
    runningControl->cancel();
    REQUIRE(fixture.runUntil([&] {
        return running->refusal.has_value();
    }));
    CHECK(running->result == outcome::Unknown);
    CHECK(fixture.gateway.requests() == 0);
}

TEST_CASE("a draining gateway refuses requests with the outcome not run")
{
    gateway_fixture fixture{4};
    fixture.gateway.startDraining();
    const auto refused = fixture.startCall(0);
    REQUIRE(fixture.runUntil([&] {
        return refused->refusal.has_value();
    }));
    CHECK(refused->refusal == refusal_kind::Draining);
    CHECK(refused->result == outcome::NotRun);
    CHECK(refused->unusedAllowance == 3);
    CHECK(fixture.heldResponses.empty());
}
