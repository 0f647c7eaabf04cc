#include "platform_fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <string>
#include <thread>

using namespace ragwortpin;
using namespace ragwortpin::test;

TEST_CASE("a node that is stopped while a request runs on and the store hangs ends within its grace")
{
    constexpr milliseconds Grace{6000};
    fleet_fixture fleet{"127.0.37."};
    auto &host = fleet.front.host;
    cluster client{fleet.front.spec.ip};
    auto running = std::async(std::launch::async, [&client] {
        return client.request(http::verb::get,
                              OutboundPort,
                              "/slow/long",
                              {{"Host", "slow.example"},
                               {"Authorization", std::string{"Bearer "} + PlatformApiKey},
                               {"X-Ragwortpin-Attempt-Id", "running"},
                               {"X-Ragwortpin-Deadline-Ms", "20000"}});
    });
    std::this_thread::sleep_for(milliseconds{300});
    fleet.store.hang();
    std::this_thread::sleep_for(milliseconds{700});
    const auto stoppedAt = monotonicNow();
    host.sendSignal("node", SIGTERM);
    CHECK(host.waitForExit("node") == 0);
    CHECK(monotonicNow() - stoppedAt < Grace);
    static_cast<void>(running.get());
}
