#include "ragwortpin/runtime/timer_service.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace ragwortpin;

namespace {

constexpr time_point at(int value)
{
    return time_point{milliseconds{value}};
}

} // namespace

TEST_CASE("timer service runs periodic and one-shot callbacks in order of due time")
{
    timer_service timers;
    std::vector<int> order;
    timers.subscribe(at(0), milliseconds{10}, [&order](time_point) {
        order.push_back(1);
    });
    timers.subscribeOnce(at(5), [&order](time_point) {
        order.push_back(2);
    });

    timers.advance(at(4));
    REQUIRE(order.empty());
    timers.advance(at(10));
    REQUIRE(order == std::vector<int>{2, 1});
    REQUIRE(timers.nextDue() == at(20));
}

TEST_CASE("timer service runs a periodic callback once after several missed periods")
{
    timer_service timers;
    int calls{0};
    timers.subscribe(at(0), milliseconds{10}, [&calls](time_point) {
        ++calls;
    });
    timers.advance(at(1000));
    REQUIRE(calls == 1);
}

TEST_CASE("timer service allows a callback to remove its own subscription")
{
    timer_service timers;
    int calls{0};
    timer_id id{};
    id = timers.subscribe(at(0), milliseconds{10}, [&](time_point) {
        ++calls;
        timers.unsubscribe(id);
    });
    timers.advance(at(10));
    timers.advance(at(20));
    REQUIRE(calls == 1);
    REQUIRE_FALSE(timers.nextDue().has_value());
}
