#include "ragwortpin/admission/processing_limit.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr std::uint32_t Slots{100};
constexpr milliseconds Interval{250};

/** One interval of a node whose target takes 50 ms for each request. */
struct interval
{
    duration delay;
    double utilisation;
    double requestsPerSecond;
};

struct limit_case
{
    const char *name;
    std::vector<interval> intervals;
    /** Bounds of the reported limit after the last interval. */
    std::uint32_t atLeast;
    std::uint32_t atMost;
    /** Bounds of the reported queue after the last interval. */
    std::uint32_t queueAtLeast;
    std::uint32_t queueAtMost;
};

std::vector<interval> repeat(std::size_t count, interval value)
{
    return std::vector<interval>(count, value);
}

std::vector<interval> join(std::vector<interval> first, const std::vector<interval> &second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

TEST_CASE("a node that lacks processor time reports what it can process instead of the slots of its target")
{
    const interval calm{milliseconds{0}, 0.4, 400.0};
    const interval paused{seconds{3}, 1.0, 4.0};
    const interval saturated{milliseconds{60}, 1.0, 800.0};
    const interval workedOff{milliseconds{2}, 0.9, 800.0};
    const interval underused{milliseconds{0}, 0.5, 600.0};
    const std::vector<limit_case> cases{
        {"calm", repeat(8, calm), Slots, Slots, 0, 0},
        {"one pause", join(repeat(4, calm), {paused, calm}), Slots, Slots, 0, 0},
        {"busy without delay", repeat(8, {milliseconds{4}, 1.0, 1500.0}), Slots, Slots, 0, 0},
        {"saturated", repeat(8, saturated), 20, 36, 30, 60},
        {"saturated, then worked off", join(repeat(8, saturated), repeat(20, workedOff)), 38, 41, 3, 4},
        {"saturated, then underused", join(repeat(8, saturated), repeat(20, underused)), 50, 55, 0, 0},
        {"saturated, then calm", join(repeat(8, saturated), repeat(8, {milliseconds{0}, 0.1, 400.0})), Slots, Slots, 0, 0},
        {"saturated by something else than requests", repeat(8, {milliseconds{60}, 1.0, 0.0}), 10, 10, 10, 20},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        time_point now{seconds{100}};
        auto admission = makeAdmission({}, Slots, Slots, false, now);
        constexpr double SlotTimeMicroseconds{50'000.0};
        admission.averageWork = SlotTimeMicroseconds;
        processing_limit state;
        state.observedAt = now;
        for (const auto &step : entry.intervals) {
            now += Interval;
            admission.counters.started += static_cast<std::uint64_t>(step.requestsPerSecond * toSeconds(Interval));
            observeLoop(state, {step.delay, step.utilisation}, admission, now);
        }
        CHECK(sustainableLimit(state, admission) >= entry.atLeast);
        CHECK(sustainableLimit(state, admission) <= entry.atMost);
        CHECK(waitingRequests(state, admission) >= entry.queueAtLeast);
        CHECK(waitingRequests(state, admission) <= entry.queueAtMost);
    }
}

TEST_CASE("the processing limit never exceeds the limit of the target nor hides its queue")
{
    const time_point now{seconds{100}};
    for (const std::uint32_t slots : {0U, 1U, 4U, 200U}) {
        CAPTURE(slots);
        auto admission = makeAdmission({}, slots, slots, false, now);
        admission.queue.resize(3);
        processing_limit state;
        CHECK(waitingRequests(state, admission) == 3);
        state.limit = 1000.0;
        CHECK(sustainableLimit(state, admission) == slots);
        CHECK(waitingRequests(state, admission) >= 3);
    }
}
