#include "ragwortpin/store/error.h"
#include "ragwortpin/store/etcd_codec.h"
#include "standins/support/store_gateway.h"
#include "standins/support/store_model.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace ragwortpin;

namespace {

/** Encodes a call, lets the simulated etcd gateway process it in-process, and decodes the response. */
store_reply roundTrip(standins::store_state &state, const store_request &request)
{
    const auto call = encodeRequest(request);
    const auto kind = standins::parseCallKind(call.path);
    REQUIRE(kind.has_value());
    const auto answer = standins::handleCall(state, *kind, call.body, time_point{});
    return decodeResponse(request, answer.status, answer.body);
}

} // namespace

TEST_CASE("calls have the same effect at the etcd gateway as the client expects")
{
    standins::store_state state;
    const std::string binary{"\0\xff\n\"", 4};
    CHECK(roundTrip(state, store_range{"a", "z", 0}).entries.empty());
    const auto created = roundTrip(state, store_transaction{{{"k1", 0}}, {{"k1", binary, 0}, {"k2", "", 0}}, {}});
    CHECK(created.succeeded);
    CHECK_FALSE(created.error);

    const auto read = roundTrip(state, store_range{"k1", {}, 0});
    REQUIRE(read.entries.size() == 1);
    CHECK(read.succeeded);
    CHECK(read.entries[0] == store_entry{"k1", binary, created.revision});
    CHECK(roundTrip(state, store_range{"k", "l", 0}).entries.size() == 2);
    CHECK(roundTrip(state, store_range{"k", "l", 1}).entries.size() == 1);

    const auto refused = roundTrip(state, store_transaction{{{"k1", 0}}, {{"k1", "x", 0}}, {"k1", "none", "k2"}});
    CHECK_FALSE(refused.succeeded);
    CHECK(refused.revision == created.revision);
    CHECK(refused.entries == std::vector<store_entry>{{"k1", binary, created.revision}, {"k2", "", created.revision}});

    const auto removed = roundTrip(state, store_transaction{{{"k1", created.revision}}, {{"k1", std::nullopt, 0}}, {}});
    CHECK(removed.succeeded);
    CHECK(roundTrip(state, store_range{"k1", {}, 0}).entries.empty());
    CHECK(roundTrip(state, store_transaction{{}, {{"", "x", 0}}, {}}).error == store_errc::Refused);
}

TEST_CASE("the decoder accepts or rejects any mutation of a response without crashing")
{
    const std::string body
        = R"({"header":{"revision":"5"},"succeeded":true,"responses":[{"response_range":{"kvs":[{"key":"YQ==","mod_revision":"4"}]}}]})";
    const std::string jsonCharacters{"{}[]\",:0-=tfn\\"};
    std::mt19937_64 random{20261204};
    int decoded{0};
    for (int round{0}; round < 5000; ++round) {
        auto mutated = body;
        for (int edit{0}; edit < 1 + static_cast<int>(random() % 3); ++edit) {
            mutated[random() % mutated.size()] = jsonCharacters[random() % jsonCharacters.size()];
        }
        const store_request request = (round % 2 == 0) ? store_request{store_range{"a", {}, 0}} : store_request{store_transaction{}};
        const auto reply = decodeResponse(request, 200, mutated);
        CHECK((!reply.error || reply.error == store_errc::MalformedResponse));
        decoded += reply.error ? 0 : 1;
    }
    CHECK(decoded > 0);
    CHECK(decoded < 5000);
    CHECK(decodeResponse(store_range{}, 200, std::string(100'000, '[')).error == store_errc::MalformedResponse);
}
