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
#include <functional>
#include <memory>
#include <random>
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

    /** Announces a target of the given service and incarnation at the same address. */
    void announce(const std::string &service, const std::string &incarnation)
    {
        auto announcement = *gateway.announced();
        announcement.service = service;
        announcement.incarnation = incarnation;
        gateway.announce(announcement, monotonicNow());
    }

    /** Runs the context for as long as bytes take over loopback. */
    void settle()
    {
        context.restart();
        context.run_for(milliseconds{3});
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

TEST_CASE("requests that wait for a slot learn at once that their target may not run them")
{
    struct withdrawal_case
    {
        std::string name;
        std::function<void(gateway_fixture &)> event;
        refusal_kind refusal;
    };
    const std::vector<withdrawal_case> cases{
        {"the target drains",
         [](gateway_fixture &fixture) {
             fixture.gateway.startDraining();
         },
         refusal_kind::Draining},
        {"a target of another service has the address",
         [](gateway_fixture &fixture) {
             fixture.announce("packages", "i-2");
         },
         refusal_kind::NotReady},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        gateway_fixture fixture{1};
        const auto running = fixture.startCall(1);
        const auto queued = fixture.startCall(1);
        REQUIRE(fixture.runUntil([&] {
            return fixture.heldResponses.size() == 1 && fixture.gateway.requests() == 2;
        }));
        entry.event(fixture);
        REQUIRE(fixture.runUntil([&] {
            return fixture.isAnswered(queued);
        }));
        CHECK(queued->refusal == entry.refusal);
        CHECK(queued->result == outcome::NotRun);
        fixture.heldResponses.front()->notifyAll();
        REQUIRE(fixture.runUntil([&] {
            return fixture.isAnswered(running);
        }));
        CHECK(running->result == outcome::Ran);
        CHECK(fixture.heldResponses.size() == 1);
        CHECK(fixture.gateway.requests() == 0);
    }
}

TEST_CASE("nothing reaches a target after an event that forbids it, at any moment of a request")
{
    constexpr std::uint64_t Seeds{40};
    constexpr unsigned Steps{30};
    constexpr std::uint32_t Slots{2};
    for (std::uint64_t seed{1}; seed <= Seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        gateway_fixture fixture{Slots};
        std::vector<std::shared_ptr<call_answer>> calls;
        bool isForbidden{false};
        for (unsigned step{0}; step < Steps; ++step) {
            switch (random() % 5) {
            case 0:
                fixture.gateway.startDraining();
                isForbidden = true;
                break;
            case 1:
                fixture.announce("packages", "i-" + std::to_string(step));
                isForbidden = true;
                break;
            case 2:
                fixture.announce("clips", "i-" + std::to_string(step));
                fixture.gateway.stopDraining();
                isForbidden = false;
                break;
            case 3:
                for (const auto &held : fixture.heldResponses) {
                    held->notifyAll();
                }
                break;
            default:
                calls.push_back(fixture.startCall(1));
                calls.push_back(fixture.startCall(1));
                break;
            }
            if (random() % 2 == 0) {
                fixture.context.restart();
                fixture.context.poll_one();
                continue;
            }
            // Whatever was sent before the event arrives now; nothing may follow.
            fixture.settle();
            const auto arrivals = fixture.heldResponses.size();
            for (const auto &held : fixture.heldResponses) {
                held->notifyAll();
            }
            fixture.settle();
            CHECK((!isForbidden || fixture.heldResponses.size() == arrivals));
        }
        REQUIRE(fixture.runUntil([&] {
            for (const auto &held : fixture.heldResponses) {
                held->notifyAll();
            }
            return std::all_of(calls.begin(), calls.end(), [&fixture](const auto &call) {
                return fixture.isAnswered(call);
            });
        }));
        const auto ran = std::count_if(calls.begin(), calls.end(), [](const auto &call) {
            return call->result == outcome::Ran;
        });
        CHECK(static_cast<std::size_t>(ran) == fixture.heldResponses.size());
        CHECK(fixture.gateway.requests() == 0);
    }
}

TEST_CASE("a caller of an open route is not taken for a call of the target because its deadline is merely near that of a run")
{
    struct window_case
    {
        std::string name;
        duration loopDelay;
        int expectedWindowMs;
    };
    const std::vector<window_case> cases{
        {"an idle node reads calls at once", microseconds{100}, 10},
        {"a busy node reads them later", milliseconds{10}, 80},
        {"an overloaded node", seconds{1}, 250},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        gateway_fixture fixture{4};
        fixture.gateway.observeNodeLoad({entry.loopDelay, 0.1}, monotonicNow());
        const auto running = fixture.startCall(1);
        REQUIRE(fixture.runUntil([&] {
            return fixture.heldResponses.size() == 1;
        }));
        const auto near = monotonicNow() + TestTimeout;
        int matching{0};
        for (int offsetMs{-1000}; offsetMs < 1000; ++offsetMs) {
            matching += fixture.gateway.mayBeTargetCall(near + milliseconds{offsetMs}) ? 1 : 0;
        }
        // The window begins 3 ms before the deadline of the run, since deadlines are rounded.
        CHECK(matching >= entry.expectedWindowMs);
        CHECK(matching <= entry.expectedWindowMs + 5);
        fixture.heldResponses.front()->notifyAll();
        REQUIRE(fixture.runUntil([&] {
            return fixture.isAnswered(running);
        }));
        CHECK_FALSE(fixture.gateway.mayBeTargetCall(near));
    }
}
