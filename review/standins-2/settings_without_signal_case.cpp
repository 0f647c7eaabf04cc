// A machine goes to another service: its worker ends, the platform replaces the settings file without a signal, and a worker of the other
// service starts. The clients on the machine go on sending.
#include "fleet.h"

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
    fleet deployment{{{"front", "zone-a", "profiles"}, {"back", "zone-a", "bookings"}},
                     configurationText(7, {Key}, {routeText("book", Host, "/book/", "non_idempotent", "bookings", 1, 0)}, {"bookings", "calendar", "profiles"}), 10};
    auto &front = deployment.host("front");
    if (!waitServed(front, "POST", Host, "/book/1", Key, 20000)) {
        finish(2);
    }
    deployment.workerOf("front").stopHeartbeats();
    deployment.workerOf("front").stop();
    record("the worker of profiles on front has ended");
    sleepMs(3000);
    if (isTroubled) {
        front.service = "calendar";
        writeSettings(front, deployment.options);
        record("the settings file of front names service calendar now; no signal is sent");
    }
    const long changed{elapsedMs()};
    constexpr int Requests{40};
    for (int number{0}; number < Requests; ++number) {
        sleepUntilMs(changed + 100 + number * 40L);
        static_cast<void>(sendAsClient(front, "POST", Host, "/book/2", "moved-" + std::to_string(number), Key, 3000));
    }
    int wrong{0};
    long last{0};
    for (const auto &done : deployment.workerOf("back").runs()) {
        if (done.id.starts_with("moved-") && done.callerService != front.service) {
            record("worker " + done.worker + " ran " + done.id + " with caller service " + done.callerService + ", " + std::to_string(done.at - changed)
                   + " ms after the service of its machine became " + front.service);
            ++wrong;
            last = done.at - changed;
        }
    }
    record(std::to_string(wrong) + " of " + std::to_string(Requests) + " requests ran with the service that the machine had before, the last "
           + std::to_string(last) + " ms after the change; 0 may");
    finish(wrong > 0 ? 1 : 0);
}
