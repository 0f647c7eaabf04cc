#include "ragwortpin/targets/announcement.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace ragwortpin;

namespace {

target_announcement makeAnnouncement(const std::string &incarnation, std::uint64_t startedAt, std::uint64_t sequence)
{
    return {.service = "clips",
            .address = {"127.0.0.1", 1},
            .slots = 1,
            .connections = 1,
            .incarnation = incarnation,
            .startedAt = startedAt,
            .sequence = sequence};
}

} // namespace

TEST_CASE("delayed announcements do not restore an earlier state of the target")
{
    struct announcement_case
    {
        std::string name;
        target_announcement later;
        announcement_verdict verdict;
    };
    const std::vector<announcement_case> cases{
        {"next sequence number", makeAnnouncement("b", 200, 6), announcement_verdict::Accepted},
        {"repeated sequence number", makeAnnouncement("b", 200, 5), announcement_verdict::Stale},
        {"lower sequence number", makeAnnouncement("b", 200, 4), announcement_verdict::Stale},
        {"other incarnation with an earlier start", makeAnnouncement("a", 100, 90), announcement_verdict::Stale},
        {"other incarnation with a later start", makeAnnouncement("c", 300, 1), announcement_verdict::Accepted},
        {"same incarnation with a later start", makeAnnouncement("b", 300, 1), announcement_verdict::Accepted},
        {"same incarnation with an earlier start", makeAnnouncement("b", 100, 9), announcement_verdict::Stale},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        announcement_history history;
        REQUIRE(recordAnnouncement(history, makeAnnouncement("b", 200, 5), time_point{}) == announcement_verdict::Accepted);
        CHECK(recordAnnouncement(history, entry.later, time_point{}) == entry.verdict);
    }
}

TEST_CASE("after a departure only announcements with a later start are accepted")
{
    announcement_history history;
    REQUIRE(recordAnnouncement(history, makeAnnouncement("b", 200, 5), time_point{}) == announcement_verdict::Accepted);
    CHECK_FALSE(recordDeparture(history, {"a", 150}));
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 200, 6), time_point{}) == announcement_verdict::Accepted);
    CHECK(recordDeparture(history, {"b", 250}));
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 200, 7), time_point{}) == announcement_verdict::Stale);
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 300, 1), time_point{}) == announcement_verdict::Accepted);
}

TEST_CASE("a departure received before the first announcement makes earlier starts stale")
{
    announcement_history history;
    CHECK_FALSE(recordDeparture(history, {"b", 250}));
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 200, 7), time_point{}) == announcement_verdict::Stale);
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 260, 1), time_point{}) == announcement_verdict::Accepted);
}

TEST_CASE("announcements without sequence numbers are accepted in the order of arrival")
{
    announcement_history history;
    CHECK(recordAnnouncement(history, makeAnnouncement("", 0, 0), time_point{}) == announcement_verdict::Accepted);
    CHECK(recordAnnouncement(history, makeAnnouncement("", 0, 0), time_point{}) == announcement_verdict::Accepted);
}

TEST_CASE("another sender holds a target's place no longer than its silence or its first refused request")
{
    constexpr milliseconds Interval{1500};
    struct intruder_case
    {
        std::string name;
        target_announcement intruder;
        /** Whether the target refuses a request meant for the intruder. */
        bool isRefuted;
        /** Heartbeats of the target, sent at each interval, until one is accepted. */
        unsigned heartbeats;
    };
    auto draining = makeAnnouncement("c", 900, 1);
    draining.draining = true;
    const std::vector<intruder_case> cases{
        {"later start, refuted", makeAnnouncement("c", 900, 1), true, 1},
        {"later start, silent", makeAnnouncement("c", 900, 1), false, 4},
        {"own incarnation with a later start, silent", makeAnnouncement("b", 900, 1), false, 4},
        {"own start with a high sequence number, silent", makeAnnouncement("b", 200, 1'000'000), false, 4},
        {"later start that drains", draining, false, 1},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        announcement_history history;
        time_point now{};
        REQUIRE(recordAnnouncement(history, makeAnnouncement("b", 200, 5), now) == announcement_verdict::Accepted);
        static_cast<void>(recordAnnouncement(history, entry.intruder, now));
        if (entry.isRefuted) {
            CHECK(refuteIncarnation(history, "c", now));
            CHECK(history.latest == makeAnnouncement("b", 200, 5));
            CHECK(recordAnnouncement(history, entry.intruder, now) == announcement_verdict::Stale);
        }
        unsigned sent{0};
        auto verdict = announcement_verdict::Stale;
        while (verdict == announcement_verdict::Stale && sent < 20) {
            now += Interval;
            verdict = recordAnnouncement(history, makeAnnouncement("b", 200, 6 + sent), now);
            ++sent;
        }
        CHECK(sent == entry.heartbeats);
        CHECK(history.latest->incarnation == "b");
    }
}

TEST_CASE("a drain is taken whatever its sequence number and is not revoked by delayed announcements")
{
    announcement_history history;
    time_point now{};
    auto draining = makeAnnouncement("b", 200, 6);
    draining.draining = true;
    REQUIRE(recordAnnouncement(history, makeAnnouncement("b", 200, 1'000'000), now) == announcement_verdict::Accepted);
    CHECK(recordAnnouncement(history, draining, now) == announcement_verdict::Accepted);
    for (std::uint64_t sequence{1}; sequence < 20; ++sequence) {
        now += seconds{1};
        CHECK(recordAnnouncement(history, makeAnnouncement("b", 200, sequence), now) == announcement_verdict::Stale);
    }
    CHECK(history.latest->draining);
}

TEST_CASE("departures of incarnations that were never announced do not make a known departure forgotten")
{
    announcement_history history;
    REQUIRE(recordAnnouncement(history, makeAnnouncement("b", 200, 5), time_point{}) == announcement_verdict::Accepted);
    REQUIRE(recordDeparture(history, {"b", 250}));
    for (unsigned index{0}; index < 1000; ++index) {
        CHECK_FALSE(recordDeparture(history, {"x" + std::to_string(index), 300}));
    }
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 200, 6), time_point{} + seconds{60}) == announcement_verdict::Stale);
}

TEST_CASE("a departure that is reported again does not make other departures forgotten")
{
    announcement_history history;
    REQUIRE(recordAnnouncement(history, makeAnnouncement("a", 100, 5), time_point{}) == announcement_verdict::Accepted);
    REQUIRE(recordDeparture(history, {"a", 150}));
    REQUIRE(recordAnnouncement(history, makeAnnouncement("b", 200, 5), time_point{}) == announcement_verdict::Accepted);
    for (unsigned index{0}; index < 1000; ++index) {
        CHECK(recordDeparture(history, {"b", 250 + index}));
        CHECK_FALSE(recordDeparture(history, {"c", 250 + index}));
    }
    CHECK(history.departed.size() == 2);
    CHECK(history.departedUnannounced == std::vector<target_start>{{"c", 1249}});
    CHECK(recordAnnouncement(history, makeAnnouncement("a", 100, 6), time_point{} + seconds{60}) == announcement_verdict::Stale);
}

TEST_CASE("a target that goes on announcing itself is the latest again after any messages of other senders")
{
    rc::prop("recovery", [] {
        constexpr milliseconds Step{500};
        constexpr unsigned HeartbeatSteps{3};
        announcement_history history;
        time_point now{};
        std::uint64_t sequence{0};
        const auto steps = *rc::gen::inRange(0U, 60U);
        const auto announceTarget = [&](unsigned step) {
            if (step % HeartbeatSteps == 0) {
                static_cast<void>(recordAnnouncement(history, makeAnnouncement("b", 200, ++sequence), now));
            }
        };
        for (unsigned step{0}; step < steps; ++step) {
            now += Step;
            announceTarget(step);
            const auto incarnation = *rc::gen::element(std::string{"b"}, std::string{"c"}, std::string{"d"});
            const auto startedAt = *rc::gen::element<std::uint64_t>(0, 100, 200, 300, 1'000'000);
            auto other = makeAnnouncement(incarnation, startedAt, *rc::gen::inRange<std::uint64_t>(1, 1000));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                static_cast<void>(recordAnnouncement(history, other, now));
                break;
            case 1:
                other.draining = incarnation != "b";
                static_cast<void>(recordAnnouncement(history, other, now));
                break;
            case 2:
                static_cast<void>(refuteIncarnation(history, *rc::gen::element(std::string{"c"}, std::string{"d"}), now));
                break;
            default:
                if (incarnation != "b") {
                    static_cast<void>(recordDeparture(history, {incarnation, startedAt}));
                }
                break;
            }
        }
        constexpr unsigned RecoverySteps{40};
        for (unsigned step{0}; step < RecoverySteps; ++step) {
            now += Step;
            announceTarget(step);
        }
        RC_ASSERT(history.latest.has_value());
        RC_ASSERT(history.latest->incarnation == "b");
        RC_ASSERT(history.latest->sequence + 1 >= sequence);
        RC_ASSERT(history.departed.size() + history.departedUnannounced.size() + history.refuted.size() <= 48U);
    });
}

TEST_CASE("an incarnation that departed never returns without a later start")
{
    rc::prop("departure", [] {
        announcement_history history;
        time_point now{};
        static_cast<void>(recordAnnouncement(history, makeAnnouncement("b", 200, 5), now));
        RC_ASSERT(recordDeparture(history, {"b", 250}));
        const auto steps = *rc::gen::inRange(0U, 40U);
        for (unsigned step{0}; step < steps; ++step) {
            now += milliseconds{*rc::gen::inRange(0, 5000)};
            const auto incarnation = *rc::gen::element(std::string{"b"}, std::string{"c"}, std::string{"d"});
            const auto startedAt = *rc::gen::inRange<std::uint64_t>(0, incarnation == "b" ? 201 : 1000);
            const auto verdict
                = recordAnnouncement(history, makeAnnouncement(incarnation, startedAt, *rc::gen::inRange<std::uint64_t>(1, 99)), now);
            RC_ASSERT(incarnation != "b" || verdict == announcement_verdict::Stale);
            static_cast<void>(refuteIncarnation(history, *rc::gen::element(std::string{"c"}, std::string{"d"}), now));
            RC_ASSERT(!history.latest || history.latest->incarnation != "b" || step == 0 || history.latest->startedAt == 200);
        }
    });
}

TEST_CASE("after a restart of the node, announcements are applied only if their sender cannot have left before")
{
    struct restore_case
    {
        std::string name;
        std::vector<departure_record> stored;
        target_announcement announcement;
        announcement_verdict verdict;
    };
    const departure_record ended{"b", 200, 5, true};
    const departure_record drains{"b", 200, 5, false};
    auto draining = makeAnnouncement("b", 200, 4);
    draining.draining = true;
    const std::vector<restore_case> cases{
        {"nothing stored", {}, makeAnnouncement("b", 200, 1), announcement_verdict::Accepted},
        {"the start that ended", {ended}, makeAnnouncement("b", 200, 6), announcement_verdict::Stale},
        {"an earlier start of it", {ended}, makeAnnouncement("b", 100, 9), announcement_verdict::Stale},
        {"a later start of it", {ended}, makeAnnouncement("b", 201, 1), announcement_verdict::Accepted},
        {"another target", {ended}, makeAnnouncement("c", 100, 1), announcement_verdict::Accepted},
        {"sent before it drained", {drains}, makeAnnouncement("b", 200, 4), announcement_verdict::Stale},
        {"sent after it drained", {drains}, makeAnnouncement("b", 200, 6), announcement_verdict::Accepted},
        {"delayed notice that it drains", {drains}, draining, announcement_verdict::Accepted},
        {"an earlier start of the one that drained", {drains}, makeAnnouncement("b", 199, 9), announcement_verdict::Stale},
        {"the first of two that left", {ended, {"c", 300, 1, true}}, makeAnnouncement("b", 200, 6), announcement_verdict::Stale},
        {"the second of two that left", {ended, {"c", 300, 1, true}}, makeAnnouncement("c", 300, 6), announcement_verdict::Stale},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        announcement_history history;
        history.awaitsRestore = true;
        if (entry.announcement.draining) {
            CHECK(recordAnnouncement(history, entry.announcement, time_point{}) == announcement_verdict::Accepted);
            continue;
        }
        CHECK(recordAnnouncement(history, entry.announcement, time_point{}) == announcement_verdict::Deferred);
        const auto deferred = restoreDepartures(history, entry.stored, time_point{});
        REQUIRE(deferred == entry.announcement);
        CHECK(recordAnnouncement(history, *deferred, time_point{}) == entry.verdict);
    }
}

TEST_CASE("while stored departures cannot be read, a start that goes on announcing itself is accepted, and given up if it had left")
{
    struct unread_case
    {
        std::string name;
        target_announcement next;
        duration after;
        announcement_verdict verdict;
    };
    const auto announced = makeAnnouncement("b", 200, 5);
    const std::vector<unread_case> cases{
        {"the same again", announced, MaxAnnouncementDelay, announcement_verdict::Deferred},
        {"another start", makeAnnouncement("c", 200, 6), MaxAnnouncementDelay, announcement_verdict::Deferred},
        {"the next one at once", makeAnnouncement("b", 200, 6), duration::zero(), announcement_verdict::Deferred},
        {"the next one, which may be delayed too",
         makeAnnouncement("b", 200, 6),
         MaxAnnouncementDelay - milliseconds{1},
         announcement_verdict::Deferred},
        {"one that cannot be from before the restart", makeAnnouncement("b", 200, 6), MaxAnnouncementDelay, announcement_verdict::Accepted},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        announcement_history history;
        history.awaitsRestore = true;
        REQUIRE(recordAnnouncement(history, announced, time_point{}) == announcement_verdict::Deferred);
        const auto now = time_point{} + entry.after;
        CHECK(recordAnnouncement(history, entry.next, now) == entry.verdict);
        static_cast<void>(restoreDepartures(history, {departure_record{"b", 200, 9, true}}, now));
        CHECK(isLatestDeparted(history, now) == (entry.verdict == announcement_verdict::Accepted));
    }
}

TEST_CASE("while stored departures cannot be read, a target is used again once its heartbeats last longer than one can be delayed")
{
    constexpr milliseconds Interval{1500};
    announcement_history history;
    history.awaitsRestore = true;
    time_point now{};
    std::uint64_t sequence{5};
    while (recordAnnouncement(history, makeAnnouncement("b", 200, sequence), now) == announcement_verdict::Deferred && sequence < 20) {
        ++sequence;
        now += Interval;
    }
    CHECK(now >= time_point{} + MaxAnnouncementDelay);
    CHECK(now < time_point{} + MaxAnnouncementDelay + Interval);
}

TEST_CASE("a stored departure does not keep out a target that goes on announcing itself")
{
    for (const bool hasEnded : {true, false}) {
        CAPTURE(hasEnded);
        announcement_history history;
        static_cast<void>(restoreDepartures(history, {departure_record{"b", 200, 1'000'000, hasEnded}}, time_point{}));
        const auto announced = makeAnnouncement("b", 200, 7);
        CHECK(recordAnnouncement(history, announced, time_point{RestoredPeriod} - milliseconds{1}) == announcement_verdict::Stale);
        CHECK(recordAnnouncement(history, announced, time_point{RestoredPeriod}) == announcement_verdict::Accepted);
    }
}
