#include "ragwortpin/runtime/bounded_ring.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <vector>

using namespace ragwortpin;

TEST_CASE("bounded ring preserves order, rejects values when full and counts the rejections")
{
    rc::prop("a ring behaves as a queue of fixed capacity", [](const std::vector<bool> &pushes) {
        constexpr std::size_t Capacity{4};
        bounded_ring<int> ring{Capacity};
        std::deque<int> model;
        std::uint64_t rejected{0};
        int next{0};
        for (const auto push : pushes) {
            if (push) {
                const auto accepted = ring.tryPush(++next);
                RC_ASSERT(accepted == (model.size() < Capacity));
                if (accepted) {
                    model.push_back(next);
                } else {
                    ++rejected;
                }
            } else {
                const auto value = ring.tryPop();
                RC_ASSERT(value.has_value() == !model.empty());
                if (value) {
                    RC_ASSERT(*value == model.front());
                    model.pop_front();
                }
            }
        }
        RC_ASSERT(ring.rejected() == rejected);
    });
}
