#include "ragwortpin/peers/udp_channel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <set>
#include <string>

using namespace ragwortpin;

namespace {

constexpr std::size_t Datagrams{60};
const peer_address Sender{"127.0.0.1", 7390};
const peer_address Receiver{"127.0.0.1", 7391};

} // namespace

TEST_CASE("a burst of datagrams is received in few passes of a busy event loop")
{
    const datagram_secrets secrets{"secret", ""};
    boost::asio::io_context context{1};
    std::set<std::string> received;
    internal::udp_channel receiver{context, secrets, [&received](datagram &&value, const peer_address &) {
                                       received.insert(value.payload);
                                   }};
    REQUIRE_FALSE(receiver.open(Receiver));
    boost::asio::io_context senderContext{1};
    internal::udp_channel sender{senderContext, secrets, [](datagram &&, const peer_address &) {}};
    REQUIRE_FALSE(sender.open(Sender));
    for (std::size_t number{0}; number < Datagrams; ++number) {
        sender.send({&Receiver, 1}, {datagram_kind::Digest, "sender", "zone", {}, std::to_string(number)});
    }
    CHECK(sender.counters().sent == Datagrams);
    constexpr std::size_t BusyTasks{50};
    constexpr std::size_t MaxPasses{4};
    std::size_t executed{0};
    std::function<void()> busyTask = [&] {
        ++executed;
        boost::asio::post(context, busyTask);
    };
    for (std::size_t task{0}; task < BusyTasks; ++task) {
        boost::asio::post(context, busyTask);
    }
    while (received.size() < Datagrams && executed < MaxPasses * BusyTasks) {
        context.run_one();
    }
    CHECK(received.size() == Datagrams);
    context.stop();
}

TEST_CASE("one datagram is sent to several peers, and failures are counted for each")
{
    const datagram_secrets secrets{"secret", ""};
    boost::asio::io_context context{1};
    std::size_t received{0};
    internal::udp_channel channel{context, secrets, [&received](datagram &&, const peer_address &) {
                                      ++received;
                                  }};
    REQUIRE_FALSE(channel.open(Receiver));
    const std::array peers{Receiver, peer_address{"not an address", 1}, Receiver};
    channel.send(peers, {datagram_kind::Digest, "sender", "zone", {}, "payload"});
    const auto deadline = monotonicNow() + seconds{20};
    while (received < 2 && monotonicNow() < deadline) {
        context.run_one_for(milliseconds{20});
    }
    CHECK(received == 2);
    CHECK(channel.counters().sent == 2);
    CHECK(channel.counters().sendFailures == 1);
    channel.send(peers, {datagram_kind::Digest, "sender", "zone", {}, std::string(MaxDatagramBytes, 'x')});
    CHECK(channel.counters().sendFailures == 1 + peers.size());
}
