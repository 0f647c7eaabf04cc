#include "ragwortpin/identity/credentials.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

struct header
{
    std::string name;
    std::string value;
};

struct extraction_case
{
    std::string name;
    std::string target;
    std::vector<header> headers;
    std::string secret;
    bool exposed;
};

http_request makeRequest(const extraction_case &entry)
{
    http_request request{http::verb::get, entry.target, 11};
    for (const auto &field : entry.headers) {
        request.insert(field.name, field.value);
    }
    return request;
}

} // namespace

TEST_CASE("an API key is removed from every header field and reported when it is in the request target")
{
    const std::vector<extraction_case> cases{
        {"no key", "/clips", {{"Accept", "*/*"}}, "", false},
        {"bearer", "/clips", {{"Authorization", "Bearer secret-key-1"}}, "secret-key-1", false},
        {"bearer in another case", "/clips", {{"authorization", "bEaReR   secret-key-1"}}, "secret-key-1", false},
        {"api key", "/clips", {{"X-Api-Key", "secret-key-1"}}, "secret-key-1", false},
        {"key in both fields", "/clips", {{"X-Api-Key", "secret-key-2"}, {"Authorization", "Bearer secret-key-1"}}, "secret-key-1", false},
        {"another scheme", "/clips", {{"Authorization", "Basic c2VjcmV0LWtleS0x"}}, "", false},
        {"two keys in repeated fields", "/clips", {{"X-Api-Key", "secret-key-1"}, {"X-Api-Key", "secret-key-2"}}, "secret-key-1", false},
        {"copied into another field", "/clips", {{"X-Api-Key", "secret-key-1"}, {"X-Debug", "k=secret-key-1"}}, "secret-key-1", false},
        {"in the query", "/clips?key=secret-key-1", {{"X-Api-Key", "secret-key-1"}}, "secret-key-1", true},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        auto request = makeRequest(entry);
        const auto extraction = extractApiKey(request);
        CHECK(extraction.secret == entry.secret);
        CHECK(extraction.exposedInRequestTarget == entry.exposed);
        for (const auto &field : request) {
            CHECK(field.value().find("secret-key") == boost::beast::string_view::npos);
            CHECK(field.name() != http::field::authorization);
        }
    }
}

TEST_CASE("idempotency keys are visible ASCII of bounded length")
{
    struct validity_case
    {
        std::string value;
        bool valid;
    };
    const std::vector<validity_case> cases{{"", false},
                                           {"a", true},
                                           {std::string(128, 'x'), true},
                                           {std::string(129, 'x'), false},
                                           {"with space", false},
                                           {"\x7f", false},
                                           {"caf\xc3\xa9", false}};
    for (const auto &entry : cases) {
        CAPTURE(entry.value);
        CHECK(isValidIdempotencyKey(entry.value) == entry.valid);
    }
}

TEST_CASE("traceparent is parsed and formatted as defined by W3C Trace Context")
{
    const std::string traceId(32, '1');
    const std::string spanId(16, '2');
    struct traceparent_case
    {
        std::string value;
        bool valid;
        bool sampled;
    };
    const std::vector<traceparent_case> cases{{"00-" + traceId + "-" + spanId + "-01", true, true},
                                              {"00-" + traceId + "-" + spanId + "-00", true, false},
                                              {"00-" + traceId + "-" + spanId + "-0a", true, false},
                                              {"00-" + traceId + "-" + spanId + "-0b", true, true},
                                              {"01-" + traceId + "-" + spanId + "-01", false, false},
                                              {"00-" + std::string(32, '0') + "-" + spanId + "-01", false, false},
                                              {"00-" + std::string(32, 'A') + "-" + spanId + "-01", false, false},
                                              {"00-" + traceId + "-" + spanId + "-01-extra", false, false},
                                              {"", false, false}};
    for (const auto &entry : cases) {
        CAPTURE(entry.value);
        const auto parsed = parseTraceparent(entry.value);
        REQUIRE(parsed.has_value() == entry.valid);
        if (parsed) {
            CHECK(parsed->sampled == entry.sampled);
            CHECK(parseTraceparent(formatTraceparent(*parsed)) == parsed);
        }
    }
    const auto trace = makeTrace(true);
    CHECK(parseTraceparent(formatTraceparent(trace)) == trace);
    CHECK(makeChildSpan(trace).traceId == trace.traceId);
    CHECK(makeChildSpan(trace).spanId != trace.spanId);
}
