// A worker's leaving is acknowledged while the platform's store is down, and its node is restarted as planned before the store is back.
// A heartbeat that the worker had sent before it left arrives seconds late.
#include "fleet.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {
const std::string Key{"6wsjnbanfqasnmgkcuyj"};
const std::string Host{"book.example"};
} // namespace

int main(int, char **argv)
{
    openRecord(argv[1]);
    const auto *value = std::getenv("TROUBLE");
    const bool isTroubled{value == nullptr || std::string{value} != "0"};
    fleet deployment{{{"front", "zone-a", "profiles"}, {"back-1", "zone-a", "bookings"}, {"back-2", "zone-b", "bookings"}},
                     configurationText(7, {Key}, {routeText("book", Host, "/book/", "non_idempotent", "bookings", 1, 0)}, {"bookings", "profiles"}),
                     50};
    auto &front = deployment.host("front");
    auto &back = deployment.host("back-1");
    auto &leaver = deployment.workerOf("back-1");
    if (!waitServed(front, "POST", Host, "/book/1", Key, 20000)) {
        finish(2);
    }
    sleepMs(4000);
    const long start{elapsedMs()};
    if (isTroubled) {
        deployment.platform->setMode(store_mode::Silent);
        record("the platform's store is down");
    }
    sleepUntilMs(start + 200);
    leaver.stopHeartbeats();
    const auto late = leaver.nextHeartbeat();
    record("worker " + leaver.id() + " sends heartbeat " + std::to_string(late.sequence) + " (ready), which is delayed");
    sleepUntilMs(start + 400);
    const int deregistered{sendDeregister(back, leaver.id())};
    const long acknowledged{elapsedMs()};
    record("worker " + leaver.id() + " sends Deregister; answer " + std::to_string(deregistered));
    if (deregistered != 200) {
        record("the leaving was not acknowledged");
    }
    sleepUntilMs(start + 600);
    record("SIGTERM to the node of back-1");
    signalNode(back, SIGTERM);
    const int status{waitNode(back, 7000)};
    record("the node of back-1 ended with status " + std::to_string(status));
    sleepMs(100);
    startNode(back);
    record("the node of back-1 is started again");
    sleepUntilMs(start + 4500);
    deployment.platform->setMode(store_mode::Up);
    record("the platform's store is up");
    sleepUntilMs(start + 5200);
    record("the delayed heartbeat of " + leaver.id() + " arrives; answer " + std::to_string(sendHeartbeat(back, late)));
    // The contact time of 3 s after the end of the outage and after the restart has passed.
    sleepUntilMs(start + 8500);
    if (!waitServed(front, "POST", Host, "/book/2", Key, 5000)) {
        finish(2);
    }
    const auto before = leaver.runs().size();
    const long first{elapsedMs()};
    for (int number{0}; number < 40; ++number) {
        static_cast<void>(sendAsClient(front, "POST", Host, "/book/3", "after-" + std::to_string(number), Key, 3000));
        sleepMs(20);
    }
    const auto runs = leaver.runs().size() - before;
    record(std::to_string(runs) + " of 40 requests that were sent " + std::to_string(first - acknowledged)
           + " ms or more after the acknowledgement reached worker " + leaver.id() + "; 0 may, as drain is 2000 ms");
    finish(deregistered == 200 && runs > 0 ? 1 : 0);
}
