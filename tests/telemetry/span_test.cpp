#include "ragwortpin/telemetry/span.h"

#include <json/json.h>

#include <catch2/catch.hpp>

#include <sstream>
#include <string>

using namespace ragwortpin;

TEST_CASE("spans are encoded as OTLP JSON and root spans have no parentSpanId")
{
    const span value{.trace = {std::string(32, 'a'), std::string(16, 'b'), true},
                     .parentSpanId = std::string(16, 'c'),
                     .name = "caller",
                     .route = "clips",
                     .workspace = "large",
                     .start = microseconds{1'000'001},
                     .end = microseconds{1'000'501},
                     .httpStatus = 200,
                     .result = outcome::Ran};
    span rootSpan{value};
    rootSpan.parentSpanId.clear();
    std::istringstream text{toOtlpJson({value, rootSpan}, "clips-a")};
    Json::Value parsed;
    text >> parsed;
    const auto &spans = parsed["resourceSpans"][0]["scopeSpans"][0]["spans"];
    REQUIRE(spans.size() == 2);
    CHECK(spans[0]["traceId"].asString() == value.trace.traceId);
    CHECK(spans[0]["parentSpanId"].asString() == value.parentSpanId);
    CHECK(spans[0]["startTimeUnixNano"].asString() == "1000001000");
    CHECK(spans[0]["endTimeUnixNano"].asString() == "1000501000");
    CHECK_FALSE(spans[1].isMember("parentSpanId"));
}
