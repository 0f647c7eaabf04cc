#include "ragwortpin/spread/protocol.h"

#include "bench/fleet/faults.h"
#include "membership/fleet_generators.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace ragwortpin;
using namespace ragwortpin::fleet_bench;

namespace {

constexpr std::size_t Nodes{6};
constexpr std::size_t Zones{3};
constexpr int MaxFaults{12};
constexpr seconds ConvergenceTime{60};

const std::vector<fleet_fault_kind> AllFaults{fleet_fault_kind::Wait,
                                              fleet_fault_kind::Kill,
                                              fleet_fault_kind::Restart,
                                              fleet_fault_kind::Pause,
                                              fleet_fault_kind::Cut,
                                              fleet_fault_kind::Heal,
                                              fleet_fault_kind::StoreDown,
                                              fleet_fault_kind::StoreUp,
                                              fleet_fault_kind::Publish,
                                              fleet_fault_kind::Publish,
                                              fleet_fault_kind::FalseRevisionClaim};

} // namespace

TEST_CASE("revision in force never decreases and no unpublished revision comes into force")
{
    rc::prop("at every node after every event", []() {
        const auto options = genFleet(Nodes, Zones);
        fleet nodes{options};
        bool decreased{false};
        bool unpublished{false};
        nodes.observe([&](const fleet_node &node) {
            const auto revision = node.spread.inForce.revision;
            decreased = decreased || revision < node.observedRevision;
            unpublished = unpublished || revision > nodes.publishedRevision();
        });
        for (const auto &value : genFaults(AllFaults, MaxFaults)) {
            apply(nodes, options, value);
        }
        repair(nodes);
        nodes.runFor(seconds{5});
        RC_ASSERT_FALSE(decreased);
        RC_ASSERT_FALSE(unpublished);
    });
}

TEST_CASE("newest revision is in force at all live nodes after the convergence time")
{
    rc::prop("after random faults and forged claims", []() {
        const auto options = genFleet(Nodes, Zones);
        fleet nodes{options};
        for (const auto &value : genFaults(AllFaults, MaxFaults)) {
            apply(nodes, options, value);
        }
        repair(nodes);
        nodes.runFor(ConvergenceTime);
        RC_ASSERT(nodes.countNodesAtRevision(nodes.publishedRevision()) == nodes.liveNodes());
    });
}

TEST_CASE("withdrawal of a key is in force at every connected node within ten seconds")
{
    rc::prop("with up to a fifth of datagrams lost and a forged claim of one node", []() {
        constexpr std::size_t OneZone{16};
        auto options = genFleet(OneZone, 1);
        options.startsSynchronized = true;
        fleet nodes{options};
        nodes.runFor(seconds{2});
        nodes.sendFalseRevisionClaim(*rc::gen::inRange<std::size_t>(0, OneZone), 1'000'000);
        nodes.runFor(milliseconds{*rc::gen::inRange(0, 3'000)});
        nodes.publish();
        nodes.runFor(seconds{10});
        RC_ASSERT(nodes.countNodesAtRevision(nodes.publishedRevision()) == OneZone);
    });
}

TEST_CASE("node that starts while the store fails loads from peers, and reports Unavailable if no peer has a configuration")
{
    fleet_options options;
    fleet nodes{options};
    nodes.runFor(seconds{2});
    nodes.setStoreDown(true);
    nodes.restart(5);
    nodes.runFor(seconds{5});
    REQUIRE(spreadStatus(nodes.nodes()[5].spread) == spread_status::InForce);

    options.startsSynchronized = false;
    fleet coldFleet{options};
    coldFleet.setStoreDown(true);
    coldFleet.runFor(seconds{5});
    for (const auto &node : coldFleet.nodes()) {
        REQUIRE(spreadStatus(node.spread) == spread_status::Unavailable);
    }
    coldFleet.setStoreDown(false);
    coldFleet.runFor(seconds{20});
    REQUIRE(coldFleet.countNodesAtRevision(1) == options.nodes);
}

TEST_CASE("availability zone reads the store at a rate independent of its size, and less often while the store fails")
{
    struct rate_case
    {
        std::size_t nodes;
        bool isStoreDown;
        double minRate;
        double maxRate;
    };
    const std::vector<rate_case> cases{{8, false, 0.7, 1.4}, {32, false, 0.7, 1.4}, {8, true, 0.05, 0.4}, {32, true, 0.05, 0.4}};
    constexpr seconds Span{300};
    for (const auto &item : cases) {
        CAPTURE(item.nodes, item.isStoreDown);
        fleet_options options;
        options.nodes = item.nodes;
        options.zones = 1;
        fleet nodes{options};
        nodes.setStoreDown(item.isStoreDown);
        nodes.runFor(seconds{120});
        const auto before = nodes.storeCalls();
        nodes.runFor(Span);
        const auto rate = static_cast<double>(nodes.storeCalls() - before) / toSeconds(Span);
        REQUIRE(rate > item.minRate);
        REQUIRE(rate < item.maxRate);
    }
}

TEST_CASE("patch restores its content and does not apply to another base")
{
    rc::prop("applying a patch to its base yields the content",
             [](const std::string &shared, const std::string &from, const std::string &to) {
                 const auto base = makeContent(1, shared + from + shared);
                 const auto content = makeContent(2, shared + to + shared);
                 const auto patch = makePatch(base, content);
                 RC_ASSERT(applyPatch(base, patch) == content);
                 RC_ASSERT(patch.middle.size() <= to.size());
                 const auto other = makeContent(1, base.text + "x");
                 RC_ASSERT((!applyPatch(other, patch) || patch.suffixBytes == 0));
                 RC_ASSERT_FALSE(applyPatch({}, patch).has_value());
             });
}

TEST_CASE("content of a peer with a lower revision than the store's head is not applied")
{
    std::mt19937_64 random{20261204};
    const time_point now{};
    auto state = startSpread(now, {}, 8080, random);
    REQUIRE_FALSE(handleHeadReply(state, now, 1, {{}, 10, std::nullopt}, random).has_value());
    recordClaim(state, now, {"node-b", {"10.0.0.2", 8080}, 10, true, {}});
    const auto pull = tickPull(state, now, random);
    REQUIRE(pull.has_value());
    const auto older = makePatch({}, makeContent(9, "older"));
    REQUIRE_FALSE(handlePullReply(state, now, {pull->id, {}, older}).has_value());
    REQUIRE(state.counters.unprovenClaims == 1);
    REQUIRE_FALSE(tickPull(state, now, random).has_value());
}
