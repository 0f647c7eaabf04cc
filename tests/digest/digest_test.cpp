#include "ragwortpin/digest/digest.h"

#include "ragwortpin/peers/datagram.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr milliseconds Round{250};

/** Simulated fleet that exchanges digests over a network without loss; datagrams to dead nodes are dropped. */
struct exchange_fleet
{
    membership_view members;
    /** Members that a node knows of, where these are not all. */
    std::map<std::string, membership_view> partialViews;
    std::map<std::string, digest_state> states;
    std::map<std::string, std::uint64_t> sequences;
    std::set<std::string> dead;
    std::size_t messages{0};
    std::size_t betweenZones{0};
    time_point now{seconds{100}};

    exchange_fleet(int zones, int nodesPerZone)
    {
        for (int zone{0}; zone < zones; ++zone) {
            for (int node{0}; node < nodesPerZone; ++node) {
                const auto zoneName = "zone-" + std::to_string(zone);
                const auto name = zoneName + "-" + std::to_string(node);
                members.instances.push_back({.name = name, .availabilityZone = zoneName});
                states.emplace(name, startDigests({}, name, zoneName));
            }
        }
        std::sort(members.instances.begin(), members.instances.end(), [](const auto &left, const auto &right) {
            return left.name < right.name;
        });
    }

    void round()
    {
        now += Round;
        for (auto &[name, state] : states) {
            if (dead.contains(name)) {
                continue;
            }
            node_digest own;
            own.availabilityZone = state.availabilityZone;
            own.usage = {name, 1, ++sequences[name], {}};
            for (const auto &output : tickDigests(state, own, viewOf(name), now)) {
                for (const auto &recipient : output.recipients) {
                    for (const auto &payload : output.payloads) {
                        deliver(name, recipient, payload);
                    }
                }
            }
        }
    }

    void deliver(const std::string &from, const instance_record &to, const std::string &payload)
    {
        ++messages;
        betweenZones += states.at(from).availabilityZone != to.availabilityZone ? 1 : 0;
        CHECK(payload.size() <= MaxDatagramPayloadBytes);
        if (!dead.contains(to.name)) {
            REQUIRE(receiveDigests(states.at(to.name), from, viewOf(to.name), payload, now));
        }
    }

    [[nodiscard]] const membership_view &viewOf(const std::string &name) const
    {
        const auto found = partialViews.find(name);
        return found == partialViews.end() ? members : found->second;
    }

    /** Leaves each node with a random part of the members and itself. */
    void forgetMembers(std::mt19937_64 &random, double knownFraction)
    {
        std::bernoulli_distribution isKnown{knownFraction};
        for (const auto &own : members.instances) {
            auto &view = partialViews[own.name];
            view.instances.clear();
            std::copy_if(members.instances.begin(), members.instances.end(), std::back_inserter(view.instances), [&](const auto &record) {
                return record.name == own.name || isKnown(random);
            });
        }
    }

    /** Returns whether every live node has a digest of every other live node that is at most the given number of rounds old. */
    [[nodiscard]] bool hasRecentDigests(int rounds) const
    {
        for (const auto &[name, state] : states) {
            for (const auto &[other, otherState] : states) {
                if (name == other || dead.contains(name) || dead.contains(other)) {
                    continue;
                }
                const auto entry = state.entries.find(other);
                if (entry == state.entries.end() || now - entry->second.receivedAt > rounds * duration{Round}) {
                    return false;
                }
            }
        }
        return true;
    }
};

node_digest sampleDigest(const std::string &name)
{
    node_digest digest;
    digest.availabilityZone = "zone";
    digest.service = "clips";
    digest.limit = 38;
    digest.running = 30;
    digest.queued = 4;
    digest.profiles = {{.route = 5, .runs = 12.5, .slotTime = 0.25, .calls = {{6, 4.0}, {7, 0.125}}}};
    digest.demands = {{5, 2, 17.5}};
    digest.usage = {name, 7, 8, {{1, 2, 3.25}, {4, 5, 0.0}}};
    return digest;
}

} // namespace

TEST_CASE("every node receives the digest of every other at a cost per node that does not grow with the fleet")
{
    for (const int nodesPerZone : {1, 4, 22}) {
        CAPTURE(nodesPerZone);
        exchange_fleet fleet{4, nodesPerZone};
        for (int count{0}; count < 8; ++count) {
            fleet.round();
        }
        CHECK(fleet.hasRecentDigests(4));
        fleet.messages = 0;
        fleet.betweenZones = 0;
        fleet.round();
        const auto nodes = 4U * static_cast<std::size_t>(nodesPerZone);
        constexpr std::size_t DatagramsOfAllDigests{8};
        CHECK(fleet.messages <= nodes + nodes * DatagramsOfAllDigests);
        CHECK(fleet.betweenZones <= 24);
    }
}

TEST_CASE("next nodes of a zone take over when its relays die")
{
    exchange_fleet fleet{3, 4};
    for (int count{0}; count < 8; ++count) {
        fleet.round();
    }
    fleet.dead = {"zone-0-0", "zone-1-0", "zone-1-1"};
    for (int count{0}; count < 24; ++count) {
        fleet.round();
    }
    CHECK(fleet.hasRecentDigests(8));
    fleet.dead.clear();
    for (int count{0}; count < 32; ++count) {
        fleet.round();
    }
    CHECK(fleet.hasRecentDigests(4));
}

TEST_CASE("all digests arrive two seconds after the nodes know of each other, whatever they knew before")
{
    struct start_case
    {
        std::string name;
        int zones;
        int nodesPerZone;
        /** Part of the fleet that a node knows of at first, and rounds until it knows of all. */
        double knownFraction;
        int rounds;
    };
    const std::vector<start_case> cases{
        {"few known, 6 zones of 18", 6, 18, 0.1, 8},
        {"half known, 6 zones of 18", 6, 18, 0.5, 8},
        {"few known for long, 6 zones of 18", 6, 18, 0.1, 40},
        {"few known, 4 zones of 60", 4, 60, 0.05, 12},
        {"few known, 3 zones of 5", 3, 5, 0.2, 8},
    };
    constexpr int MaxRounds{8};
    for (const auto &entry : cases) {
        for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
            CAPTURE(entry.name, seed);
            std::mt19937_64 random{seed};
            exchange_fleet fleet{entry.zones, entry.nodesPerZone};
            for (int count{0}; count < entry.rounds; ++count) {
                fleet.forgetMembers(random, entry.knownFraction);
                fleet.round();
            }
            fleet.partialViews.clear();
            for (int count{0}; count < MaxRounds; ++count) {
                fleet.round();
            }
            CHECK(fleet.hasRecentDigests(4));
        }
    }
}

TEST_CASE("the profiles of a target are kept until it sends others or is replaced")
{
    struct profile_case
    {
        std::string name;
        std::string service;
        std::uint64_t incarnation;
        std::vector<route_profile> profiles;
        std::size_t expected;
    };
    const route_profile profile{.route = 5, .runs = 1.0, .slotTime = 0.1, .calls = {}};
    const std::vector<profile_case> cases{
        {"no profiles", "clips", 7, {}, 1},
        {"other profiles", "clips", 7, {profile, profile}, 2},
        {"other service", "packages", 7, {}, 0},
        {"restarted node", "clips", 8, {}, 0},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        auto state = startDigests({}, "self", "zone");
        const membership_view members;
        auto digest = sampleDigest("peer");
        const auto receive = [&] {
            ++digest.usage.sequence;
            std::size_t position{0};
            const auto payload = encodeDigests({&digest}, position);
            REQUIRE(receiveDigests(state, "peer", members, payload, time_point{seconds{1}}));
        };
        receive();
        CHECK(state.entries.at("peer").profiles.size() == 1);
        digest.profiles = entry.profiles;
        digest.service = entry.service;
        digest.usage.incarnation = entry.incarnation;
        receive();
        CHECK(state.entries.at("peer").profiles.size() == entry.expected);
        CHECK(state.entries.at("peer").digest.profiles == entry.profiles);
    }
}

TEST_CASE("digests are split over datagrams and decode unchanged")
{
    std::vector<node_digest> digests;
    for (int index{0}; index < 40; ++index) {
        digests.push_back(sampleDigest("instance-" + std::to_string(index)));
    }
    std::vector<const node_digest *> pointers(digests.size());
    std::transform(digests.begin(), digests.end(), pointers.begin(), [](const node_digest &digest) {
        return &digest;
    });
    std::vector<node_digest> received;
    std::size_t position{0};
    while (position < pointers.size()) {
        const auto payload = encodeDigests(pointers, position);
        CHECK(payload.size() <= MaxDatagramPayloadBytes);
        const auto part = decodeDigests(payload);
        REQUIRE(part);
        received.insert(received.end(), part->begin(), part->end());
    }
    CHECK(received == digests);
}

TEST_CASE("digest of a busy node is shortened to one datagram and keeps its first usages and a profile")
{
    struct size_case
    {
        std::string name;
        std::size_t profiles;
        std::size_t demands;
        std::size_t usages;
        std::size_t minUsages;
    };
    const std::vector<size_case> cases{
        {"small", 2, 4, 8, 8},
        {"many workspaces", 3, 12, 90, 24},
        {"all lists long", 12, 24, 120, 24},
    };
    constexpr std::uint64_t Large{1ULL << 40U};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        auto digest = sampleDigest("instance-with-a-rather-long-name-17");
        const route_profile profile{
            .route = 0xfffffff0U, .runs = 12345.678, .slotTime = 1.5, .calls = {{0xfffffff1U, 4.0}, {0xfffffff2U, 1.0}}};
        digest.profiles.assign(entry.profiles, profile);
        digest.demands.assign(entry.demands, {0xfffffff0U, 200, 123.456});
        digest.usage.usages.clear();
        for (std::uint32_t index{0}; index < entry.usages; ++index) {
            digest.usage.usages.push_back({0xffff0000U + index, Large, 12.345});
        }
        auto fitted = digest;
        truncateToDatagram(fitted);
        std::size_t position{0};
        CHECK(encodeDigests({&fitted}, position).size() <= MaxDatagramPayloadBytes);
        CHECK(fitted.usage.usages.size() >= entry.minUsages);
        CHECK_FALSE(fitted.profiles.empty());
        CHECK(std::equal(fitted.usage.usages.begin(), fitted.usage.usages.end(), digest.usage.usages.begin()));
        CHECK(fitted.usage.instance == digest.usage.instance);
    }
}

TEST_CASE("corrupted digests are decoded or rejected without a crash")
{
    const auto digest = sampleDigest("a");
    std::size_t position{0};
    const auto payload = encodeDigests({&digest}, position);
    rc::prop("mutated digests", [&payload] {
        auto bytes = payload;
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        static_cast<void>(decodeDigests(bytes));
    });
}
