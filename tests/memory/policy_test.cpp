#include "ragwortpin/memory/budget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr std::size_t Mebibyte{1024UL * 1024UL};

struct reserve_case
{
    std::string name;
    memory_usage usage;
    memory_use use;
    std::size_t held;
    std::size_t added;
    bool expected;
};

struct rate_case
{
    std::string name;
    milliseconds observed;
    std::size_t bytes;
    bool expected;
};

} // namespace

TEST_CASE("uploads leave memory for small requests, and both leave memory for responses")
{
    const std::vector<reserve_case> cases{
        {"an upload in an empty budget", {120 * Mebibyte, 0}, memory_use::Request, 0, 100 * Mebibyte, true},
        {"an upload beyond its part", {120 * Mebibyte, 0}, memory_use::Request, 0, 101 * Mebibyte, false},
        {"a small request beside a full part of uploads", {120 * Mebibyte, 100 * Mebibyte}, memory_use::Request, 0, 1024, true},
        {"a request that grows above the small size", {120 * Mebibyte, 105 * Mebibyte}, memory_use::Request, SmallRequestBytes, 1, false},
        {"a small request beyond its part", {120 * Mebibyte, 110 * Mebibyte}, memory_use::Request, 0, 1, false},
        {"a response beside a full part of requests", {120 * Mebibyte, 110 * Mebibyte}, memory_use::Response, 0, 10 * Mebibyte, true},
        {"a response beyond the limit", {120 * Mebibyte, 110 * Mebibyte}, memory_use::Response, 0, 10 * Mebibyte + 1, false},
        {"a size that overflows", {120 * Mebibyte, 0}, memory_use::Request, 0, ~std::size_t{0}, false},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        CHECK(canReserve(entry.usage, entry.use, entry.held, entry.added) == entry.expected);
    }
}

TEST_CASE("a transfer is too slow only after it was observed for a while")
{
    const std::vector<rate_case> cases{
        {"stalled, observed shortly", milliseconds{1999}, 0, false},
        {"stalled", milliseconds{2000}, 0, true},
        {"slow", milliseconds{2000}, 30'000, true},
        {"fast enough", milliseconds{2000}, 40'000, false},
        {"slow after a fast begin", milliseconds{10'000}, 40'000, true},
    };
    const time_point start{seconds{100}};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        CHECK(isTooSlow({start, entry.bytes}, start + entry.observed) == entry.expected);
    }
}

TEST_CASE("the reserved memory is the sum of what the reservations hold and never exceeds the limit")
{
    rc::prop("reservations", [] {
        constexpr std::size_t Limit{12'000};
        memory_budget budget{Limit};
        std::vector<memory_reservation> held;
        const auto steps = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 4U), rc::gen::inRange(0U, 6000U)));
        for (const auto &[action, bytes] : steps) {
            if (action == 0 || held.empty()) {
                held.push_back(budget.makeReservation(bytes % 2 == 0 ? memory_use::Request : memory_use::Response));
            } else if (action == 1) {
                held.erase(held.begin() + static_cast<std::ptrdiff_t>(bytes % held.size()));
            } else {
                auto &changed = held[bytes % held.size()];
                const auto before = changed.bytes();
                const bool isChanged{changed.resize(bytes)};
                RC_ASSERT(changed.bytes() == (isChanged ? bytes : before));
                RC_ASSERT(isChanged || bytes > before);
            }
            std::size_t sum{0};
            for (const auto &reservation : held) {
                sum += reservation.bytes();
            }
            RC_ASSERT(budget.usage().reserved == sum);
            RC_ASSERT(sum <= Limit);
        }
        held.clear();
        RC_ASSERT(budget.usage().reserved == 0U);
    });
}

TEST_CASE("a reservation may outlive its budget and be moved")
{
    auto budget = std::make_unique<memory_budget>(12'000);
    auto first = budget->makeReservation(memory_use::Response);
    REQUIRE(first.resize(5000));
    auto second = std::move(first);
    CHECK(budget->usage().reserved == 5000);
    budget.reset();
    CHECK(second.resize(1000));
    second = memory_reservation{};
    CHECK(second.resize(1'000'000'000));
}
