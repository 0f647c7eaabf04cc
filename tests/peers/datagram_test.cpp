#include "ragwortpin/peers/datagram.h"
#include "ragwortpin/peers/error.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <random>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

constexpr std::size_t SignatureBytes{16};
constexpr microseconds SentAt{seconds{1'800'000'000}};
const datagram_secrets Secrets{"current secret", "previous secret"};

datagram makeDatagram(std::string payload)
{
    return {datagram_kind::Loans, "node-a", "zone-1", SentAt, std::move(payload)};
}

std::string signBody(const std::string &body)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> tag{};
    const auto *bytes = reinterpret_cast<const unsigned char *>(body.data());
    HMAC(EVP_sha256(), Secrets.current.data(), static_cast<int>(Secrets.current.size()), bytes, body.size(), tag.data(), nullptr);
    return body + std::string(reinterpret_cast<const char *>(tag.data()), SignatureBytes);
}

struct refused_case
{
    const char *name;
    datagram_secrets accepted;
    microseconds receivedAt;
    peers_errc error;
};

} // namespace

TEST_CASE("datagram signed with the current or the previous secret is decoded")
{
    rc::prop("open() returns the datagram passed to seal()", [](const std::string &payload, bool rotated) {
        RC_PRE(payload.size() <= MaxDatagramPayloadBytes);
        const auto value = makeDatagram(payload);
        const auto sealed = seal(value, rotated ? Secrets.previous : Secrets.current);
        RC_ASSERT(!sealed.error);
        RC_ASSERT(sealed.bytes.size() <= MaxDatagramBytes);
        const auto opened = open(sealed.bytes, Secrets, SentAt);
        RC_ASSERT(!opened.error);
        RC_ASSERT(opened.value == value);
    });
}

TEST_CASE("datagram with names of maximum length holds a payload of maximum size, and larger ones are refused")
{
    auto value = makeDatagram(std::string(MaxDatagramPayloadBytes, 'x'));
    value.sender = std::string(MaxDatagramNameBytes, 'n');
    value.availabilityZone = std::string(MaxDatagramNameBytes, 'z');
    REQUIRE_FALSE(seal(value, Secrets.current).error);
    value.payload = std::string(MaxDatagramBytes, 'x');
    REQUIRE(seal(value, Secrets.current).error == peers_errc::DatagramTooLarge);
    value.payload.clear();
    value.sender += 'n';
    REQUIRE(seal(value, Secrets.current).error == peers_errc::DatagramTooLarge);
}

TEST_CASE("open() returns the error that names why a datagram is refused")
{
    const std::vector<refused_case> cases{
        {"signed with another secret", {"another", ""}, SentAt, peers_errc::DatagramSignatureInvalid},
        {"empty secrets", {"", ""}, SentAt, peers_errc::DatagramSignatureInvalid},
        {"sent too long ago", Secrets, SentAt + MaxDatagramAge + seconds{1}, peers_errc::DatagramStale},
        {"sent too far in the future", Secrets, SentAt - MaxDatagramAge - seconds{1}, peers_errc::DatagramStale},
    };
    const auto sealed = seal(makeDatagram("payload"), Secrets.current);
    for (const auto &item : cases) {
        CAPTURE(item.name);
        REQUIRE(open(sealed.bytes, item.accepted, item.receivedAt).error == item.error);
    }
    REQUIRE(open("", Secrets, SentAt).error == peers_errc::DatagramTooShort);
    REQUIRE(open(std::string(MaxDatagramBytes + 1, 'x'), Secrets, SentAt).error == peers_errc::DatagramTooLarge);
}

TEST_CASE("datagram with any byte changed is refused")
{
    const auto sealed = seal(makeDatagram("a payload of some length"), Secrets.current);
    for (std::size_t index{0}; index < sealed.bytes.size(); ++index) {
        auto changed = sealed.bytes;
        changed[index] = static_cast<char>(changed[index] ^ 1);
        CAPTURE(index);
        REQUIRE(open(changed, Secrets, SentAt).error == peers_errc::DatagramSignatureInvalid);
    }
}

TEST_CASE("random bytes are refused, with and without a valid signature")
{
    constexpr int Rounds{20'000};
    std::mt19937_64 random{20261204};
    for (int round{0}; round < Rounds; ++round) {
        std::string bytes(random() % 64, '\0');
        for (auto &byte : bytes) {
            byte = static_cast<char>(random());
        }
        REQUIRE(open(bytes, Secrets, SentAt).error);
        REQUIRE(open(signBody(bytes), Secrets, SentAt).error);
    }
}

TEST_CASE("signed envelopes with a few corrupted or missing bytes are decoded or refused within the size limits")
{
    constexpr int Rounds{50'000};
    std::mt19937_64 random{20261204};
    const auto sealed = seal(makeDatagram("a payload of some length"), Secrets.current).bytes;
    const auto body = sealed.substr(0, sealed.size() - SignatureBytes);
    std::size_t refused{0};
    for (int round{0}; round < Rounds; ++round) {
        auto corrupted = body.substr(0, random() % 4 == 0 ? random() % body.size() : body.size());
        for (std::size_t changes{random() % 4}; changes > 0 && !corrupted.empty(); --changes) {
            corrupted[random() % std::min<std::size_t>(corrupted.size(), 24)] = static_cast<char>(random());
        }
        const auto result = open(signBody(corrupted), Secrets, SentAt);
        refused += result.error ? 1 : 0;
        REQUIRE((result.error || result.value.payload.size() <= MaxDatagramBytes));
    }
    REQUIRE(refused > Rounds / 4);
    REQUIRE(refused < Rounds);
}
