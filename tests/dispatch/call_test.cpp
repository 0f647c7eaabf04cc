#include "ragwortpin/dispatch/call.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;

TEST_CASE("answer fields round-trip between nodes and are removed from responses to callers")
{
    auto answer = refuseCall(refusal_kind::Overloaded, outcome::NotRun, 2, seconds{3});
    answer.level = {1, 0.5};
    answer.load = 0.75;
    writeAnswerFields(answer);
    const auto received = readAnswerFields(answer.response);
    CHECK(received.result == outcome::NotRun);
    CHECK(received.refusal == refusal_kind::Overloaded);
    CHECK(received.unusedAllowance == 2);
    CHECK(received.level == shed_level{1, 0.5});
    CHECK(received.load == Approx(0.75));

    const auto shown = toCallerResponse(received);
    CHECK(shown["Ragwortpin-Outcome"] == "not_run");
    CHECK(shown["Ragwortpin-Refusal"] == "overloaded");
    CHECK(shown["Retry-After"] == "3");
    CHECK(shown.count("Ragwortpin-Load") == 0);
    CHECK(shown.count("Ragwortpin-Unused-Allowance") == 0);
}

TEST_CASE("a peer response without valid internal fields has an unknown outcome and default values")
{
    struct fields_case
    {
        std::string name;
        std::string field;
        std::string value;
    };
    const std::vector<fields_case> cases{{"none", "X", "1"},
                                         {"unknown outcome", "Ragwortpin-Outcome", "perhaps"},
                                         {"bad allowance", "Ragwortpin-Unused-Allowance", "-1"},
                                         {"bad level", "Ragwortpin-Shed-Level", "1;nan"},
                                         {"level above one", "Ragwortpin-Shed-Level", "1;7"},
                                         {"bad load", "Ragwortpin-Load", "x"}};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        auto response = makeResponse(http::status::ok, "text/plain", "fine");
        response.set(entry.field, entry.value);
        const auto answer = readAnswerFields(response);
        CHECK(answer.result == outcome::Unknown);
        CHECK_FALSE(answer.refusal.has_value());
        CHECK(answer.unusedAllowance == 0);
        CHECK(answer.level == shed_level{});
        CHECK(answer.load == 0.0);
    }
}

TEST_CASE("a ContextInvalid refusal counts no arrival at a target")
{
    const auto refused = readAnswerFields(makeRefusalResponse(refusal_kind::ContextInvalid, outcome::NotRun));
    CHECK(refused.arrivals == 0);
    const auto overloaded = readAnswerFields(makeRefusalResponse(refusal_kind::Overloaded, outcome::NotRun));
    CHECK(overloaded.arrivals == 1);
}
