#include "standins/support/answer_body.h"
#include "standins/support/load_report.h"
#include "standins/support/load_scenario.h"

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

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

request_record makeRecord(std::size_t stream, const std::string &testId, request_end end, outcome claimed = outcome::Ran)
{
    request_record record;
    record.stream = stream;
    record.testId = testId;
    record.attempts = 1;
    record.end = end;
    record.claimed = claimed;
    record.refusal = end == request_end::Refused ? "overloaded" : "";
    record.onlyNotRun = end == request_end::Refused && claimed == outcome::NotRun;
    record.latency = milliseconds{10};
    return record;
}

} // namespace

TEST_CASE("a scenario is read whole")
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

TEST_CASE("scenario errors name the line and the remedy")
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
        {"name: view", "name: buy", 5, scenario_errc::NameTwice},
        {"9100\"]", "9100\"], baseline: nobody", 4, scenario_errc::StreamUnknown},
        {"stream: view", "stream: nobody", 8, scenario_errc::StreamUnknown},
        {"at_s: 4, ", "", 8, scenario_errc::FieldMissing},
    };
    for (const auto &row : cases) {
        const auto result = parseScenario(replaced(GoodScenario, row.from, row.to));
        CAPTURE(row.from, row.to);
        REQUIRE_FALSE(result.errors.empty());
        CAPTURE(toText(result.errors.front()));
        CHECK(result.errors.front().line == row.line);
        CHECK(result.errors.front().code == make_error_code(row.code));
        CHECK(result.errors.front().code.message().find("; ") != std::string::npos);
    }
}

TEST_CASE("loopback addresses only")
{
    for (const auto *text : {"127.0.0.1", "128.0.0.1:80", "localhost:80", "127.0.0.1:65536", "127.0.0.1:8x", ":80", "0.0.0.0:80"}) {
        CAPTURE(text);
        CHECK_FALSE(parseEndpoint(text).has_value());
    }
    CHECK(parseEndpoint("127.255.0.1:65535") == endpoint{"127.255.0.1", 65535});
}

TEST_CASE("answer bodies show cuts and crossings")
{
    rc::prop("any shortened body is cut and another request's body is crossed", [] {
        const auto size = *rc::gen::inRange<std::size_t>(0, 400);
        const auto testId = "t-" + std::to_string(*rc::gen::inRange(0, 1000));
        const auto body = makeAnswerBody("clips", testId, size);
        RC_ASSERT(body.size() >= size);
        RC_ASSERT(checkAnswerBody(body, testId) == answer_check::Whole);
        RC_ASSERT(checkAnswerBody(body, testId + "0") == answer_check::Crossed);
        const auto shorter = *rc::gen::inRange<std::size_t>(0, body.size());
        RC_ASSERT(checkAnswerBody(body.substr(0, shorter), testId) == answer_check::Cut);
    });
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

TEST_CASE("a report counts ends and finds the worst workspace")
{
    const auto scenario = parseScenario(GoodScenario).scenario;
    const std::vector<request_record> records{makeRecord(0, "a", request_end::Ok),
                                              makeRecord(0, "b", request_end::Refused, outcome::NotRun),
                                              makeRecord(1, "c", request_end::Ok),
                                              makeRecord(1, "d", request_end::NotSent),
                                              makeRecord(2, "e", request_end::Ok)};
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
}

TEST_CASE("every falsehood fails a run")
{
    const auto scenario = parseScenario(GoodScenario).scenario;
    struct falsehood_case
    {
        request_record record;
        target_runs target;
        falsehood_report expected;
    };
    const auto refused = makeRecord(0, "a", request_end::Refused, outcome::NotRun);
    const std::vector<falsehood_case> cases{
        {makeRecord(1, "a", request_end::Crossed), {}, {1, 0, 0, 0, 0}},
        {makeRecord(1, "a", request_end::Cut), {}, {0, 1, 0, 0, 0}},
        {refused, {"packages", 1, {{"a", 1}}, 0}, {0, 0, 1, 0, 0}},
        {makeRecord(0, "a", request_end::Ok), {"packages", 2, {{"a", 2}}, 0}, {0, 0, 0, 1, 0}},
        {makeRecord(1, "a", request_end::Ok), {"clips", 1, {{"a", 1}}, 1}, {0, 0, 0, 0, 1}},
        {makeRecord(0, "a", request_end::Ok), {"clips", 2, {{"a", 2}}, 0}, {}},
        {makeRecord(1, "a", request_end::Ok), {"clips", 2, {{"a", 2}}, 0}, {}},
        {refused, {"packages", 1, {{"b", 1}}, 0}, {}},
    };
    for (const auto &row : cases) {
        const auto report = makeReport(scenario, {row.record}, {{row.target}, 0});
        CHECK(report.falsehoods == row.expected);
        CHECK(isFalse(report.falsehoods) == (row.expected != falsehood_report{}));
    }
}
