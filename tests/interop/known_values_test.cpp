#include "ragwortpin/config/serialise.h"
#include "ragwortpin/digest/digest.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/identity/digest.h"
#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/membership/table.h"
#include "ragwortpin/overload/call_graph.h"
#include "ragwortpin/peers/datagram.h"
#include "ragwortpin/rates/shared_rates.h"
#include "ragwortpin/rights/apportion.h"
#include "ragwortpin/rights/messages.h"
#include "ragwortpin/spread/message.h"
#include "ragwortpin/spread/proof.h"

#include <catch2/catch.hpp>

#include <bit>
#include <functional>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr microseconds WallClock{seconds{1'800'000'000}};
/** Has bytes above 0x7f, whose value as a char differs between processors. */
const std::string Name{"h\xc3\xb6henzug \xf0\x9f\x9a\xa0 7"};

struct known_value
{
    std::string name;
    std::function<std::string()> compute;
    std::string expected;
};

std::string bitsOf(double value)
{
    return std::to_string(std::bit_cast<std::uint64_t>(value));
}

std::string digestOf(const std::string &bytes)
{
    return std::to_string(bytes.size()) + ' ' + sha256Hex(bytes);
}

std::vector<availability_zone> makeZones()
{
    return {{"kolkata-a", "region", 0.1}, {Name, "region", 0.2}, {"kolkata-c", "region", 0.7}};
}

instance_record makeRecord()
{
    return {.name = "clips-\xc3\xa9",
            .availabilityZone = Name,
            .service = "clips",
            .address = "10.1.2.3",
            .peersPort = 65'535,
            .gossipPort = 7015,
            .state = instance_state::Ready,
            .slots = 4'294'967'295U,
            .connections = 129,
            .revision = 1ULL << 63U,
            .incarnation = 0xfedc'ba98'7654'3210ULL};
}

std::string encodeMembership()
{
    membership_message message;
    message.kind = membership_message_kind::ExchangeReply;
    message.sequence = 200;
    message.revision = 70'000;
    message.tableDigest = 0xdead'beefU;
    message.updates = {{member_status::Suspect, makeRecord(), false, 0}};
    return encode(message);
}

std::string encodeDigest()
{
    node_digest digest;
    digest.availabilityZone = Name;
    digest.service = "clips";
    digest.limit = 128;
    digest.running = 127;
    digest.queued = 300;
    digest.usage = {"clips-1", 0xfedc'ba98'7654'3210ULL, 9, {{workspaceId(Name), 1ULL << 40U, 0.1}}, true};
    std::size_t position{0};
    return encodeDigests({&digest}, position);
}

std::string encodeLoan()
{
    return encodeRightsMessage({Name, 1ULL << 63U, loan_grant{time_point{seconds{5}}, 7, {{"workspace-1", 3, true, 33.3 / 7, 200, 0.1}}}});
}

request_context makeContext()
{
    return {.workspace = Name,
            .route = "clips",
            .service = "clips",
            .callerService = "front",
            .rank = 200,
            .depth = 3,
            .retryAllowance = 70'000,
            .admitProbability = 0.1,
            .remaining = milliseconds{1234},
            .trace = {"0123456789abcdef0123456789abcdef", "0123456789abcdef", true}};
}

std::string joinSeats()
{
    std::string text;
    for (const auto seats : apportion(1001, {0.1, 0.2, 0.7, 0.1, 0.3 / 7})) {
        text += std::to_string(seats) + ' ';
    }
    return text;
}

std::string describeSlotShare()
{
    const auto share = slotShare({Name, 33.3, 1001.5, 1.0}, makeZones(), Name, 7, 3);
    return bitsOf(share.rate) + ' ' + std::to_string(share.cap);
}

std::string encodeConfigurationOfZones()
{
    configuration value;
    value.revision = 7;
    value.availabilityZones = makeZones();
    value.workspaces = {{Name, 33.3, 1001.5, 1.0}};
    return encodeConfiguration(value);
}

std::vector<known_value> knownValues()
{
    return {
        {"id of a workspace",
         [] {
             return std::to_string(workspaceId(Name));
         },
         "3577203629"},
        {"id of a route",
         [] {
             return std::to_string(routeId(Name));
         },
         "3577203629"},
        {"hash of an instance's description",
         [] {
             return std::to_string(descriptionHash(makeRecord()));
         },
         "2718832227"},
        {"bucket of a member",
         [] {
             return std::to_string(internal::bucketOf(Name));
         },
         "1"},
        {"digest of the shares of zones",
         [] {
             return std::to_string(digestShares(makeZones(), 7));
         },
         "12712827461606905876"},
        {"apportioned seats", joinSeats, "88 175 612 88 38 "},
        {"share of a rate slot", describeSlotShare, "4606744926264787131 29"},
        {"pool of a workspace",
         [] {
             return std::string{choosePool(Name, {"clips-1", "clips-2", Name, "clips-3"})};
         },
         "clips-3"},
        {"membership message",
         [] {
             return digestOf(encodeMembership());
         },
         "94 1c2a4fa29ca7b42a00247a9cfe31138429d0b127096e056a26a0663a9ca1db66"},
        {"spread message",
         [] {
             return toHex(encode(spread_message{70'000, 65'535}));
         },
         "92ce00011170cdffff"},
        {"digest",
         [] {
             return digestOf(encodeDigest());
         },
         "71 de010ee1106469550789a957e9e9f7ec65ba9bdb5c6c1c1098890c736f27284d"},
        {"loan",
         [] {
             return digestOf(encodeLoan());
         },
         "71 9f29590985acff359e03f19d1ec2872f94af420522cc5d29ab91e7b987f1881f"},
        {"signed datagram",
         [] {
             return digestOf(seal({datagram_kind::Loans, "clips-1", Name, WallClock, encodeLoan()}, "secret").bytes);
         },
         "122 6de3a6d432a67900f99b1a607f08319de2917b234e3469e606b879d57204834d"},
        {"signed context",
         [] {
             return digestOf(signContext(makeContext(), Name, WallClock, {{"secret"}}));
         },
         "224 5903e015e59d3851bb7f1c7c9eb172e76087d4b2af6db9c9fb49b76575e1b2b0"},
        {"configuration",
         [] {
             return digestOf(encodeConfigurationOfZones());
         },
         "136 9566a09f4e60a6afc159e92afc6ec22637c540a941a7aa14a9715a0ece3fa2ec"},
    };
}

} // namespace

TEST_CASE("nodes on x86-64 and on arm64 send the same bytes and derive the same ids and shares")
{
    for (const auto &[name, compute, expected] : knownValues()) {
        INFO(name);
        CHECK(compute() == expected);
    }
}
