#include "ragwortpin/rates/headroom_loan.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr double Rate{40.0};
constexpr milliseconds TickInterval{250};

/** Returns the buckets of a node with the given number of peers: full, and with a demand below the rate. */
[[nodiscard]] shared_rates makeFullRates(std::size_t peers, time_point &now)
{
    auto rates = makeSharedRates({}, now);
    applyLimits(rates, {{.name = "w", .rate = Rate, .burst = Rate}}, now);
    std::uint64_t sequence{0};
    for (int tick{0}; tick < 12; ++tick) {
        now += TickInterval;
        ++sequence;
        for (std::size_t peer{0}; peer < peers; ++peer) {
            applyReport(rates, {"p" + std::to_string(peer), 1, sequence, {{workspaceId("w"), 0, 1.0}}}, now);
        }
        updateAllowances(rates, now);
    }
    return rates;
}

/** Takes tokens until the first refusal. Returns the number taken. */
[[nodiscard]] std::size_t admitAll(shared_rates &rates, time_point now)
{
    std::size_t admitted{0};
    while (takeToken(rates, "w", now).admitted) {
        ++admitted;
    }
    return admitted;
}

} // namespace

TEST_CASE("headroom messages survive encoding, and malformed ones are rejected")
{
    struct message_case
    {
        std::string name;
        headroom_message message;
    };
    const std::vector<message_case> cases{
        {"request", {.isAnswer = false, .number = 7, .workspace = 0xffffffffU, .requests = 2}},
        {"answer", {.isAnswer = true, .number = 1ULL << 63U, .workspace = 1, .requests = 0}},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto encoded = encode(entry.message);
        CHECK(decodeHeadroomMessage(encoded) == entry.message);
        CHECK_FALSE(decodeHeadroomMessage(encoded + 'x').has_value());
        CHECK_FALSE(decodeHeadroomMessage(std::string_view{encoded}.substr(1)).has_value());
    }
    rc::prop("any bytes are decoded or rejected", [](const std::string &bytes) {
        const auto decoded = decodeHeadroomMessage(bytes);
        if (decoded) {
            RC_ASSERT(encode(*decoded).size() <= bytes.size());
        }
    });
}

TEST_CASE("lent headroom moves from the lender to the borrower and is not created")
{
    time_point now{seconds{100}};
    const auto full = makeFullRates(7, now);

    auto withoutLoan = full;
    const auto admittedWithoutLoan = admitAll(withoutLoan, now);
    REQUIRE(admittedWithoutLoan > 0);

    auto lender = full;
    auto borrower = full;
    pending_headroom_requests questions;
    const auto request = requestHeadroom(questions, workspaceId("w"), now);
    CHECK(isHeadroomRequested(questions, workspaceId("w")));
    const auto answer = answerHeadroomRequest(lender, request, now);
    CHECK(answer.requests > 0);
    CHECK(acceptHeadroom(borrower, questions, answer));
    CHECK_FALSE(isHeadroomRequested(questions, workspaceId("w")));
    const double limitOfBoth{lender.buckets.at(workspaceId("w")).unreportedLimit + borrower.buckets.at(workspaceId("w")).unreportedLimit};
    CHECK(static_cast<double>(admitAll(lender, now) + admitAll(borrower, now)) <= limitOfBoth);
}

TEST_CASE("an answer is applied once, and only if its request is pending")
{
    time_point now{seconds{100}};
    auto rates = makeFullRates(7, now);
    pending_headroom_requests questions;
    const auto request = requestHeadroom(questions, workspaceId("w"), now);
    const auto before = rates;

    auto answer = request;
    answer.isAnswer = true;
    answer.requests = 2;
    ++answer.number;
    CHECK_FALSE(acceptHeadroom(rates, questions, answer));
    CHECK(rates.buckets == before.buckets);

    answer.number = request.number;
    CHECK(acceptHeadroom(rates, questions, answer));
    const auto after = rates;
    CHECK_FALSE(acceptHeadroom(rates, questions, answer));
    CHECK(rates.buckets == after.buckets);
}

TEST_CASE("requests without an answer expire")
{
    time_point now{seconds{100}};
    pending_headroom_requests questions;
    const auto request = requestHeadroom(questions, 1, now);
    expireHeadroomRequests(questions, now + milliseconds{50});
    CHECK(isHeadroomRequested(questions, 1));
    expireHeadroomRequests(questions, now + milliseconds{100});
    CHECK_FALSE(isHeadroomRequested(questions, 1));
    auto rates = makeSharedRates({}, now);
    CHECK_FALSE(acceptHeadroom(rates, questions, {.isAnswer = true, .number = request.number, .workspace = 1, .requests = 2}));
}

TEST_CASE("a node lends no headroom of an unknown workspace or of a nearly empty bucket")
{
    time_point now{seconds{100}};
    auto rates = makeFullRates(7, now);
    CHECK(lendHeadroom(rates, workspaceId("unknown"), 2, now) == 0);
    rates.buckets.at(workspaceId("w")).level = 0.1 * Rate;
    CHECK(lendHeadroom(rates, workspaceId("w"), 2, now) == 0);
}

TEST_CASE("a node that starts among listed peers admits only its part of the rate before their first reports")
{
    struct startup_case
    {
        std::string name;
        std::size_t listedPeers;
    };
    const std::vector<startup_case> cases{{"alone", 0}, {"one of two", 1}, {"one of sixteen", 15}};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        time_point now{seconds{100}};
        auto rates = makeSharedRates({}, now);
        std::vector<std::string> names;
        for (std::size_t peer{0}; peer < entry.listedPeers; ++peer) {
            names.push_back("p" + std::to_string(peer));
        }
        setMembers(rates, "n0", names, now);
        applyLimits(rates, {{.name = "w", .rate = Rate, .burst = Rate}}, now);
        std::size_t admitted{0};
        for (int tick{0}; tick < 4; ++tick) {
            now += TickInterval;
            updateAllowances(rates, now);
            admitted += admitAll(rates, now);
        }
        const double tokens{shared_rate_options{}.initialLevelFraction * Rate + Rate * toSeconds(4 * TickInterval)};
        CHECK(static_cast<double>(admitted) <= tokens / static_cast<double>(entry.listedPeers + 1) + 1.0);
    }
}
