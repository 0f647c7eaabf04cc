#include "ragwortpin/node/confirmation_queue.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <vector>

using namespace ragwortpin;

TEST_CASE("a confirmation settles the waits for it and for earlier ones, and no later ones")
{
    struct queue_case
    {
        std::string name;
        /** Confirmation that arrives before the waits begin, and one that arrives while they last; 0 for none. */
        std::uint64_t before;
        std::uint64_t meanwhile;
        std::vector<bool> isSettled;
    };
    const std::vector<queue_case> cases{
        {"none", 0, 0, {false, false, false}},
        {"the first, before", 1, 0, {true, false, false}},
        {"the second, meanwhile", 0, 2, {true, true, false}},
        {"one before and one meanwhile", 1, 3, {true, true, true}},
        {"an earlier one after a later one", 2, 1, {true, true, false}},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        boost::asio::io_context context;
        confirmation_queue queue{context};
        std::vector<std::optional<bool>> results(entry.isSettled.size());
        for (std::uint64_t number{1}; number <= results.size(); ++number) {
            REQUIRE(queue.issue() == number);
        }
        queue.settle(entry.before);
        for (std::uint64_t number{1}; number <= results.size(); ++number) {
            boost::asio::co_spawn(
                context, queue.wait(number, milliseconds{50}), [&results, number](const std::exception_ptr &, bool isSettled) {
                    results[number - 1] = isSettled;
                });
        }
        context.poll();
        queue.settle(entry.meanwhile);
        context.restart();
        context.run();
        for (std::size_t index{0}; index < results.size(); ++index) {
            CAPTURE(index);
            CHECK(results[index] == entry.isSettled[index]);
        }
    }
}
