#include "ragwortpin/identity/context.h"

#include "ragwortpin/identity/digest.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

const std::string OldSecret(32, 'o');
const std::string NewSecret(32, 'n');
constexpr microseconds SignedAt{1'700'000'000'000'000};

request_context sampleContext()
{
    return {.workspace = "large",
            .route = "clips",
            .rank = 2,
            .depth = 3,
            .retryAllowance = 2,
            .admitProbability = 0.25,
            .remaining = milliseconds{750},
            .trace = {std::string(32, 'a'), std::string(16, 'b'), true}};
}

struct verification_case
{
    std::string name;
    std::string audience;
    microseconds verifiedAt;
    signing_keys keys;
    std::error_code expected;
};

} // namespace

TEST_CASE("a signed context is accepted only by its audience, with an accepted secret, within the validity window")
{
    const auto headerValue = signContext(sampleContext(), "clips-a", SignedAt, {{OldSecret}});
    const std::vector<verification_case> cases{
        {"fresh", "clips-a", SignedAt, {{OldSecret}}, {}},
        {"second accepted secret", "clips-a", SignedAt, {{NewSecret, OldSecret}}, {}},
        {"receiver's clock behind, within the validity window", "clips-a", SignedAt - seconds{29}, {{OldSecret}}, {}},
        {"other audience", "clips-b", SignedAt, {{OldSecret}}, identity_errc::WrongAudience},
        {"secret no longer accepted", "clips-a", SignedAt, {{NewSecret}}, identity_errc::WrongSignature},
        {"expired", "clips-a", SignedAt + seconds{31}, {{OldSecret}}, identity_errc::Expired},
        {"signed in the future", "clips-a", SignedAt - seconds{31}, {{OldSecret}}, identity_errc::Expired},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto verified = verifyContext(headerValue, entry.audience, entry.verifiedAt, entry.keys);
        CHECK(verified.error == entry.expected);
        CHECK(verified.context == (entry.expected ? request_context{} : sampleContext()));
    }
}

TEST_CASE("a signed context with any changed byte is rejected")
{
    const auto headerValue = signContext(sampleContext(), "clips-a", SignedAt, {{OldSecret}});
    rc::prop("a context with a changed byte is rejected", [&headerValue] {
        auto bytes = *base64Decode(headerValue);
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[position] = static_cast<char>(bytes[position] ^ *rc::gen::inRange(1, 256));
        RC_ASSERT(verifyContext(base64Encode(bytes), "clips-a", SignedAt, {{OldSecret}}).error);
    });
}

TEST_CASE("arbitrary header values are rejected without a crash")
{
    rc::prop("an arbitrary header value is rejected", [](const std::string &header) {
        RC_ASSERT(verifyContext(header, "clips-a", SignedAt, {{OldSecret}}).error);
    });
    rc::prop("a correctly signed payload that is not a context is malformed", [](const std::string &payload) {
        const auto header = base64Encode(hmacSha256(OldSecret, payload) + payload);
        RC_ASSERT(verifyContext(header, "clips-a", SignedAt, {{OldSecret}}).error == identity_errc::Malformed);
    });
}

TEST_CASE("digests match published test vectors and base64 round-trips")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(toHex(hmacSha256("key", "The quick brown fox jumps over the lazy dog"))
          == "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
    rc::prop("base64 round-trips", [](const std::string &bytes) {
        RC_ASSERT(base64Decode(base64Encode(bytes)) == bytes);
    });
    CHECK_FALSE(base64Decode("a").has_value());
    CHECK_FALSE(base64Decode("****").has_value());
}
