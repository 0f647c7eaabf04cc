#include "configuration_codec.h"
#include "json_mutation.h"
#include "platform_request.h"
#include "store_codec.h"

#include "ragwortpin/config/lookup.h"
#include "ragwortpin/config/serialise.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::platform;
using namespace ragwortpin::test;

namespace {

constexpr unsigned MutationsPerInput{4000};
constexpr std::uint64_t Seed{20261204};

const std::string Configuration{R"({"version":7,"base_version":5,"resource_list":[
{"resource_kind":"routes","metadata":{"name":"r-read"},"spec":{"host":"a.example","path_prefix":"/read/","kind":"idempotent","timeout":"1200ms","target_latency":"2s","priority":2,"traffic_split":[{"service":"one","weight":90},{"service":"two","weight":10}],"max_attempts":3,"public":false}},
{"resource_kind":"routes","metadata":{"name":"r-buy"},"spec":{"host":"b.example","path_prefix":"/buy/","kind":"non_idempotent","timeout":"1500ms","target_latency":"2000ms","priority":0,"service":"one","max_attempts":2,"public":true}},
{"resource_kind":"services","metadata":{"name":"one"},"spec":{"health_path":"/health","max_conns":532}},
{"resource_kind":"services","metadata":{"name":"two"},"spec":{"health_path":"/health","max_conns":322}},
{"resource_kind":"tenants","metadata":{"name":"large"},"spec":{"api_keys":["first-secret","second-secret"],"priority":1,"rate_per_s":93,"burst":50}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}]})"};
const std::string Heartbeat{
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"east","version":"v1","slots":72,"state":"ready","cold_left":"0ms","sequence":4,"born":1700000000000})"};
const std::string Item{R"({"key":"op/config","value":"bm9kZS0x","revision":412,"created_rev":412,"lease":77120,"at":530})"};
const std::string Items{
    R"({"items":[{"key":"my/a","value":"bm9kZS0x","revision":412,"created_rev":412,"lease":0}],"has_more":false,"at":530,"revision":531})"};
const std::string Events{
    R"({"events":[{"key":"op/config","value":"bm9kZS0x","revision":412},{"key":"op/x","revision":413,"tombstone":true}],"at":530})"};

/** Returns the answer to a request that carries the body, from a node whose services accept everything. */
http_response answerAnnouncement(const std::string &body)
{
    admin_callbacks services;
    services.announce = [](const target_announcement &) {
        return std::error_code{};
    };
    http_request request{http::verb::post, "/-/Instances.Heartbeat/i-1", 11};
    request.body() = body;
    services.confirmDepartures = []() -> boost::asio::awaitable<std::error_code> {
        co_return std::error_code{};
    };
    return answerPlatformRequest(request, services);
}

} // namespace

TEST_CASE("a malformed message of the platform is refused or decoded, and never ends the process")
{
    struct input_case
    {
        std::string name;
        std::string valid;
        std::function<void(const std::string &)> decode;
    };
    const std::vector<input_case> cases{
        {"configuration",
         Configuration,
         [](const std::string &text) {
             const auto decoded = decodeConfiguration(text, {"east", "west"});
             CHECK((decoded.value.has_value() != !decoded.problem.empty()));
             if (decoded.value) {
                 static_cast<void>(buildIndex(*decoded.value));
                 static_cast<void>(encodeConfiguration(*decoded.value));
             }
         }},
        {"heartbeat",
         Heartbeat,
         [](const std::string &text) {
             const auto status = answerAnnouncement(text).result_int();
             CHECK((status == 200 || status == 400));
         }},
        {"item",
         Item,
         [](const std::string &text) {
             static_cast<void>(decodeStoreResponse(store_range{"op/config", {}, 0}, 200, text));
         }},
        {"range",
         Items,
         [](const std::string &text) {
             static_cast<void>(decodeStoreResponse(store_range{"my/", "my0", 10}, 200, text));
         }},
        {"transaction",
         Items,
         [](const std::string &text) {
             const store_transaction condition{{{"op/config", 12}}, {}, {"op/config"}};
             static_cast<void>(decodeStoreResponse(condition, 200, text));
             static_cast<void>(decodeStoreResponse(condition, 412, text));
         }},
        {"watch",
         Events,
         [](const std::string &text) {
             static_cast<void>(decodeStoreResponse(store_watch{"op/", 411, milliseconds{20'000}}, 200, text));
         }},
    };
    for (const auto &entry : cases) {
        std::mt19937_64 random{Seed};
        for (unsigned count{0}; count < MutationsPerInput; ++count) {
            const auto text = mutatedJson(entry.valid, random);
            CAPTURE(entry.name, count, text);
            CHECK_NOTHROW(entry.decode(text));
        }
    }
}
