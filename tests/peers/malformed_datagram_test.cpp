#include "ragwortpin/claims/record.h"
#include "ragwortpin/config/publication_record.h"
#include "ragwortpin/config/serialise.h"
#include "ragwortpin/digest/digest.h"
#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/peers/control_server.h"
#include "ragwortpin/peers/datagram.h"
#include "ragwortpin/rates/headroom_loan.h"
#include "ragwortpin/rights/messages.h"
#include "ragwortpin/rights/slots.h"
#include "ragwortpin/spread/message.h"
#include "ragwortpin/spread/proof.h"

#include <catch2/catch.hpp>
#include <msgpack.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <random>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr unsigned MessagesPerDecoder{20'000};
constexpr unsigned MaxDepth{5};
constexpr std::uint64_t Seed{20261204};

/** Packs a random tree of values, with the array sizes and small numbers that real messages have more often than others. */
void packRandom(msgpack::packer<msgpack::sbuffer> &out, std::mt19937_64 &random, unsigned depth)
{
    constexpr unsigned Kinds{9};
    constexpr std::uint32_t MaxItems{13};
    switch (depth == 0 ? 0 : random() % Kinds) {
    case 0:
    case 1: {
        const auto items = static_cast<std::uint32_t>(random() % MaxItems);
        out.pack_array(items);
        for (std::uint32_t item{0}; item < items && depth < MaxDepth; ++item) {
            packRandom(out, random, depth + 1);
        }
        break;
    }
    case 2:
        out.pack(random());
        break;
    case 3:
        out.pack(static_cast<std::int64_t>(random()));
        break;
    case 4:
        out.pack(std::uint8_t(random() % 8));
        break;
    case 5:
        out.pack(std::string(random() % 80, 'a'));
        break;
    case 6:
        out.pack(std::numeric_limits<double>::quiet_NaN());
        break;
    case 7:
        out.pack_nil();
        break;
    default:
        out.pack_bin(4);
        out.pack_bin_body("\xff\x00\x80\x7f", 4);
        break;
    }
}

std::string randomMessage(std::mt19937_64 &random)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out{buffer};
    packRandom(out, random, 0);
    std::string bytes{buffer.data(), buffer.size()};
    constexpr unsigned TruncationPeriod{8};
    if (random() % TruncationPeriod == 0) {
        bytes.resize(random() % (bytes.size() + 1));
    }
    return bytes;
}

} // namespace

TEST_CASE("a malformed message of a peer or of the store is refused or decoded, and never ends the process")
{
    struct decoder_case
    {
        std::string name;
        std::function<void(const std::string &)> decode;
    };
    const datagram_secrets secrets{"secret", ""};
    const std::vector<decoder_case> cases{
        {"datagram",
         [&](const std::string &bytes) {
             static_cast<void>(open(bytes, secrets, microseconds{0}));
         }},
        {"digests",
         [](const std::string &bytes) {
             static_cast<void>(decodeDigests(bytes));
         }},
        {"membership message",
         [](const std::string &bytes) {
             static_cast<void>(decodeMembershipMessage(bytes));
         }},
        {"spread message",
         [](const std::string &bytes) {
             static_cast<void>(decodeSpreadMessage(bytes));
         }},
        {"proof message",
         [](const std::string &bytes) {
             static_cast<void>(decodeProofMessage(bytes));
         }},
        {"headroom message",
         [](const std::string &bytes) {
             static_cast<void>(decodeHeadroomMessage(bytes));
         }},
        {"rights message",
         [](const std::string &bytes) {
             std::error_code error;
             static_cast<void>(decodeRightsMessage(bytes, error));
         }},
        {"slot record",
         [](const std::string &bytes) {
             std::error_code error;
             static_cast<void>(decodeSlotRecord(bytes, error));
             static_cast<void>(parseSlotKey(bytes, error));
         }},
        {"claim record",
         [](const std::string &bytes) {
             std::error_code error;
             static_cast<void>(decodeClaimRecord(bytes, error));
         }},
        {"configuration",
         [](const std::string &bytes) {
             std::error_code error;
             static_cast<void>(decodeConfiguration(bytes, error));
             static_cast<void>(decodeChange(bytes, error));
         }},
        {"publication records",
         [](const std::string &bytes) {
             std::error_code error;
             static_cast<void>(decodeHead(bytes, error));
             static_cast<void>(decodeHistory(bytes, error));
         }},
        {"control call",
         [&](const std::string &bytes) {
             static_cast<void>(answerControlCall(control_methods{}, secrets, bytes, "0123"));
         }},
    };
    for (const auto &entry : cases) {
        std::mt19937_64 random{Seed};
        for (unsigned count{0}; count < MessagesPerDecoder; ++count) {
            const auto bytes = randomMessage(random);
            CAPTURE(entry.name, count);
            REQUIRE_NOTHROW(entry.decode(bytes));
        }
    }
}
