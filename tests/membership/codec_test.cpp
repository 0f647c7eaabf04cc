#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/spread/message.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <random>

using namespace ragwortpin;

namespace {

std::string genName()
{
    return *rc::gen::resize(40, rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
}

member_update genUpdate()
{
    member_update update;
    update.status = *rc::gen::element(member_status::Alive, member_status::Suspect, member_status::Dead);
    update.isShort = *rc::gen::arbitrary<bool>();
    update.record.name = genName();
    update.record.incarnation = *rc::gen::arbitrary<std::uint64_t>();
    update.record.state
        = *rc::gen::element(instance_state::Starting, instance_state::Ready, instance_state::Draining, instance_state::Gone);
    if (update.isShort) {
        update.descriptionHash = *rc::gen::arbitrary<std::uint32_t>();
        return update;
    }
    update.record.availabilityZone = genName();
    update.record.service = genName();
    update.record.address = genName();
    update.record.peersPort = *rc::gen::arbitrary<std::uint16_t>();
    update.record.gossipPort = *rc::gen::arbitrary<std::uint16_t>();
    update.record.slots = *rc::gen::arbitrary<std::uint32_t>();
    update.record.connections = *rc::gen::arbitrary<std::uint32_t>();
    update.record.revision = *rc::gen::arbitrary<std::uint64_t>();
    return update;
}

membership_message genMessage()
{
    membership_message message;
    message.kind = static_cast<membership_message_kind>(*rc::gen::inRange(1, 7));
    message.sequence = *rc::gen::arbitrary<std::uint32_t>();
    message.revision = *rc::gen::arbitrary<std::uint64_t>();
    message.tableDigest = *rc::gen::arbitrary<std::uint32_t>();
    message.target = {genName(), *rc::gen::arbitrary<std::uint16_t>()};
    message.requestedReplies = *rc::gen::arbitrary<std::uint8_t>();
    message.memberCount = *rc::gen::arbitrary<std::uint32_t>();
    message.bucketDigests = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
    for (auto count = *rc::gen::inRange(0, 6); count > 0; --count) {
        message.updates.push_back(genUpdate());
    }
    return message;
}

} // namespace

TEST_CASE("encoded membership message decodes unchanged and is within its size bound")
{
    rc::prop("decoding what was encoded yields the same message", []() {
        const auto message = genMessage();
        const auto bytes = encode(message);
        RC_ASSERT(decodeMembershipMessage(bytes) == message);
        auto bound = encodedFrameBound(message);
        for (const auto &update : message.updates) {
            bound += encodedSizeBound(update);
        }
        RC_ASSERT(bytes.size() <= bound);
    });
}

TEST_CASE("encoded spread message decodes unchanged")
{
    rc::prop("decoding what was encoded yields the same message", [](std::uint64_t revision, std::uint16_t port) {
        const spread_message message{revision, port};
        RC_ASSERT(decodeSpreadMessage(encode(message)) == message);
    });
}

TEST_CASE("random and corrupted bytes are decoded or rejected without a crash")
{
    constexpr int Rounds{50'000};
    std::mt19937_64 random{20261204};
    membership_message message;
    message.kind = membership_message_kind::ExchangeReply;
    message.bucketDigests.assign(4, 7);
    message.updates.resize(2);
    message.updates.front().record.name = "node-a";
    message.updates.back().isShort = true;
    const auto valid = encode(message);
    int rejectedCount{0};
    for (int round{0}; round < Rounds; ++round) {
        auto bytes = valid.substr(0, random() % 4 == 0 ? random() % valid.size() : valid.size());
        for (auto changes = random() % 4; changes > 0 && !bytes.empty(); --changes) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        const auto decoded = decodeMembershipMessage(bytes);
        rejectedCount += decoded ? 0 : 1;
        REQUIRE((!decoded || decoded->updates.size() <= 256));
        const auto spread = decodeSpreadMessage(bytes);
        REQUIRE((!spread || bytes.size() <= encode(spread_message{~0ULL, 0xffff}).size()));
    }
    REQUIRE(rejectedCount > Rounds / 4);
    REQUIRE(rejectedCount < Rounds);
}
