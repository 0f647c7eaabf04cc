#include "platform_fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

struct departure_case
{
    std::string name;
    bool isDeregistered;
    std::string net;
};

/** Returns how many of ten requests ran at the target that has left. */
std::size_t countRuns(fleet_fixture &fleet, const std::string &prefix)
{
    const auto before = fleet.back.target.runs().size();
    for (unsigned index{0}; index < 10; ++index) {
        static_cast<void>(fleet.front.send(http::verb::post, "book", prefix + std::to_string(index)));
        std::this_thread::sleep_for(milliseconds{30});
    }
    return fleet.back.target.runs().size() - before;
}

} // namespace

TEST_CASE("a delayed heartbeat does not bring back a target that left before its node was restarted")
{
    const std::vector<departure_case> cases{{"deregistered", true, "127.0.35."}, {"draining", false, "127.0.36."}};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        fleet_fixture fleet{entry.net};
        auto &host = fleet.back.host;
        const auto delayed = fleet.back.nextHeartbeat();
        if (entry.isDeregistered) {
            REQUIRE(host.request(http::verb::post, ControlPort, "/-/Instances.Deregister/" + delayed.id, {}).status == 200);
        } else {
            auto draining = fleet.back.nextHeartbeat();
            draining.state = "draining";
            REQUIRE(fleet.back.announce(draining) == 200);
        }
        std::this_thread::sleep_for(milliseconds{300});
        host.sendSignal("node", SIGKILL);
        static_cast<void>(host.waitForExit("node"));
        fleet.back.startNode();
        host.waitUntil("the node is ready again", [&host] {
            return host.request(http::verb::get, ReadyPort, "/-/ready", {}).status == 200;
        });
        CHECK(fleet.back.announce(delayed) == 200);
        std::this_thread::sleep_for(milliseconds{1000});
        CHECK(countRuns(fleet, "delayed-") == 0);

        fleet.back.startedAt = wallClockMilliseconds();
        host.waitUntil("a later start of the target is used", [&fleet] {
            static_cast<void>(fleet.back.announceTarget());
            return fleet.front.send(http::verb::post, "book", "later").status == 200;
        });
    }
}
