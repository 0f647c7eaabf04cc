#include "ragwortpin/membership/protocol.h"

#include "bench/fleet/faults.h"
#include "membership/fleet_generators.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <utility>

using namespace ragwortpin;
using namespace ragwortpin::fleet_bench;

namespace {

constexpr std::size_t Nodes{6};
constexpr std::size_t Zones{3};
constexpr int MaxFaults{10};
constexpr seconds ConvergenceLimit{90};

const std::vector<fleet_fault_kind> MembershipFaults{fleet_fault_kind::Wait,
                                                     fleet_fault_kind::Kill,
                                                     fleet_fault_kind::Restart,
                                                     fleet_fault_kind::Pause,
                                                     fleet_fault_kind::Cut,
                                                     fleet_fault_kind::Heal,
                                                     fleet_fault_kind::Drain,
                                                     fleet_fault_kind::Ready};

/** Record of an instance as last observed at one node. */
struct observed_record
{
    unsigned generation{0};
    std::uint64_t incarnation{0};
    instance_state state{instance_state::Starting};
};

/** Checks that at no node a record's incarnation decreases, or its state changes without a new incarnation. */
class record_order_checker
{
public:
    void observe(const fleet_node &node)
    {
        for (const auto &known : node.membership.members) {
            const auto &record = known.record;
            auto &last = m_lastObserved[{node.index, record.name}];
            if (last.generation == node.generation) {
                m_isViolated = m_isViolated || record.incarnation < last.incarnation
                    || (record.incarnation == last.incarnation && record.state != last.state);
            }
            last = {node.generation, record.incarnation, record.state};
        }
    }
    [[nodiscard]] bool isViolated() const
    {
        return m_isViolated;
    }

private:
    std::map<std::pair<std::size_t, std::string>, observed_record> m_lastObserved;
    bool m_isViolated{false};
};

} // namespace

TEST_CASE("membership converges after random faults and no live member remains removed")
{
    rc::prop("the view of every live node contains exactly the live nodes once faults end", []() {
        const auto options = genFleet(Nodes, Zones);
        fleet nodes{options};
        for (const auto &value : genFaults(MembershipFaults, MaxFaults)) {
            apply(nodes, options, value);
        }
        repair(nodes);
        const auto convergenceTime = nodes.runUntil(
            [&nodes] {
                return nodes.isConverged();
            },
            ConvergenceLimit);
        RC_ASSERT(convergenceTime.has_value());
        nodes.runFor(seconds{10});
        RC_ASSERT(nodes.isConverged());
        RC_ASSERT(nodes.maxDatagramBytes() <= MaxDatagramBytes);
    });
}

TEST_CASE("sides of a network partition that declared each other dead merge after it heals")
{
    rc::prop("the view of every node contains all nodes again", []() {
        auto options = genFleet(Nodes, Zones);
        options.startsSynchronized = true;
        fleet nodes{options};
        nodes.runFor(seconds{2});
        nodes.cut({*rc::gen::inRange<std::size_t>(0, Zones)});
        nodes.runFor(seconds{*rc::gen::inRange(20, 60)});
        nodes.heal();
        const auto convergenceTime = nodes.runUntil(
            [&nodes] {
                return nodes.isConverged();
            },
            ConvergenceLimit);
        RC_ASSERT(convergenceTime.has_value());
    });
}

TEST_CASE("incarnation of a record never decreases and its state never changes within an incarnation")
{
    rc::prop("Draining does not revert to Ready for the same incarnation", []() {
        const auto options = genFleet(Nodes, Zones);
        fleet nodes{options};
        record_order_checker checker;
        nodes.observe([&checker](const fleet_node &node) {
            checker.observe(node);
        });
        for (const auto &value : genFaults(MembershipFaults, MaxFaults)) {
            apply(nodes, options, value);
        }
        nodes.runFor(seconds{5});
        RC_ASSERT_FALSE(checker.isViolated());
    });
}

TEST_CASE("draining state reaches all nodes within three seconds")
{
    rc::prop("every connected node has the state, with up to a fifth of datagrams lost", []() {
        auto options = genFleet(16, 4);
        options.startsSynchronized = true;
        fleet nodes{options};
        nodes.runFor(seconds{2});
        const auto drainingNode = *rc::gen::inRange<std::size_t>(0, options.nodes);
        nodes.setState(drainingNode, instance_state::Draining);
        nodes.runFor(seconds{3});
        RC_ASSERT(nodes.countNodesSeeingState(drainingNode, instance_state::Draining) == options.nodes - 1);
    });
}

TEST_CASE("short pause of a process does not remove any member")
{
    rc::prop("a pause shorter than the suspicion timeout leads to no death", []() {
        auto options = genFleet(Nodes, Zones);
        options.startsSynchronized = true;
        options.loss = 0.0;
        fleet nodes{options};
        nodes.runFor(seconds{2});
        nodes.pause(*rc::gen::inRange<std::size_t>(0, Nodes), milliseconds{*rc::gen::inRange(100, 4'500)});
        nodes.runFor(seconds{20});
        std::uint64_t deaths{0};
        for (const auto &node : nodes.nodes()) {
            deaths += node.membership.counters.deaths;
        }
        RC_ASSERT(deaths == 0U);
    });
}

TEST_CASE("killed member leaves all views and is later removed from the table")
{
    fleet_options options;
    options.membership.deadRetention = seconds{60};
    fleet nodes{options};
    nodes.runFor(seconds{2});
    nodes.kill(3);
    nodes.runFor(seconds{15});
    REQUIRE(nodes.countNodesSeeingState(3, std::nullopt) == options.nodes - 1);
    REQUIRE(nodes.nodes().front().membership.members.size() == options.nodes);
    nodes.runFor(seconds{80});
    REQUIRE(nodes.nodes().front().membership.members.size() == options.nodes - 1);
}

TEST_CASE("member that announced the state Gone leaves all views within two seconds")
{
    const fleet_options options;
    fleet nodes{options};
    nodes.runFor(seconds{2});
    nodes.setState(3, instance_state::Gone);
    nodes.runFor(seconds{2});
    REQUIRE(nodes.countNodesSeeingState(3, std::nullopt) == options.nodes - 1);
}

TEST_CASE("datagrams do not exceed the size limit while many nodes start at once")
{
    fleet_options options;
    options.nodes = 64;
    options.startsSynchronized = false;
    fleet nodes{options};
    nodes.runFor(seconds{10});
    REQUIRE(nodes.maxDatagramBytes() <= MaxDatagramBytes);
    REQUIRE(nodes.maxDatagramBytes() > MaxDatagramBytes / 2);
}

TEST_CASE("control traffic of an idle fleet stays below its limit")
{
    constexpr double MaxBytesPerSecond{2'000.0};
    const fleet_options options;
    fleet nodes{options};
    nodes.runFor(seconds{60});
    for (const auto &node : nodes.nodes()) {
        CAPTURE(node.name);
        REQUIRE(static_cast<double>(node.bytes.sentBytes + node.bytes.receivedBytes) / 60.0 < MaxBytesPerSecond);
    }
}
