#include "ragwortpin/targets/send_check.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;

TEST_CASE("a request is sent only to the target that it was admitted for")
{
    const std::optional<target_announcement> announced{
        target_announcement{.service = "clips", .address = {"10.0.0.2", 8547}, .slots = 1, .incarnation = "i-1"}};
    const std::optional<target_announcement> none;
    const time_point now{seconds{100}};
    const auto later = now + seconds{1};
    const endpoint address{"10.0.0.2", 8547};
    const endpoint other{"10.0.0.3", 8547};
    struct send_case
    {
        std::string name;
        send_conditions conditions;
        target_view target;
        std::optional<send_obstacle> obstacle;
    };
    const std::vector<send_case> cases{
        {"not addressed yet", {"clips", std::nullopt, {}, later}, {announced}, std::nullopt},
        {"addressed", {"clips", "i-1", address, later}, {announced}, std::nullopt},
        {"draining", {"clips", "i-1", address, later}, {announced, true}, send_obstacle::Draining},
        {"never announced", {"clips", std::nullopt, {}, later}, {none}, send_obstacle::NotReady},
        {"refused as another incarnation", {"clips", "i-1", address, later}, {announced, false, true}, send_obstacle::NotReady},
        {"other service", {"packages", std::nullopt, {}, later}, {announced}, send_obstacle::OtherService},
        {"other incarnation", {"clips", "i-0", address, later}, {announced}, send_obstacle::OtherIncarnation},
        {"other address", {"clips", "i-1", other, later}, {announced}, send_obstacle::OtherIncarnation},
        {"too late", {"clips", "i-1", address, now}, {announced}, send_obstacle::DeadlineExceeded},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        CHECK(findObstacle(entry.conditions, entry.target, now) == entry.obstacle);
    }
}
