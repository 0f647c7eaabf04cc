#include "ragwortpin/admission/admission.h"
#include "ragwortpin/admission/first_hop.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

/** Steady demand on one target at two ranks, in seconds of service time per second, and the expected shed level. */
struct level_case
{
    const char *name;
    double rankZero;
    double rankOne;
    unsigned rank;
    double probability;
};

constexpr level_case LevelCases[]{
    {"fits", 4.0, 4.0, NoShedRank, 1.0},
    {"less important rank is shed in part", 4.0, 12.0, 1, 0.5},
    {"more important rank alone nearly fills the capacity", 9.5, 20.0, 1, 0.025},
    {"more important rank is shed in part", 20.0, 20.0, 0, 0.5},
};

constexpr double Capacity{10.0};

/** Feeds ten seconds of steady demand of one workspace, reduced by the admit probabilities of the shed level in force. */
demand_estimate applySteadyDemand(const level_case &expected)
{
    demand_estimate state;
    for (int tick{1}; tick <= 200; ++tick) {
        const double rates[]{expected.rankZero, expected.rankOne};
        for (unsigned rank{0}; rank < 2; ++rank) {
            const auto level = findShedLevel(state, "workspace");
            const double pass{rank < level.rank ? 1.0 : rank == level.rank ? std::max(level.probability, 1e-3) : 1e-3};
            for (int part{0}; part < 20; ++part) {
                observeDemand(state, "workspace", rank, 1.0, rates[rank] * 0.05 * pass / 20.0, pass);
            }
        }
        updateDemand(state, Capacity, time_point{milliseconds{50 * tick}});
    }
    return state;
}

} // namespace

TEST_CASE("a target distributes its capacity by rank")
{
    for (const auto &expected : LevelCases) {
        CAPTURE(expected.name);
        const auto level = findShedLevel(applySteadyDemand(expected), "workspace");
        CHECK(level.rank == expected.rank);
        CHECK(level.probability == Approx(expected.probability).margin(0.06));
    }
}

TEST_CASE("a workspace within its share is not shed because another one exceeds its share")
{
    demand_estimate state;
    for (int tick{1}; tick <= 40; ++tick) {
        observeDemand(state, "polite", 1, 1.0, 0.05 * 3.0, 1.0);
        observeDemand(state, "flooding", 1, 1.0, 0.05 * 50.0, 1.0);
        updateDemand(state, Capacity, time_point{milliseconds{50 * tick}});
    }
    CHECK(findShedLevel(state, "polite") == shed_level{});
    CHECK(findShedLevel(state, "flooding").rank == 1);
}

TEST_CASE("a received shed level relaxes with age and is removed once fully relaxed")
{
    shed_level_cache memory;
    observeShedLevel(memory, "route", "workspace", shed_level{1, 0.25}, time_point{});
    const auto admitProbabilityAt = [&](unsigned rank, duration age) {
        return admitAtFirstHop(memory, "route", "workspace", rank, 0.0, time_point{age}).probability;
    };
    CHECK(admitProbabilityAt(0, duration{0}) == 1.0);
    CHECK(admitProbabilityAt(1, duration{0}) == Approx(0.25));
    CHECK(admitProbabilityAt(2, duration{0}) == Approx(memory.options.probeProbability));
    const duration halfway{memory.options.holdTime + memory.options.relaxationTime / 2};
    CHECK(admitProbabilityAt(1, halfway) == Approx(0.625));
    CHECK(admitProbabilityAt(2, memory.options.holdTime + memory.options.relaxationTime) == 1.0);
    removeRelaxedLevels(memory, time_point{memory.options.holdTime + memory.options.relaxationTime});
    CHECK(memory.levels.empty());
}

TEST_CASE("a first hop never admits a less important request with a higher probability")
{
    rc::prop("levels received in any order", [] {
        shed_level_cache memory;
        time_point now{};
        const auto reports = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 1000U)));
        for (const auto &[rank, thousandths] : reports) {
            now += milliseconds{thousandths};
            const shed_level level{rank == 4 ? NoShedRank : rank, rank == 4 ? 1.0 : thousandths / 1000.0};
            observeShedLevel(memory, "route", "workspace", level, now);
            for (unsigned important{0}; important < 4; ++important) {
                const double more{admitAtFirstHop(memory, "route", "workspace", important, 0.0, now).probability};
                const double less{admitAtFirstHop(memory, "route", "workspace", important + 1, 0.0, now).probability};
                RC_ASSERT(more >= less);
            }
        }
    });
}

TEST_CASE("the limit stays between one and the smaller of slots and connections")
{
    rc::prop("any service times and rejections", [] {
        const auto slots = *rc::gen::inRange(1U, 100U);
        const auto connections = *rc::gen::inRange(1U, 100U);
        concurrency_limit limit;
        setBound(limit, slots, connections);
        beginSlowStart(limit, time_point{});
        time_point now{};
        const auto samples = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(1U, 100000U), rc::gen::inRange(0U, 100U)));
        for (const auto &[time, running] : samples) {
            for (int repeat{0}; repeat < 40; ++repeat) {
                now += milliseconds{5};
                observeServiceTime(limit, microseconds{time}, running, running % 5 == 0, now);
                RC_ASSERT(currentLimit(limit) >= 1);
                RC_ASSERT(currentLimit(limit) <= std::min(slots, connections));
            }
        }
    });
}

TEST_CASE("the limit recovers from slow responses that concurrency did not cause")
{
    concurrency_limit limit;
    setBound(limit, 40, 300);
    limit.limit = 40.0;
    limit.slowStart = false;
    time_point now{};
    const auto feed = [&](milliseconds time, int count) {
        for (int sample{0}; sample < count; ++sample) {
            now += milliseconds{1};
            observeServiceTime(limit, time, currentLimit(limit), false, now);
        }
    };
    feed(milliseconds{10}, 2000);
    feed(milliseconds{30}, 2000);
    CHECK(currentLimit(limit) == 40);
}

namespace {

/** Target that refuses requests above its capacity, and a part of all others. */
struct refusing_target
{
    const char *name;
    bool adapts;
    double capacity;
    double refusedFraction;
    /** Bounds of the limit while the target refuses, of 184 slots. */
    std::uint32_t lowest;
    std::uint32_t highest;
};

/** Feeds the completions of one window: as many as the limit allows each 50 ms, some of them refused. */
void feedWindow(concurrency_limit &limit, const refusing_target &target, double refusedFraction, std::mt19937 &random, time_point &now)
{
    constexpr milliseconds ServiceTime{50};
    constexpr int ServiceTimesPerWindow{2};
    std::uniform_real_distribution<double> drawn{0.0, 1.0};
    for (int round{0}; round < ServiceTimesPerWindow; ++round) {
        const auto running = currentLimit(limit);
        now += ServiceTime;
        for (std::uint32_t request{0}; request < running; ++request) {
            const bool isRefused{request >= target.capacity || drawn(random) < refusedFraction};
            observeServiceTime(limit, isRefused ? milliseconds{1} : ServiceTime, running, isRefused, now);
        }
    }
}

} // namespace

TEST_CASE("refusals that concurrency does not cause do not close a target down")
{
    constexpr std::uint32_t Slots{184};
    constexpr std::uint32_t NearlyAllSlots{175};
    const std::vector<refusing_target> cases{
        {"fixed limit, 55 % refused", false, 1000.0, 0.55, Slots, Slots},
        {"adaptive limit, 55 % refused", true, 1000.0, 0.55, 90, Slots},
        {"adaptive limit, 90 % refused", true, 1000.0, 0.9, 90, Slots},
        {"adaptive limit, all refused", true, 1000.0, 1.0, 90, Slots},
        {"adaptive limit, refused above 60", true, 60.0, 0.0, 45, 75},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        std::mt19937 random{7};
        concurrency_limit limit;
        limit.options.adapts = entry.adapts;
        setBound(limit, Slots, Slots);
        limit.limit = Slots;
        limit.slowStart = false;
        time_point now{};
        constexpr int RefusingWindows{85};
        constexpr int SettledAfter{20};
        std::uint32_t lowest{Slots};
        std::uint32_t highest{0};
        for (int window{0}; window < RefusingWindows; ++window) {
            feedWindow(limit, entry, entry.refusedFraction, random, now);
            lowest = std::min(lowest, currentLimit(limit));
            highest = window < SettledAfter ? 0 : std::max(highest, currentLimit(limit));
        }
        CHECK(lowest >= entry.lowest);
        CHECK(highest <= entry.highest);
        constexpr int RecoveryWindows{20};
        const refusing_target healthy{entry.name, entry.adapts, 1000.0, 0.0, 0, 0};
        for (int window{0}; window < RecoveryWindows; ++window) {
            feedWindow(limit, healthy, 0.0, random, now);
        }
        CHECK(currentLimit(limit) >= NearlyAllSlots);
    }
}
