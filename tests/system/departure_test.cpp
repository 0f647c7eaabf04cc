#include "platform_fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

constexpr unsigned Acknowledged{200};

/** How a target says that it leaves. */
enum class leave_kind : unsigned char {
    Deregisters,
    Drains,
    /** Deregisters at a process of the node that it has not announced itself to. */
    DeregistersUnannounced,
};

struct departure_case
{
    std::string name;
    leave_kind kind;
    std::string net;
};

struct outage_case
{
    std::string name;
    leave_kind kind;
    int signal;
    std::string net;
};

void endNode(machine_process &machine, int signal)
{
    machine.host.sendSignal("node", signal);
    static_cast<void>(machine.host.waitForExit("node"));
}

void startNode(machine_process &machine)
{
    machine.startNode();
    machine.host.waitUntil("the node is ready again", [&machine] {
        return machine.host.request(http::verb::get, ReadyPort, "/-/ready", {}).status == 200;
    });
}

/** Sends the message with which the target leaves and returns the status of the response. */
unsigned leave(machine_process &machine, leave_kind kind)
{
    auto heartbeat = machine.nextHeartbeat();
    if (kind == leave_kind::Drains) {
        heartbeat.state = "draining";
        return machine.announce(heartbeat);
    }
    return machine.host.request(http::verb::post, ControlPort, "/-/Instances.Deregister/" + heartbeat.id, {}).status;
}

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
    const std::vector<departure_case> cases{{"deregistered", leave_kind::Deregisters, "127.0.35."},
                                            {"draining", leave_kind::Drains, "127.0.36."},
                                            {"deregistered unannounced", leave_kind::DeregistersUnannounced, "127.0.38."}};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        fleet_fixture fleet{entry.net};
        auto &host = fleet.back.host;
        const auto delayed = fleet.back.nextHeartbeat();
        if (entry.kind == leave_kind::DeregistersUnannounced) {
            endNode(fleet.back, SIGKILL);
            startNode(fleet.back);
        }
        host.waitUntil("the leaving is acknowledged", [&] {
            return leave(fleet.back, entry.kind) == Acknowledged;
        });
        std::this_thread::sleep_for(milliseconds{300});
        endNode(fleet.back, SIGKILL);
        startNode(fleet.back);
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

// Guards against a leaving that is acknowledged while the store is away and forgotten by the next process of the node.
TEST_CASE("a leaving that was acknowledged while the store did not answer is not forgotten by a restart of the node")
{
    /** Longer than a store call takes to time out and to be repeated. */
    constexpr milliseconds StoreReadPeriod{3000};
    const std::vector<outage_case> cases{{"deregisters, stop", leave_kind::Deregisters, SIGTERM, "127.0.74."},
                                         {"deregisters, kill", leave_kind::Deregisters, SIGKILL, "127.0.75."},
                                         {"drains, stop", leave_kind::Drains, SIGTERM, "127.0.76."},
                                         {"drains, kill", leave_kind::Drains, SIGKILL, "127.0.77."},
                                         {"deregisters unannounced, kill", leave_kind::DeregistersUnannounced, SIGKILL, "127.0.78."}};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        fleet_fixture fleet{entry.net};
        auto &back = fleet.back;
        const auto delayed = back.nextHeartbeat();
        if (entry.kind == leave_kind::DeregistersUnannounced) {
            endNode(back, SIGKILL);
            startNode(back);
        }
        fleet.store.hang();
        const auto status = leave(back, entry.kind);
        endNode(back, entry.signal);
        fleet.store.resume();
        startNode(back);
        static_cast<void>(back.announce(delayed));
        std::this_thread::sleep_for(StoreReadPeriod);
        const auto runs = countRuns(fleet, "outage-");
        CAPTURE(status, runs);
        CHECK((status != Acknowledged || runs == 0));

        back.host.waitUntil("the leaving is acknowledged once the store answers", [&] {
            return leave(back, entry.kind) == Acknowledged;
        });
        endNode(back, SIGKILL);
        startNode(back);
        static_cast<void>(back.announce(delayed));
        std::this_thread::sleep_for(StoreReadPeriod);
        CHECK(countRuns(fleet, "acknowledged-") == 0);
    }
}

// Guards against a departure that is stored, and not known to the next process of the node as long as the store is away.
TEST_CASE("delayed heartbeats do not bring back a target that left while the store cannot be read after a restart of the node")
{
    fleet_fixture fleet{"127.0.79."};
    auto &back = fleet.back;
    const std::vector<platform_heartbeat> delayed{back.nextHeartbeat(), back.nextHeartbeat(), back.nextHeartbeat()};
    back.host.waitUntil("the leaving is acknowledged", [&back] {
        return leave(back, leave_kind::Deregisters) == Acknowledged;
    });
    fleet.store.hang();
    endNode(back, SIGKILL);
    back.startNode();
    for (const auto &heartbeat : delayed) {
        back.host.waitUntil("the heartbeat is taken", [&] {
            return back.announce(heartbeat) == Acknowledged;
        });
        std::this_thread::sleep_for(milliseconds{200});
        CHECK(countRuns(fleet, "unread-" + std::to_string(heartbeat.sequence) + '-') == 0);
    }
}

// Guards against a planned restart of the node that forgets a leaving although the store is back before the grace of the stop is over.
TEST_CASE("a node that is stopped while the store is away waits within its grace until the departure of its target is stored")
{
    struct stop_case
    {
        std::string name;
        /** Time from the signal until the store answers again. */
        milliseconds outage;
        bool isStored;
        std::string net;
    };
    constexpr milliseconds Grace{6000};
    constexpr milliseconds StoreReadPeriod{3000};
    const std::vector<stop_case> cases{{"the store comes back", milliseconds{3400}, true, "127.0.80."},
                                       {"the store stays away", Grace, false, "127.0.81."}};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        fleet_fixture fleet{entry.net};
        auto &back = fleet.back;
        const auto delayed = back.nextHeartbeat();
        fleet.store.hang();
        CHECK(leave(back, leave_kind::Deregisters) != Acknowledged);
        const auto stoppedAt = monotonicNow();
        auto resumed = std::async(std::launch::async, [&fleet, &entry] {
            std::this_thread::sleep_for(entry.outage);
            fleet.store.resume();
        });
        endNode(back, SIGTERM);
        CHECK(monotonicNow() - stoppedAt < Grace);
        resumed.get();
        startNode(back);
        static_cast<void>(back.announce(delayed));
        std::this_thread::sleep_for(StoreReadPeriod);
        CHECK((!entry.isStored || countRuns(fleet, "stopped-") == 0));
    }
}
