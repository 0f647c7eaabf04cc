// Machines are removed for good and others are added under new names, until the store holds the entries of more than 500 of them. Then all
// machines lose their processes at once and start again.
#include "fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {
const std::string Key{"6wsjnbanfqasnmgkcuyj"};
const std::string Host{"book.example"};
constexpr unsigned Replaced{510};
constexpr unsigned Batch{30};

std::string machineName(unsigned number)
{
    char text[32];
    std::snprintf(text, sizeof text, "sidecar-zone-a-%04u", number);
    return text;
}
} // namespace

int main(int, char **argv)
{
    openRecord(argv[1]);
    const auto *value = std::getenv("TROUBLE");
    const bool isTroubled{value == nullptr || std::string{value} != "0"};
    fleet deployment{{{machineName(9001), "zone-a", "profiles"}, {machineName(9002), "zone-a", "bookings"}, {machineName(9003), "zone-a", "bookings"}},
                     configurationText(7, {Key}, {routeText("book", Host, "/book/", "idempotent", "bookings", 2, 0)}, {"bookings", "profiles"}), 20};
    auto &front = *deployment.machines.front();
    if (!waitServed(front, "GET", Host, "/book/1", Key, 20000)) {
        finish(2);
    }
    if (isTroubled) {
        for (unsigned first{1}; first <= Replaced; first += Batch) {
            std::vector<machine> batch;
            for (unsigned number{first}; number < first + Batch && number <= Replaced; ++number) {
                batch.push_back(makeMachine(machineName(number), "zone-a", "bookings", "127.0.250." + std::to_string(1 + number % Batch), deployment.directory));
                writeSettings(batch.back(), deployment.options);
                startNode(batch.back());
            }
            for (auto &host : batch) {
                const long deadline{elapsedMs() + 15000};
                while (!deployment.platform->get("ragwortpin/nodes/" + host.name)) {
                    if (elapsedMs() > deadline) {
                        record("the node of " + host.name + " did not register");
                        finish(2);
                    }
                    sleepMs(10);
                }
            }
            for (auto &host : batch) {
                signalNode(host, SIGKILL);
                static_cast<void>(waitNode(host, 2000));
            }
            record("machines " + machineName(first) + " to " + batch.back().name + " were added and removed for good");
        }
    }
    for (auto &host : deployment.machines) {
        signalNode(*host, SIGKILL);
        static_cast<void>(waitNode(*host, 2000));
    }
    record("all processes were killed");
    sleepMs(1000);
    for (auto &host : deployment.machines) {
        startNode(*host);
    }
    const long restarted{elapsedMs()};
    record("all processes are started again");
    sleepUntilMs(restarted + 15500);
    int served{0};
    constexpr int Requests{60};
    for (int number{0}; number < Requests; ++number) {
        served += sendAsClient(front, "GET", Host, "/book/2", "after-" + std::to_string(number), Key, 2000).status == 200 ? 1 : 0;
        sleepMs(50);
    }
    record(std::to_string(served) + " of " + std::to_string(Requests) + " requests sent later than 15 s after the restart were served");
    finish(served * 4 < Requests ? 1 : 0);
}
