#include "standins/support/load_report.h"
#include "standins/support/load_scenario.h"
#include "standins/support/response_body.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ragwortpin;
using namespace ragwortpin::standins;

namespace {

const std::string GoodScenario{R"(duration_s: 10
nodes: [127.0.0.1:7100, 127.3.2.1:7110]
streams:
  - {name: buy, workspace: academy, importance: purchase, path: /packages, rate: 5, once: true, service: packages}
  - {name: view, workspace: club, importance: browse, path: /clips, rate: 50, retry: hard}
  - {name: direct, importance: probe, path: /clips, rate: 1, addresses: ["127.0.0.1:9100"]}
phases:
  - {name: surge, at_s: 4, factors: [{stream: view, factor: 3}]}
)"};

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

request_record makeRecord(std::size_t stream, const std::string &testId, request_result end, outcome reportedOutcome = outcome::Ran)
{
    request_record record;
    record.stream = stream;
    record.testId = testId;
    record.attempts = 1;
    record.result = end;
    record.reportedOutcome = reportedOutcome;
    record.refusal = end == request_result::Refused ? "overloaded" : "";
    record.allAttemptsNotRun = end == request_result::Refused && reportedOutcome == outcome::NotRun;
    record.latency = milliseconds{10};
    return record;
}

} // namespace

TEST_CASE("all parts of a valid scenario are parsed")
{
    const auto result = parseScenario(GoodScenario);
    REQUIRE(result.errors.empty());
    const auto &scenario = result.scenario;
    CHECK(scenario.nodes.size() == 2);
    CHECK(scenario.streams[0].once);
    CHECK(scenario.streams[1].retry == client_retry::Hard);
    CHECK(scenario.streams[2].addresses == std::vector{endpoint{"127.0.0.1", 9100}});
    REQUIRE(scenario.phases.size() == 2);
    CHECK(phaseAt(scenario, milliseconds{3999}) == 0);
    CHECK(phaseAt(scenario, seconds{4}) == 1);
    CHECK(peakFactor(scenario, "view") == Approx(3.0));
    CHECK(peakFactor(scenario, "buy") == Approx(1.0));
}

TEST_CASE("scenario errors include the line and a remedy")
{
    struct error_case
    {
        std::string from;
        std::string to;
        int line;
        scenario_errc code;
    };
    const std::vector<error_case> cases{
        {"duration_s: 10", "duration_s: 601", 1, scenario_errc::ValueInvalid},
        {"duration_s: 10", "duration_s: 1.5", 1, scenario_errc::ValueInvalid},
        {"duration_s: 10", "seed: 1", 1, scenario_errc::FieldMissing},
        {"duration_s: 10", "duration_s: [", 3, scenario_errc::NotYaml},
        {"127.3.2.1:7110", "10.0.0.1:7110", 2, scenario_errc::AddressNotLoopback},
        {"127.3.2.1:7110", "127.0.0.1:0", 2, scenario_errc::AddressNotLoopback},
        {"path: /packages, ", "", 4, scenario_errc::FieldMissing},
        {"path: /packages", "path: packages", 4, scenario_errc::ValueInvalid},
        {"once: true", "once: maybe", 4, scenario_errc::ValueInvalid},
        {"rate: 50", "rate: -1", 5, scenario_errc::ValueInvalid},
        {"rate: 50", "rate: .nan", 5, scenario_errc::ValueInvalid},
        {"rate: 50", "rate: 7000", 4, scenario_errc::RateTooHigh},
        {"retry: hard", "retry: soft", 5, scenario_errc::ValueInvalid},
        {"retry: hard", "retries: hard", 5, scenario_errc::FieldUnknown},
        {"name: view", "name: buy", 5, scenario_errc::DuplicateName},
        {"9100\"]", "9100\"], baseline: nobody", 4, scenario_errc::StreamUnknown},
        {"stream: view", "stream: nobody", 8, scenario_errc::StreamUnknown},
        {"at_s: 4, ", "", 8, scenario_errc::FieldMissing},
    };
    for (const auto &row : cases) {
        const auto result = parseScenario(replaceFirst(GoodScenario, row.from, row.to));
        CAPTURE(row.from, row.to);
        REQUIRE_FALSE(result.errors.empty());
        CAPTURE(toText(result.errors.front()));
        CHECK(result.errors.front().line == row.line);
        CHECK(result.errors.front().code == make_error_code(row.code));
        CHECK(result.errors.front().code.message().find("; ") != std::string::npos);
    }
}

TEST_CASE("only loopback addresses with a valid port are parsed")
{
    for (const auto *text : {"127.0.0.1", "128.0.0.1:80", "localhost:80", "127.0.0.1:65536", "127.0.0.1:8x", ":80", "0.0.0.0:80"}) {
        CAPTURE(text);
        CHECK_FALSE(parseEndpoint(text).has_value());
    }
    CHECK(parseEndpoint("127.255.0.1:65535") == endpoint{"127.255.0.1", 65535});
}

TEST_CASE("truncated and mismatched response bodies are detected")
{
    rc::prop("a shortened body is reported as truncated and the body of another request as mismatched", [] {
        const auto size = *rc::gen::inRange<std::size_t>(0, 400);
        const auto testId = "t-" + std::to_string(*rc::gen::inRange(0, 1000));
        const auto body = makeResponseBody("clips", testId, size);
        RC_ASSERT(body.size() >= size);
        RC_ASSERT(checkResponseBody(body, testId) == body_check::Complete);
        RC_ASSERT(checkResponseBody(body, testId + "0") == body_check::Mismatched);
        const auto other = makeResponseBody("clips", testId.substr(0, testId.size() - 1) + "x", body.size());
        const auto spliced = body.substr(0, body.size() - testId.size()) + other.substr(other.size() - testId.size());
        RC_ASSERT(checkResponseBody(spliced, testId) == body_check::Mismatched);
        const auto shorter = *rc::gen::inRange<std::size_t>(0, body.size());
        RC_ASSERT(checkResponseBody(body.substr(0, shorter), testId) == body_check::Truncated);
    });
    // Its length is that which the digits left of the length field name.
    CHECK(checkResponseBody(makeResponseBody("clips", "t-0", 71).substr(0, 7), "t-0") == body_check::Truncated);
}

TEST_CASE("percentiles are values of the sample")
{
    CHECK(summarise({}) == latency_summary{});
    std::vector<duration> latencies;
    for (int value{200}; value > 0; --value) {
        latencies.emplace_back(value);
    }
    CHECK(summarise(latencies) == latency_summary{200, duration{100}, duration{198}, duration{200}});
}

TEST_CASE("a report counts request results and finds the workspace with the lowest success ratio")
{
    const auto scenario = parseScenario(GoodScenario).scenario;
    const std::vector<request_record> records{makeRecord(0, "a", request_result::Ok),
                                              makeRecord(0, "b", request_result::Refused, outcome::NotRun),
                                              makeRecord(1, "c", request_result::Ok),
                                              makeRecord(1, "d", request_result::NotSent),
                                              makeRecord(2, "e", request_result::Ok)};
    const auto report = makeReport(scenario, records, {{{"packages", 3, {{"a", 2}, {"c", 1}}, 0}}, 1});
    CHECK(report.worstWorkspace == "academy");
    CHECK(report.worstOkRatio == Approx(0.5));
    CHECK(report.rootRequests == 3);
    CHECK(report.clientAttempts == 3);
    CHECK(report.targetRuns == 3);
    REQUIRE(report.importances.size() == 2);
    CHECK(report.importances[1].refusals == std::vector<labelled_count>{{"overloaded not_run", 1}});
    CHECK(report.importances[0].errors == std::vector<labelled_count>{{"not_sent", 1}});
    CHECK(report.importances[0].goodput == Approx(0.1));
    REQUIRE(report.phases.size() == 4);
    CHECK(report.phases[0] == phase_report{"start", "browse", 1, 1, 0.25});
    CHECK(report.phases[3] == phase_report{"surge", "purchase", 0, 0, 0.0});
}

TEST_CASE("every kind of violation is counted and fails a run")
{
    const auto scenario = parseScenario(GoodScenario).scenario;
    struct violation_case
    {
        request_record record;
        target_run_counts target;
        violation_report expected;
    };
    const auto refused = makeRecord(0, "a", request_result::Refused, outcome::NotRun);
    const std::vector<violation_case> cases{
        {makeRecord(1, "a", request_result::Mismatched), {}, {1, 0, 0, 0, 0}},
        {makeRecord(1, "a", request_result::Truncated), {}, {0, 1, 0, 0, 0}},
        {refused, {"packages", 1, {{"a", 1}}, 0}, {0, 0, 1, 0, 0}},
        {makeRecord(0, "a", request_result::Ok), {"packages", 2, {{"a", 2}}, 0}, {0, 0, 0, 1, 0}},
        {makeRecord(1, "a", request_result::Ok), {"clips", 1, {{"a", 1}}, 1}, {0, 0, 0, 0, 1}},
        {makeRecord(0, "a", request_result::Ok), {"clips", 2, {{"a", 2}}, 0}, {}},
        {makeRecord(1, "a", request_result::Ok), {"clips", 2, {{"a", 2}}, 0}, {}},
        {refused, {"packages", 1, {{"b", 1}}, 0}, {}},
    };
    for (const auto &row : cases) {
        const auto report = makeReport(scenario, {row.record}, {{row.target}, 0});
        CHECK(report.violations == row.expected);
        CHECK(hasViolations(report.violations) == (row.expected != violation_report{}));
    }
}
