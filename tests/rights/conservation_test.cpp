#include "bench/rights/conservation.h"
#include "bench/rights/virtual_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::bench;

namespace {

constexpr double Tolerance{1e-6};

enum class fault : unsigned char {
    Kill,
    Restart,
    Replace,
    Pause,
    Leave,
    CutZone,
    CutNode,
    Heal,
    Loss,
    Duplication,
    Jitter,
    StoreOutage,
    StoreLosesAnswers,
    StoreHealthy,
    ChangeRates,
    MoveShares,
    RemoveWorkspace,
    Surge,
    Count,
};

struct step
{
    fault kind{fault::Heal};
    unsigned target{0};
    unsigned strength{0};
    unsigned wait{0};
};

std::ostream &operator<<(std::ostream &stream, const step &value)
{
    return stream << '{' << static_cast<int>(value.kind) << ", " << value.target << ", " << value.strength << ", " << value.wait << '}';
}

rc::Gen<step> randomStep()
{
    return rc::gen::build<step>(rc::gen::set(&step::kind,
                                             rc::gen::map(rc::gen::inRange(0, static_cast<int>(fault::Count)),
                                                          [](int kind) {
                                                              return static_cast<fault>(kind);
                                                          })),
                                rc::gen::set(&step::target, rc::gen::inRange(0U, 64U)),
                                rc::gen::set(&step::strength, rc::gen::inRange(0U, 10U)),
                                rc::gen::set(&step::wait, rc::gen::inRange(0U, 10U)));
}

fleet_options smallFleet(std::uint64_t seed)
{
    fleet_options options;
    options.seed = seed;
    options.zones = {"a", "b", "c"};
    options.nodesPerZone = 3;
    options.drift = ClockDriftBound;
    options.detection = milliseconds{800};
    options.settings.slotsPerZone = 4;
    options.settings.slotLapse = seconds{6};
    options.settings.loanTerm = seconds{2};
    options.settings.loanRenewalInterval = milliseconds{500};
    options.workspaces = {{"large", 120.0, 30.0, 1.0}, {"small", 8.0, 3.0, 1.0}};
    return options;
}

/** Returns a configuration with half of the share of one availability zone moved to another. The rates of workspaces are unchanged. */
configuration moveShares(const virtual_fleet &fleet, unsigned target)
{
    auto next = *fleet.config;
    auto &zones = next.availabilityZones;
    auto &from = zones[target % zones.size()];
    auto &to = zones[(target + 1) % zones.size()];
    const auto moved = from.share / 2.0;
    from.share -= moved;
    to.share += moved;
    return next;
}

configuration changeRates(const virtual_fleet &fleet, unsigned strength)
{
    auto next = *fleet.config;
    for (auto &object : next.workspaces) {
        object.rate = std::max(1.0, object.rate * (0.5 + strength * 0.15));
        object.burst = std::max(1.0, object.burst * (0.5 + strength * 0.15));
    }
    return next;
}

configuration removeOrRestoreWorkspace(const virtual_fleet &fleet)
{
    auto next = *fleet.config;
    if (next.workspaces.size() > 1) {
        next.workspaces.pop_back();
    } else {
        next.workspaces.push_back({"small", 8.0, 3.0, 1.0});
    }
    return next;
}

void surge(virtual_fleet &fleet, unsigned target)
{
    const auto node = target % fleet.nodes.size();
    for (int request{0}; request < 60; ++request) {
        offerRequest(fleet, node, "large");
        offerRequest(fleet, (node + static_cast<std::size_t>(request)) % fleet.nodes.size(), "small");
    }
}

void startIfDead(virtual_fleet &fleet, std::size_t node)
{
    if (!fleet.nodes[node].alive) {
        restartNode(fleet, node);
    }
}

void applyFault(virtual_fleet &fleet, const step &next)
{
    const auto node = next.target % fleet.nodes.size();
    const auto fraction = next.strength / 20.0;
    switch (next.kind) {
    case fault::Kill:
        return killNode(fleet, node);
    case fault::Restart:
        return restartNode(fleet, node);
    case fault::Replace:
        return replaceNode(fleet, node);
    case fault::Pause:
        return pauseNode(fleet, node, milliseconds{300} * (1 + next.strength * next.strength));
    case fault::Leave:
        return leaveNode(fleet, node);
    case fault::CutZone:
        fleet.cutZones.insert(fleet.options.zones[next.target % fleet.options.zones.size()]);
        return updateMembers(fleet);
    case fault::CutNode:
        fleet.cutNodes.insert(node);
        return updateMembers(fleet);
    case fault::Heal:
        fleet.cutZones.clear();
        fleet.cutNodes.clear();
        fleet.loss = fleet.duplication = 0.0;
        fleet.jitter = duration::zero();
        updateMembers(fleet);
        return startIfDead(fleet, node);
    case fault::Loss:
        fleet.loss = fraction;
        return;
    case fault::Duplication:
        fleet.duplication = 2.0 * fraction;
        return;
    case fault::Jitter:
        fleet.jitter = milliseconds{40} * next.strength;
        return;
    case fault::StoreOutage:
        fleet.store.outage = true;
        return;
    case fault::StoreLosesAnswers:
        fleet.store.replyLossFraction = 2.0 * fraction;
        return;
    case fault::StoreHealthy:
        fleet.store.outage = false;
        fleet.store.replyLossFraction = 0.0;
        return;
    case fault::ChangeRates:
        return publish(fleet, changeRates(fleet, next.strength), seconds{2});
    case fault::MoveShares:
        return publish(fleet, moveShares(fleet, next.target), seconds{2});
    case fault::RemoveWorkspace:
        return publish(fleet, removeOrRestoreWorkspace(fleet), seconds{2});
    case fault::Surge:
    case fault::Count:
        return surge(fleet, next.target);
    }
}

/** Conditions of a run: load as a multiple of the configured rates, and the fraction of nodes whose clocks run fast. */
struct conditions
{
    std::uint64_t seed{0};
    double load{0.0};
    double fastClocks{0.5};
};

std::size_t anyNode(virtual_fleet &fleet)
{
    return fleet.random() % fleet.nodes.size();
}

/** Offers steady load at random nodes and a surge every 1.3 s, so that full buckets are emptied too. */
void offerMixedLoad(virtual_fleet &fleet, double load, time_point until)
{
    const auto anywhere = [&fleet] {
        return anyNode(fleet);
    };
    if (load > 0.0) {
        offerLoad(fleet, "large", 120.0 * load, anywhere, until);
        offerLoad(fleet, "small", 8.0 * load, anywhere, until);
    }
    for (auto at = fleet.now; at < until; at += milliseconds{1300}) {
        schedule(fleet, at, [&fleet] {
            surge(fleet, static_cast<unsigned>(anyNode(fleet)));
        });
    }
}

/** Largest violation of each limit during a run. */
struct violations
{
    double admitted{0.0};
    conservation_excess excess;

    void add(const conservation_excess &sample)
    {
        excess.rate = std::max(excess.rate, sample.rate);
        excess.cap = std::max(excess.cap, sample.cap);
        excess.unmatchedLoans += sample.unmatchedLoans;
        excess.unmatchedBatches += sample.unmatchedBatches;
    }

    [[nodiscard]] bool none() const
    {
        return admitted <= Tolerance && excess.rate <= Tolerance && excess.cap <= Tolerance && excess.unmatchedLoans == 0
            && excess.unmatchedBatches == 0;
    }
};

std::ostream &operator<<(std::ostream &stream, const violations &value)
{
    return stream << "admitted " << value.admitted << ", rate " << value.excess.rate << ", cap " << value.excess.cap << ", loans "
                  << value.excess.unmatchedLoans << ", batches " << value.excess.unmatchedBatches;
}

void runSampled(virtual_fleet &fleet, time_point until, violations &found)
{
    while (fleet.now < until) {
        runUntil(fleet, std::min(until, fleet.now + milliseconds{25}));
        found.add(checkConservation(fleet));
    }
}

/** Runs a sequence of faults and returns the largest violations. */
violations runFaults(const std::vector<step> &steps, const conditions &runConditions)
{
    const auto fleet = std::make_unique<virtual_fleet>();
    auto options = smallFleet(runConditions.seed);
    options.fastClocks = runConditions.fastClocks;
    startFleet(*fleet, options);
    violations found;
    auto until = fleet->now + seconds{8};
    offerMixedLoad(*fleet, runConditions.load, until + seconds{4} * static_cast<int>(steps.size() + 1));
    runSampled(*fleet, until, found);
    for (const auto &next : steps) {
        applyFault(*fleet, next);
        until += milliseconds{50} + milliseconds{30} * (next.wait * next.wait);
        runSampled(*fleet, until, found);
    }
    runSampled(*fleet, until + seconds{3}, found);
    found.admitted = -lowestAuditLevel(*fleet);
    return found;
}

/** Offers at least three times the configured rates for 30 s. */
void overload(virtual_fleet &fleet)
{
    const auto until = fleet.now + seconds{30};
    const auto anywhere = [&fleet] {
        return anyNode(fleet);
    };
    offerLoad(fleet, "large", 360.0, anywhere, until);
    offerLoad(fleet, "small", 30.0, anywhere, until);
    runUntil(fleet, until);
}

} // namespace

TEST_CASE("no workspace exceeds its rate and burst over any window", "[rights][I6]")
{
    rc::prop("any faults", [](std::uint64_t seed) {
        const auto load = *rc::gen::element(0.0, 0.3, 3.0);
        const auto fastClocks = *rc::gen::element(0.0, 0.5, 1.0);
        const auto steps = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<step>>(24, randomStep()));
        const auto found = runFaults(steps, {seed, load, fastClocks});
        RC_LOG() << found;
        RC_ASSERT(found.none());
    });
}

TEST_CASE("a restarted node that leaves at once waits until loans of its previous process have ended", "[rights][I6]")
{
    for (std::size_t node{0}; node < 9; ++node) {
        CAPTURE(node);
        const auto fleet = std::make_unique<virtual_fleet>();
        startFleet(*fleet, smallFleet(20261204));
        runUntil(*fleet, fleet->now + seconds{8});
        violations found;
        restartNode(*fleet, node);
        runSampled(*fleet, fleet->now + milliseconds{200}, found);
        leaveNode(*fleet, node);
        runSampled(*fleet, fleet->now + seconds{4}, found);
        CAPTURE(found.excess.rate, found.excess.cap);
        CHECK(found.none());
    }
}

TEST_CASE("a healthy fleet admits at most the limits of each workspace and nearly all of its rate", "[rights]")
{
    for (const auto fastClocks : {0.0, 0.5, 1.0}) {
        CAPTURE(fastClocks);
        const auto fleet = std::make_unique<virtual_fleet>();
        auto options = smallFleet(20261204);
        options.fastClocks = fastClocks;
        startFleet(*fleet, options);
        runUntil(*fleet, fleet->now + seconds{10});
        overload(*fleet);
        const auto &large = fleet->audits.at("large");
        const auto &small = fleet->audits.at("small");
        CHECK(large.lowest >= -Tolerance);
        CHECK(small.lowest >= -Tolerance);
        CHECK(static_cast<double>(large.admitted) > 0.95 * (120.0 * 30.0));
        CHECK(static_cast<double>(small.admitted) > 0.9 * (8.0 * 30.0));
    }
}
