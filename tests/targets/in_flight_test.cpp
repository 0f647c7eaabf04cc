#include "ragwortpin/targets/in_flight.h"

#include <catch2/catch.hpp>

using namespace ragwortpin;

TEST_CASE("a token finds its request until the request is removed")
{
    in_flight_table table;
    auto request = std::make_shared<in_flight_request>();
    const auto token = table.add(request);
    CHECK(token.size() == 32);
    CHECK(table.find(token) == request);
    CHECK(table.find("") == nullptr);
    CHECK(table.add(request) != token);
    table.remove(token);
    CHECK(table.find(token) == nullptr);
    CHECK(table.size() == 1);
}

TEST_CASE("overlapping calls of a target count once towards the downstream time")
{
    const auto at = [](int value) {
        return time_point{milliseconds{value}};
    };
    in_flight_request request;
    const auto first = std::make_shared<call_control>();
    const auto second = std::make_shared<call_control>();
    beginCall(request, first, at(0));
    beginCall(request, second, at(5));
    endCall(request, at(10));
    endCall(request, at(20));
    CHECK(request.downstreamTime == milliseconds{20});
    beginCall(request, first, at(30));
    endCall(request, at(31));
    CHECK(request.downstreamTime == milliseconds{21});
    cancelCalls(request);
    CHECK(first->cancelled());
    CHECK(second->cancelled());
}
