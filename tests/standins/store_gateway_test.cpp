#include "standins/support/json.h"
#include "standins/support/store_faults.h"
#include "standins/support/store_gateway.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace ragwortpin;
using namespace ragwortpin::standins;

namespace {

Json::Value call(store_state &state, store_call_kind kind, const std::string &body, unsigned status = 200)
{
    CAPTURE(body);
    const auto answer = handleCall(state, kind, body, time_point{});
    CHECK(answer.status == status);
    return parseObject(answer.body).value();
}

std::string createBody(const std::string &key, const std::string &value)
{
    const auto name = encodeBase64(key);
    return R"({"compare":[{"key":")" + name + R"(","target":"CREATE","result":"EQUAL","create_revision":"0"}],)"
        + R"("success":[{"request_put":{"key":")" + name + R"(","value":")" + encodeBase64(value) + R"("}}],)"
        + R"("failure":[{"requestRange":{"key":")" + name + R"("}}]})";
}

} // namespace

TEST_CASE("repeating a conditional creation after a lost response returns the value of the first attempt")
{
    store_state state;
    const auto body = createBody("claim/a", "attempt 1");
    CHECK(call(state, store_call_kind::Transaction, body)["succeeded"].asBool());
    const auto again = call(state, store_call_kind::Transaction, body);
    CHECK_FALSE(again.isMember("succeeded"));
    const auto &entry = again["responses"][0]["response_range"]["kvs"][0];
    CHECK(decodeBase64(entry["value"].asString()) == "attempt 1");
    CHECK(entry["mod_revision"].asString() == "2");
    CHECK(state.revision == 2);
}

TEST_CASE("64-bit integers are accepted as JSON numbers and strings")
{
    store_state state;
    for (const auto *ttl : {R"({"TTL":5})", R"({"TTL":"5"})"}) {
        CHECK(call(state, store_call_kind::LeaseGrant, ttl)["TTL"].asString() == "5");
    }
    CHECK(call(state, store_call_kind::LeaseKeepAlive, R"({"ID":"2"})")["result"]["TTL"].asString() == "5");
    CHECK_FALSE(call(state, store_call_kind::LeaseKeepAlive, R"({"ID":9})")["result"].isMember("TTL"));
}

TEST_CASE("a malformed call leaves the state unchanged and its error message includes a remedy")
{
    store_state state;
    const auto before = state;
    struct malformed_case
    {
        store_call_kind kind;
        std::string body;
    };
    const std::vector<malformed_case> cases{
        {store_call_kind::Put, ""},
        {store_call_kind::Put, "[]"},
        {store_call_kind::Put, R"({"key":"!"})"},
        {store_call_kind::Put, R"({"key":""})"},
        {store_call_kind::Put, R"({"key":"YQ==","lease":"5"})"},
        {store_call_kind::Put, R"({"key":"YQ==","value":")" + encodeBase64(std::string(MaxValueBytes + 1, 'x')) + "\"}"},
        {store_call_kind::Transaction, R"({"success":[{"request_txn":{}}]})"},
        {store_call_kind::Transaction, R"({"compare":[{"key":"YQ==","target":"VALUE"}]})"},
        {store_call_kind::Transaction, R"({"compare":[{"key":"YQ==","target":"MOD","mod_revision":"1x"}]})"},
        {store_call_kind::Transaction, R"({"compare":[{"key":"YQ==","target":7}],"success":[{"request_put":{"key":"YQ=="}}]})"},
        {store_call_kind::Transaction, R"({"compare":[7],"success":[{"request_put":{"key":"YQ=="}}]})"},
        {store_call_kind::LeaseGrant, R"({"TTL":0})"},
        {store_call_kind::LeaseRevoke, R"({"ID":1})"},
    };
    for (const auto &row : cases) {
        CHECK(call(state, row.kind, row.body, 400)["message"].asString().find("; ") != std::string::npos);
        CHECK(state == before);
    }
}

TEST_CASE("a watch reports changes in its range from its start revision on")
{
    store_state state;
    call(state, store_call_kind::Transaction, createBody("a", "1"));
    call(state, store_call_kind::Transaction, createBody("b", "2"));
    call(state, store_call_kind::DeleteRange, R"({"key":")" + encodeBase64("a") + "\"}");
    const auto request = parseWatch(R"({"create_request":{"key":")" + encodeBase64("a") + R"(","start_revision":"2"}})").value();
    const auto all = parseObject(makeWatchEventsLine(state, request.range, request.startRevision)).value();
    REQUIRE(all["result"]["events"].size() == 2);
    CHECK(all["result"]["events"][1]["type"].asString() == "DELETE");
    CHECK(makeWatchEventsLine(state, request.range, state.revision + 1).empty());
    CHECK_FALSE(parseWatch("{}").has_value());
}

TEST_CASE("base64 encoding and decoding")
{
    rc::prop("decoding returns the bytes that were encoded", [](const std::string &bytes) {
        RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
    });
    for (const auto *text : {"YQ=", "=", "Y!==", "YQ==YQ"}) {
        CAPTURE(text);
        CHECK_FALSE(decodeBase64(text).has_value());
    }
}

TEST_CASE("a fault update keeps the faults that it does not name")
{
    const store_faults present{store_outage::Hang, milliseconds{5}, 2};
    struct update_case
    {
        std::string body;
        std::optional<store_fault_update> expected;
    };
    const std::vector<update_case> cases{
        {R"({"outage":"none"})", store_fault_update{{store_outage::None, milliseconds{5}, 2}, false}},
        {R"({"delay_ms":9,"expire_leases":true})", store_fault_update{{store_outage::Hang, milliseconds{9}, 2}, true}},
        {R"({"lose_next_answers":1})", store_fault_update{{store_outage::Hang, milliseconds{5}, 1}, false}},
        {R"({"outage":"bad"})", std::nullopt},
        {R"({"delay":1})", std::nullopt},
        {"text", std::nullopt}};
    for (const auto &row : cases) {
        CAPTURE(row.body);
        CHECK(parseStoreFaults(present, row.body) == row.expected);
    }
}
