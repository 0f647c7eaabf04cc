#include "ragwortpin/overload/call_graph.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr std::uint32_t CallingRoute{1};
constexpr std::uint32_t LeafRoute{2};
constexpr std::uint32_t CalledRoute{9};

/** Simulates a target that runs two routes concurrently. Only runs of one of them make calls, one after the other. */
struct simulated_target
{
    call_graph graph;
    std::mt19937_64 random{20261204};
    time_point now{seconds{10}};

    struct active_run
    {
        std::uint32_t route{0};
        time_point startedAt{};
        time_point end{};
        std::deque<time_point> calls;
    };
    std::vector<active_run> runs;

    /** Fraction of the calls that can be matched to their run by the deadline. */
    double knownParentFraction{0.0};

    void step(double callingPerSecond, double leavesPerSecond)
    {
        constexpr milliseconds SimulationStep{2};
        now += SimulationStep;
        start(CallingRoute, callingPerSecond * toSeconds(SimulationStep), milliseconds{200}, 4);
        start(LeafRoute, leavesPerSecond * toSeconds(SimulationStep), milliseconds{400}, 0);
        for (auto &item : runs) {
            while (!item.calls.empty() && item.calls.front() <= now) {
                item.calls.pop_front();
                call(item.route);
            }
        }
        for (const auto &item : runs) {
            if (item.end <= now) {
                observeEnd(graph, item.route, item.end - item.startedAt, now);
            }
        }
        std::erase_if(runs, [this](const active_run &item) {
            return item.end <= now;
        });
    }

    void start(std::uint32_t route, double mean, milliseconds length, int calls)
    {
        std::poisson_distribution<int> arrivals{mean};
        for (int count{arrivals(random)}; count > 0; --count) {
            active_run item{route, now, now + length, {}};
            for (int index{0}; index < calls; ++index) {
                item.calls.push_back(now + (index + 1) * length / (calls + 1));
            }
            observeStart(graph, route, now);
            runs.push_back(item);
        }
    }

    void call(std::uint32_t parent)
    {
        std::bernoulli_distribution isParentKnown{knownParentFraction};
        const std::vector<std::uint32_t> parents{parent};
        observeCall(
            graph, CalledRoute, isParentKnown(random) ? std::span<const std::uint32_t>{parents} : std::span<const std::uint32_t>{}, now);
    }

    void run(seconds span, double callingPerSecond, double leavesPerSecond)
    {
        const auto end = now + span;
        auto nextDecay = now;
        while (now < end) {
            step(callingPerSecond, leavesPerSecond);
            if (now >= nextDecay) {
                decay(graph, milliseconds{250});
                nextDecay += milliseconds{250};
            }
        }
    }

    double callsOf(std::uint32_t route) const
    {
        for (const auto &profile : profilesOf(graph)) {
            if (profile.route == route) {
                return profile.calls.empty() ? 0.0 : profile.calls.front().calls;
            }
        }
        return -1.0;
    }
};

} // namespace

TEST_CASE("calls are attributed to the route whose runs make them")
{
    struct traffic_case
    {
        std::string name;
        double callingPerSecond;
        double leavesPerSecond;
        double knownParentFraction;
        /** Upper bound of the calls that are wrongly attributed to one run of the other route. */
        double maxCallsOfLeaf;
    };
    const std::vector<traffic_case> cases{
        {"few requests, no call with a known parent", 3.0, 2.0, 0.0, 0.6},
        {"many requests, some calls with a known parent", 50.0, 12.0, 0.3, 0.4},
        {"many requests, most calls with a known parent", 50.0, 12.0, 0.9, 0.2},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        simulated_target target;
        target.knownParentFraction = entry.knownParentFraction;
        target.run(seconds{15}, entry.callingPerSecond, entry.leavesPerSecond);
        CAPTURE(target.callsOf(CallingRoute), target.callsOf(LeafRoute));
        CHECK(target.callsOf(CallingRoute) > 3.0);
        CHECK(target.callsOf(CallingRoute) < 5.0);
        CHECK(target.callsOf(LeafRoute) <= entry.maxCallsOfLeaf);
    }
}

TEST_CASE("the profiles follow a target that stops making calls")
{
    simulated_target target;
    target.knownParentFraction = 0.9;
    target.run(seconds{10}, 50.0, 12.0);
    REQUIRE(target.callsOf(CallingRoute) > 3.0);
    for (auto &item : target.runs) {
        item.calls.clear();
    }
    target.run(seconds{30}, 0.0, 12.0);
    CHECK(target.callsOf(LeafRoute) <= 0.2);
    for (const auto &profile : profilesOf(target.graph)) {
        CHECK((profile.route == LeafRoute || profile.runs <= 5.0));
    }
}
