#include "ragwortpin/admission/admission.h"
#include "ragwortpin/admission/first_hop.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <string>

using namespace ragwortpin;

namespace {

/** A surge on one target in an interval of steady demand, and the level that is expected of it. */
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
    {"less important rank in part", 4.0, 12.0, 1, 0.5},
    {"more important rank alone fits exactly", 9.5, 20.0, 1, 0.025},
    {"more important rank in part", 20.0, 20.0, 0, 0.5},
};

constexpr double Capacity{10.0};

/** Feeds steady demand of one workspace for ten seconds, thinned out as the level in force says. */
demand_estimate steadyDemand(const level_case &wanted)
{
    demand_estimate state;
    for (int tick{1}; tick <= 200; ++tick) {
        const double rates[]{wanted.rankZero, wanted.rankOne};
        for (unsigned rank{0}; rank < 2; ++rank) {
            const auto level = levelOf(state, "workspace");
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

TEST_CASE("a target promises its capacity by rank")
{
    for (const auto &wanted : LevelCases) {
        CAPTURE(wanted.name);
        const auto level = levelOf(steadyDemand(wanted), "workspace");
        CHECK(level.rank == wanted.rank);
        CHECK(level.probability == Approx(wanted.probability).margin(0.06));
    }
}

TEST_CASE("a workspace inside its share is not shed for one that is not")
{
    demand_estimate state;
    for (int tick{1}; tick <= 40; ++tick) {
        observeDemand(state, "polite", 1, 1.0, 0.05 * 3.0, 1.0);
        observeDemand(state, "flooding", 1, 1.0, 0.05 * 50.0, 1.0);
        updateDemand(state, Capacity, time_point{milliseconds{50 * tick}});
    }
    CHECK(levelOf(state, "polite") == shed_level{});
    CHECK(levelOf(state, "flooding").rank == 1);
}

TEST_CASE("a heard level relaxes with its age and is forgotten")
{
    shed_memory memory;
    observeShedLevel(memory, "route", "workspace", shed_level{1, 0.25}, time_point{});
    const auto probabilityAt = [&](unsigned rank, duration age) {
        return admitAtFirstHop(memory, "route", "workspace", rank, 0.0, time_point{age}).probability;
    };
    CHECK(probabilityAt(0, duration{0}) == 1.0);
    CHECK(probabilityAt(1, duration{0}) == Approx(0.25));
    CHECK(probabilityAt(2, duration{0}) == Approx(memory.options.probeProbability));
    const duration halfway{memory.options.hold + memory.options.relax / 2};
    CHECK(probabilityAt(1, halfway) == Approx(0.625));
    CHECK(probabilityAt(2, memory.options.hold + memory.options.relax) == 1.0);
    forgetRelaxed(memory, time_point{memory.options.hold + memory.options.relax});
    CHECK(memory.levels.empty());
}

TEST_CASE("a first hop never passes a less important request more readily")
{
    rc::prop("levels heard in any order", [] {
        shed_memory memory;
        time_point now{};
        const auto heard = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 5U), rc::gen::inRange(0U, 1000U)));
        for (const auto &[rank, thousandths] : heard) {
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

TEST_CASE("a limit stays between one and the lesser of slots and connections")
{
    rc::prop("any service times and rejections", [] {
        const auto slots = *rc::gen::inRange(1U, 100U);
        const auto connections = *rc::gen::inRange(1U, 100U);
        concurrency_limit limit;
        setBound(limit, slots, connections);
        startCold(limit, time_point{});
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

TEST_CASE("a limit recovers from a slowness that concurrency did not cause")
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
