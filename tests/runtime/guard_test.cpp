#include "ragwortpin/runtime/guard.h"
#include "ragwortpin/runtime/mailbox.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <stdexcept>
#include <vector>

using namespace ragwortpin;

TEST_CASE("an exception of one handler ends neither the loop nor the handlers behind it")
{
    boost::asio::io_context context{1};
    std::vector<int> handled;
    for (int number{0}; number < 6; ++number) {
        boost::asio::post(context, [&handled, number] {
            if (number % 2 == 0) {
                throw std::runtime_error{"unexpected"};
            }
            handled.push_back(number);
        });
    }
    runGuardedLoop("test", context);
    CHECK(handled == std::vector{1, 3, 5});
}

TEST_CASE("a mailbox delivers the values behind one whose receiver throws")
{
    boost::asio::io_context context{1};
    std::vector<int> received;
    mailbox<int> box{context, 8, [&received](int value) {
                         if (value == 2) {
                             throw std::out_of_range{"unexpected"};
                         }
                         received.push_back(value);
                     }};
    for (int value{1}; value <= 4; ++value) {
        REQUIRE(box.trySend(value));
    }
    context.run();
    CHECK(received == std::vector{1, 3, 4});
}

TEST_CASE("a mailbox delivers no more values once its consumer was stopped")
{
    boost::asio::io_context context{1};
    std::vector<int> received;
    mailbox<int> box{context, 8, [&](int value) {
                         received.push_back(value);
                         context.stop();
                     }};
    for (int value{1}; value <= 4; ++value) {
        REQUIRE(box.trySend(value));
    }
    context.run();
    CHECK(received == std::vector{1});
}

TEST_CASE("a guarded function reports whether it returned")
{
    CHECK(runGuarded("test", [] {}));
    CHECK_FALSE(runGuarded("test", [] {
        throw std::bad_alloc{};
    }));
}
