#include "store_codec.h"

#include "ragwortpin/store/error.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::platform;

namespace {

const store_request OneKey{store_range{"op/config", {}, 0}};
const store_request KeyPrefix{store_range{"my/", "my0", 10}};
const store_request Condition{store_transaction{{{"op/config", 12}}, {}, {"op/config"}}};
const store_request Watch{store_watch{"op/", 411, milliseconds{20'000}}};

const std::string Item = R"({"key":"op/config","value":"bm9kZS0x","revision":412,"created_rev":412,"lease":77120,"at":530})";

} // namespace

TEST_CASE("calls are encoded in the protocol of the platform's store")
{
    CHECK(encodeStoreRequest(OneKey) == store_message{http::verb::get, "/-/kv-key?key=op/config", ""});
    CHECK(encodeStoreRequest(store_range{"a b&c", {}, 0}).target == "/-/kv-key?key=a%20b%26c");
    CHECK(encodeStoreRequest(KeyPrefix) == store_message{http::verb::get, "/-/kv-range?path_prefix=my/", ""});
    CHECK(encodeStoreRequest(Watch) == store_message{http::verb::get, "/-/kv-watch?path_prefix=op/&after=411&wait_ms=20000", ""});
    const auto write = encodeStoreRequest(store_transaction{{{"my/a", 0}}, {{"my/a", "node-1", 5}, {"my/b", std::nullopt, 0}}, {}});
    CHECK(write.method == http::verb::post);
    CHECK(write.target == "/-/kv-txn");
    CHECK(write.body
          == R"({"deletes":["my/b"],"precondition":[{"key":"my/a","revision":0}],"writes":[{"key":"my/a","lease":5,"value":"bm9kZS0x"}]})");
}

TEST_CASE("valid responses are decoded, and error statuses and malformed bodies yield an error")
{
    struct response_case
    {
        std::string name;
        store_request request;
        unsigned status;
        std::string body;
        std::error_code error;
        bool succeeded;
        std::int64_t revision;
        std::size_t entries;
    };
    const std::error_code none;
    const std::vector<response_case> cases{
        {"an item", OneKey, 200, Item, none, true, 530, 1},
        {"no item", OneKey, 404, "{}", none, true, 0, 0},
        {"another item", OneKey, 200, R"({"key":"x","value":"","revision":1,"at":2})", store_errc::MalformedResponse, false, 0, 0},
        {"an item without a revision", OneKey, 200, R"({"key":"op/config","value":"","at":2})", store_errc::MalformedResponse, false, 0, 0},
        {"a value that is no base64",
         OneKey,
         200,
         R"({"key":"op/config","value":"?","revision":1,"at":2})",
         store_errc::MalformedResponse,
         false,
         0,
         0},
        {"a list", KeyPrefix, 200, R"({"items":[)" + Item + R"(],"has_more":false,"at":530})", none, true, 530, 1},
        {"a list with foreign entries", KeyPrefix, 200, R"({"items":["x",{"key":7},)" + Item + R"(],"at":530})", none, true, 530, 1},
        {"no list", KeyPrefix, 200, R"({"at":530})", store_errc::MalformedResponse, false, 0, 0},
        {"a condition that holds", Condition, 200, R"({"revision":600})", none, true, 600, 0},
        {"a condition that fails", Condition, 412, R"({"items":[)" + Item + "]}", none, false, 0, 1},
        {"a change without a revision", Condition, 200, "{}", store_errc::MalformedResponse, false, 0, 0},
        {"no such lease", Condition, 404, "{}", store_errc::Refused, false, 0, 0},
        {"a watch that observed a change", Watch, 200, R"({"events":[{"key":"op/config"}],"at":413})", none, true, 413, 0},
        {"a watch without a change", Watch, 200, R"({"events":[],"at":413})", none, false, 413, 0},
        {"history compacted", Watch, 410, "{}", store_errc::HistoryCompacted, false, 0, 0},
        {"too many calls", OneKey, 429, "{}", store_errc::Unavailable, false, 0, 0},
        {"unavailable", Condition, 503, "", store_errc::Unavailable, false, 0, 0},
        {"forbidden", Condition, 403, "{}", store_errc::Refused, false, 0, 0},
        {"not JSON", OneKey, 200, "<html>", store_errc::MalformedResponse, false, 0, 0},
        {"empty", KeyPrefix, 200, "", store_errc::MalformedResponse, false, 0, 0},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto reply = decodeStoreResponse(entry.request, entry.status, entry.body);
        CHECK(reply.error == entry.error);
        CHECK(reply.succeeded == entry.succeeded);
        CHECK(reply.revision == entry.revision);
        CHECK(reply.entries.size() == entry.entries);
    }
}

TEST_CASE("a truncated or corrupted response is decoded or rejected without a crash")
{
    rc::prop("mutated answers", [] {
        auto body = Item;
        const auto position = *rc::gen::inRange<std::size_t>(0, body.size());
        body[position] = *rc::gen::arbitrary<char>();
        body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
        const auto reply = decodeStoreResponse(OneKey, 200, body);
        const bool failed{static_cast<bool>(reply.error)};
        RC_ASSERT(reply.entries.size() == (failed ? 0U : 1U));
    });
}
