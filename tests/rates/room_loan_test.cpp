#include "ragwortpin/rates/room_loan.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr double Rate{40.0};
constexpr milliseconds Round{250};

/** Buckets of a node among some peers, full and calm. */
[[nodiscard]] shared_rates makeFullRates(std::size_t peers, time_point &now)
{
    auto rates = makeSharedRates({}, now);
    applyLimits(rates, {{.name = "w", .rate = Rate, .burst = Rate}}, now);
    std::uint64_t sequence{0};
    for (int round{0}; round < 12; ++round) {
        now += Round;
        ++sequence;
        for (std::size_t peer{0}; peer < peers; ++peer) {
            noteReport(rates, {"p" + std::to_string(peer), 1, sequence, {{workspaceId("w"), 0, 1.0}}}, now);
        }
        tickRates(rates, now);
    }
    return rates;
}

[[nodiscard]] std::size_t admitAll(shared_rates &rates, time_point now)
{
    std::size_t admitted{0};
    while (takeToken(rates, "w", now).admitted) {
        ++admitted;
    }
    return admitted;
}

} // namespace

TEST_CASE("messages about room survive encoding, and malformed ones are told")
{
    struct message_case
    {
        std::string name;
        room_message message;
    };
    const std::vector<message_case> cases{
        {"question", {.isAnswer = false, .number = 7, .workspace = 0xffffffffU, .requests = 2}},
        {"answer", {.isAnswer = true, .number = 1ULL << 63U, .workspace = 1, .requests = 0}},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto encoded = encode(entry.message);
        CHECK(decodeRoomMessage(encoded) == entry.message);
        CHECK_FALSE(decodeRoomMessage(encoded + 'x').has_value());
        CHECK_FALSE(decodeRoomMessage(std::string_view{encoded}.substr(1)).has_value());
    }
    rc::prop("any bytes are decoded or refused", [](const std::string &bytes) {
        const auto decoded = decodeRoomMessage(bytes);
        RC_ASSERT(!decoded || encode(*decoded).size() <= bytes.size());
    });
}

TEST_CASE("room moves from the lender to the borrower and is never made")
{
    time_point now{seconds{100}};
    const auto full = makeFullRates(7, now);

    auto alone = full;
    const auto own = admitAll(alone, now);
    REQUIRE(own > 0);

    auto lender = full;
    auto borrower = full;
    room_questions questions;
    const auto question = askForRoom(questions, workspaceId("w"), now);
    CHECK(isAsked(questions, workspaceId("w")));
    const auto answer = answerForRoom(lender, question, now);
    CHECK(answer.requests > 0);
    CHECK(acceptRoom(borrower, questions, answer));
    CHECK_FALSE(isAsked(questions, workspaceId("w")));
    const double together{lender.buckets.at(workspaceId("w")).exposedLimit + borrower.buckets.at(workspaceId("w")).exposedLimit};
    CHECK(static_cast<double>(admitAll(lender, now) + admitAll(borrower, now)) <= together);
}

TEST_CASE("an answer counts once, and only for the question it belongs to")
{
    time_point now{seconds{100}};
    auto rates = makeFullRates(7, now);
    room_questions questions;
    const auto question = askForRoom(questions, workspaceId("w"), now);
    const auto before = rates;

    auto other = question;
    other.isAnswer = true;
    other.requests = 2;
    ++other.number;
    CHECK_FALSE(acceptRoom(rates, questions, other));
    CHECK(rates.buckets == before.buckets);

    other.number = question.number;
    CHECK(acceptRoom(rates, questions, other));
    const auto after = rates;
    CHECK_FALSE(acceptRoom(rates, questions, other));
    CHECK(rates.buckets == after.buckets);
}

TEST_CASE("questions whose answers are overdue are dropped")
{
    time_point now{seconds{100}};
    room_questions questions;
    const auto question = askForRoom(questions, 1, now);
    expireQuestions(questions, now + milliseconds{50});
    CHECK(isAsked(questions, 1));
    expireQuestions(questions, now + milliseconds{100});
    CHECK_FALSE(isAsked(questions, 1));
    auto rates = makeSharedRates({}, now);
    CHECK_FALSE(acceptRoom(rates, questions, {.isAnswer = true, .number = question.number, .workspace = 1, .requests = 2}));
}

TEST_CASE("a node lends nothing that it does not know of or that is nearly spent")
{
    time_point now{seconds{100}};
    auto rates = makeFullRates(7, now);
    CHECK(lendRoom(rates, workspaceId("unknown"), 2, now) == 0);
    rates.buckets.at(workspaceId("w")).level = 0.1 * Rate;
    CHECK(lendRoom(rates, workspaceId("w"), 2, now) == 0);
}

TEST_CASE("a node that starts among listed peers takes its part of a rate before it heard from them")
{
    struct start_case
    {
        std::string name;
        std::size_t listed;
    };
    const std::vector<start_case> cases{{"alone", 0}, {"one of two", 1}, {"one of sixteen", 15}};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        time_point now{seconds{100}};
        auto rates = makeSharedRates({}, now);
        std::vector<std::string> names;
        for (std::size_t peer{0}; peer < entry.listed; ++peer) {
            names.push_back("p" + std::to_string(peer));
        }
        expectPeers(rates, names, now);
        applyLimits(rates, {{.name = "w", .rate = Rate, .burst = Rate}}, now);
        std::size_t admitted{0};
        for (int round{0}; round < 4; ++round) {
            now += Round;
            tickRates(rates, now);
            admitted += admitAll(rates, now);
        }
        const double tokens{shared_rate_options{}.startFraction * Rate + Rate * toSeconds(4 * Round)};
        CHECK(static_cast<double>(admitted) <= tokens / static_cast<double>(entry.listed + 1) + 1.0);
    }
}
