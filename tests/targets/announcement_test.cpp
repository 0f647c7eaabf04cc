#include "ragwortpin/targets/announcement.h"

#include <catch2/catch.hpp>

#include <string>
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
        REQUIRE(recordAnnouncement(history, makeAnnouncement("b", 200, 5)) == announcement_verdict::Accepted);
        CHECK(recordAnnouncement(history, entry.later) == entry.verdict);
    }
}

TEST_CASE("after a departure only announcements with a later start are accepted")
{
    announcement_history history;
    REQUIRE(recordAnnouncement(history, makeAnnouncement("b", 200, 5)) == announcement_verdict::Accepted);
    CHECK_FALSE(recordDeparture(history, {"a", 150}));
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 200, 6)) == announcement_verdict::Accepted);
    CHECK(recordDeparture(history, {"b", 250}));
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 200, 7)) == announcement_verdict::Stale);
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 300, 1)) == announcement_verdict::Accepted);
}

TEST_CASE("a departure received before the first announcement makes earlier starts stale")
{
    announcement_history history;
    CHECK_FALSE(recordDeparture(history, {"b", 250}));
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 200, 7)) == announcement_verdict::Stale);
    CHECK(recordAnnouncement(history, makeAnnouncement("b", 260, 1)) == announcement_verdict::Accepted);
}

TEST_CASE("announcements without sequence numbers are accepted in the order of arrival")
{
    announcement_history history;
    CHECK(recordAnnouncement(history, makeAnnouncement("", 0, 0)) == announcement_verdict::Accepted);
    CHECK(recordAnnouncement(history, makeAnnouncement("", 0, 0)) == announcement_verdict::Accepted);
}
