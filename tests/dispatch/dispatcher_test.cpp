#include "ragwortpin/dispatch/dispatcher.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace ragwortpin;

namespace {

/** Answer of the node's own target to one attempt, and the expected result of the dispatch. */
struct attempt_case
{
    std::string name;
    /** Status answered by the target; 0 for a lost answer. */
    unsigned status{200};
    bool retryable{true};
    /** Whether the fleet-wide budget grants a repeat. */
    bool isRepeatGranted{true};
    unsigned expectedStatus{200};
    unsigned expectedArrivals{1};
};

[[nodiscard]] call_answer makeTargetAnswer(unsigned status)
{
    call_answer answer;
    if (status == 0) {
        answer = refuseCall(refusal_kind::AnswerLost, outcome::Unknown, 0);
    } else {
        answer.response = makeResponse(static_cast<http::status>(status), "text/plain", "from the target");
        answer.result = outcome::Ran;
    }
    answer.arrivals = 1;
    return answer;
}

/** Dispatches a call at a node whose own target is the only instance of the service. */
[[nodiscard]] call_answer dispatchToOwnTarget(const attempt_case &testCase)
{
    boost::asio::io_context context;
    http_client_pool client{context, {}};
    instance_directory directory{"zone"};
    instance_record own{.name = "self", .availabilityZone = "zone", .service = "s", .state = instance_state::Ready, .slots = 8};
    directory.updateMembers({{own}}, monotonicNow());
    metrics_registry metrics;
    const auto run = [status = testCase.status](inbound_call) -> boost::asio::awaitable<call_answer> {
        co_return makeTargetAnswer(status);
    };
    const auto grant
        = [isRepeatGranted = testCase.isRepeatGranted](repeat_request, std::shared_ptr<call_control>) -> boost::asio::awaitable<bool> {
        co_return isRepeatGranted;
    };
    dispatcher calls{{"self", {{std::string(32, 'x')}}}, client, directory, metrics, run, 1, {}, grant};

    inbound_call call{.request = {}, .context = {}, .definition = {}, .deadline = monotonicNow() + seconds{1}, .control = {}};
    call.definition.service = "s";
    call.definition.retryable = testCase.retryable;
    call.context.retryAllowance = DefaultRetryAllowance;
    call.control = std::make_shared<call_control>();
    call_answer result;
    boost::asio::co_spawn(context, calls.dispatch(std::move(call)), [&result](const std::exception_ptr &error, call_answer answer) {
        REQUIRE_FALSE(error);
        result = std::move(answer);
    });
    context.run();
    return result;
}

} // namespace

TEST_CASE("without another instance to retry at, the caller receives the complete last answer")
{
    const std::vector<attempt_case> cases{
        {.name = "success", .status = 200, .expectedStatus = 200},
        {.name = "failure, repeat granted", .status = 500, .expectedStatus = 500},
        {.name = "failure, repeat not granted", .status = 500, .isRepeatGranted = false, .expectedStatus = 500},
        {.name = "failure, not repeatable", .status = 500, .retryable = false, .expectedStatus = 500},
        {.name = "lost answer, repeat granted", .status = 0, .expectedStatus = 502},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto answer = dispatchToOwnTarget(entry);
        CHECK(answer.response.result_int() == entry.expectedStatus);
        CHECK(answer.arrivals == entry.expectedArrivals);
        if (entry.status != 0) {
            CHECK_FALSE(answer.refusal.has_value());
            CHECK(answer.response.body() == "from the target");
        }
    }
}
