#include "ragwortpin/runtime/loop_probe.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <vector>

using namespace ragwortpin;

namespace {

/** Ages of probes that are received in one interval, and bounds of the delay that is reported for it. */
struct probe_case
{
    std::vector<duration> received;
    duration atLeast;
    duration below;
};

} // namespace

TEST_CASE("a loop probe reports the shortest delay of an interval")
{
    const std::vector<probe_case> cases{
        {{}, duration::zero(), milliseconds{1}},
        {{seconds{20}}, seconds{20}, seconds{40}},
        {{seconds{60}, seconds{20}, seconds{90}}, seconds{20}, seconds{40}},
    };
    for (const auto &entry : cases) {
        boost::asio::io_context context{1};
        loop_probe probe{context};
        for (const auto age : entry.received) {
            probe.send(monotonicNow() - age);
            context.restart();
            context.poll();
        }
        const auto delay = probe.takeDelay(monotonicNow());
        CHECK(delay >= entry.atLeast);
        CHECK(delay < entry.below);
        CHECK(probe.takeDelay(monotonicNow()) == duration::zero());
    }
}

TEST_CASE("a loop probe that was not received counts with its age")
{
    boost::asio::io_context context{1};
    loop_probe probe{context};
    const auto sentAt = monotonicNow();
    probe.send(sentAt);
    probe.send(sentAt + seconds{1});
    CHECK(probe.takeDelay(sentAt + seconds{2}) == seconds{2});
    CHECK(probe.takeDelay(sentAt + seconds{3}) == seconds{3});
    context.poll();
    CHECK(probe.takeDelay(sentAt + seconds{3}) < seconds{3});
}
