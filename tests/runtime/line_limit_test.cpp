#include "ragwortpin/runtime/line_limit.h"

#include <catch2/catch.hpp>

using namespace ragwortpin;

TEST_CASE("lines on messages that anybody can send are few however many messages arrive, and say how many were left out")
{
    line_limit limit;
    const time_point start{seconds{1000}};
    unsigned written{0};
    constexpr unsigned Messages{10'000};
    for (unsigned index{0}; index < Messages; ++index) {
        written += admitLine(limit, start + microseconds{index}) ? 1 : 0;
    }
    CHECK(written == MaxLinesPerPeriod);
    CHECK(admitLine(limit, start + LinePeriod) == Messages - MaxLinesPerPeriod);
    CHECK(admitLine(limit, start + LinePeriod) == 0U);
    CHECK(admitLine(limit, start + LinePeriod + LinePeriod) == 0U);
}
