#include "ragwortpin/targets/announcement.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

target_announcement announced(const std::string &incarnation, std::uint64_t startedAt, std::uint64_t sequence)
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

TEST_CASE("late announcements never bring an earlier state of a target back")
{
    struct announcement_case
    {
        std::string name;
        target_announcement later;
        announcement_verdict verdict;
    };
    const std::vector<announcement_case> cases{
        {"the next one", announced("b", 200, 6), announcement_verdict::Accepted},
        {"the same again", announced("b", 200, 5), announcement_verdict::Stale},
        {"an overtaken one", announced("b", 200, 4), announcement_verdict::Stale},
        {"of an earlier target", announced("a", 100, 90), announcement_verdict::Stale},
        {"of a later target", announced("c", 300, 1), announcement_verdict::Accepted},
        {"of a later start under the same id", announced("b", 300, 1), announcement_verdict::Accepted},
        {"of an earlier start under the same id", announced("b", 100, 9), announcement_verdict::Stale},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        announcement_history history;
        REQUIRE(noteAnnouncement(history, announced("b", 200, 5)) == announcement_verdict::Accepted);
        CHECK(noteAnnouncement(history, entry.later) == entry.verdict);
    }
}

TEST_CASE("a target that departed comes back only by a later start")
{
    announcement_history history;
    REQUIRE(noteAnnouncement(history, announced("b", 200, 5)) == announcement_verdict::Accepted);
    CHECK_FALSE(noteDeparture(history, {"a", 150}));
    CHECK(noteAnnouncement(history, announced("b", 200, 6)) == announcement_verdict::Accepted);
    CHECK(noteDeparture(history, {"b", 250}));
    CHECK(noteAnnouncement(history, announced("b", 200, 7)) == announcement_verdict::Stale);
    CHECK(noteAnnouncement(history, announced("b", 300, 1)) == announcement_verdict::Accepted);
}

TEST_CASE("a departure that comes before the first announcement holds")
{
    announcement_history history;
    CHECK_FALSE(noteDeparture(history, {"b", 250}));
    CHECK(noteAnnouncement(history, announced("b", 200, 7)) == announcement_verdict::Stale);
    CHECK(noteAnnouncement(history, announced("b", 260, 1)) == announcement_verdict::Accepted);
}

TEST_CASE("targets that do not number their announcements are taken as they come")
{
    announcement_history history;
    CHECK(noteAnnouncement(history, announced("", 0, 0)) == announcement_verdict::Accepted);
    CHECK(noteAnnouncement(history, announced("", 0, 0)) == announcement_verdict::Accepted);
}
