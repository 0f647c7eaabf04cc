#include "cluster.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <catch2/catch.hpp>

#include <json/json.h>

#include <csignal>
#include <future>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

constexpr const char *ApiKey{"example-key-generous"};
constexpr std::uint16_t ClipsA{7100};
constexpr std::uint16_t ClipsB{7110};
constexpr std::uint16_t Packages{7120};

const std::string ConfigurationYaml{R"(availability_zones:
  - {name: zone-a, region: bengal, share: 0.5}
  - {name: zone-b, region: bengal, share: 0.5}
importances:
  - {name: purchase, rank: 0}
  - {name: browsing, rank: 1}
workspaces:
  - {name: generous, rate: 10000, burst: 10000}
  - {name: tiny, rate: 1, burst: 2}
services:
  - {name: clips}
  - {name: packages}
routes:
  - {name: clips, method: GET, path: /clips, service: clips, importance: browsing, retryable: true, deadline_ms: 20000}
  - {name: preview, method: GET, path: /preview, service: clips, importance: browsing, open: true, deadline_ms: 20000}
  - {name: buy, method: POST, path: /packages, service: packages, importance: purchase, once: true, deadline_ms: 20000}
)"};

const std::string KeysYaml{R"(keys:
  - {name: generous-1, workspace: generous, sha256: 150c9e45d1ff1e72b4e82d1413d189dea4ced66ff84f93e74b29cf6a4843172b}
)"};

instance_spec clipsInstance(const std::string &name, const std::string &zone, std::uint16_t port, const std::string &serviceTime = "5")
{
    return {name, zone, "clips", port, {"--service-time-ms", serviceTime, "--service-time-law", "fixed"}};
}

instance_spec packagesInstance()
{
    return {"packages-a",
            "zone-a",
            "packages",
            Packages,
            {"--service-time-ms", "5", "--service-time-law", "fixed", "--downstream", "GET:/clips"}};
}

std::vector<header_field> withKey(std::vector<header_field> headers = {})
{
    headers.push_back({"Authorization", std::string{"Bearer "} + ApiKey});
    return headers;
}

/** Sends GET /clips on a separate thread and connection. */
std::future<test_response> requestInBackground(const cluster &fleet, std::uint16_t port)
{
    return std::async(std::launch::async, [address = fleet.address(), port] {
        boost::asio::io_context context{1};
        http_client_pool pool{context, {}};
        test_response answer;
        http_request message{http::verb::get, "/clips", 11};
        message.set(http::field::host, "a");
        message.set("X-Api-Key", ApiKey);
        boost::asio::co_spawn(context,
                              pool.exchange({address, port}, message, monotonicNow() + seconds{30}, std::make_shared<call_control>()),
                              [&answer](const std::exception_ptr &, const exchange_result &result) {
                                  answer.status = result.response ? result.response->result_int() : 0;
                              });
        context.run();
        return answer;
    });
}

void startStoreAndClips(cluster &fleet, const std::string &serviceTime = "5")
{
    fleet.startStore();
    const auto file = fleet.writeFile("configuration.yaml", ConfigurationYaml + KeysYaml);
    REQUIRE(fleet.runControlTool({"publish", file, "--store", fleet.addressOf(cluster::StorePort), "--base", "head"}) == 0);
    fleet.startInstance(clipsInstance("clips-a", "zone-a", ClipsA, serviceTime));
    fleet.startInstance(clipsInstance("clips-b", "zone-b", ClipsB, serviceTime));
}

/** Waits until requests for the path succeed at a node, that is, it has a target to forward to and rights for the workspace. */
void waitUntilServing(cluster &fleet, std::uint16_t port, const std::string &path)
{
    fleet.waitUntil("node " + std::to_string(port) + " serves " + path, [&] {
        return fleet.request(http::verb::get, port, path, withKey()).status == 200;
    });
}

Json::Value readJson(cluster &fleet, std::uint16_t port, const std::string &path)
{
    std::istringstream text{fleet.request(http::verb::get, port, path, {}).body};
    Json::Value value;
    text >> value;
    return value;
}

struct refusal_case
{
    std::string name;
    http::verb method;
    std::string path;
    std::vector<header_field> headers;
    unsigned status;
    std::string refusal;
};

} // namespace

TEST_CASE("requests are served end to end and refused requests are not run")
{
    cluster fleet{"127.0.20.1"};
    startStoreAndClips(fleet);
    fleet.startInstance(packagesInstance());
    waitUntilServing(fleet, ClipsA, "/clips");
    waitUntilServing(fleet, Packages, "/clips");

    const std::vector<refusal_case> cases{
        {"no key", http::verb::get, "/clips", {}, 401, "key_missing"},
        {"wrong key", http::verb::get, "/clips", {{"X-Api-Key", "nonsense-key"}}, 401, "key_unknown"},
        {"unknown route", http::verb::get, "/nothing", withKey(), 404, "unknown_route"},
        {"path with dot segments", http::verb::get, "/preview/../clips", withKey(), 404, "unknown_route"},
        {"key in the query", http::verb::get, std::string{"/clips?k="} + ApiKey, withKey(), 400, "malformed_request"},
        {"once route without idempotency key", http::verb::post, "/packages", withKey(), 400, "idempotency_key_missing"},
        {"forged context header", http::verb::get, "/clips", {{"Ragwortpin-Context", "Zm9yZ2Vk"}}, 401, "key_missing"},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto answer = fleet.request(entry.method, ClipsA, entry.path, entry.headers);
        CHECK(answer.status == entry.status);
        CHECK(answer.refusal == entry.refusal);
        CHECK(answer.outcome == "not_run");
    }
    CHECK(fleet.request(http::verb::get, ClipsB, "/preview", {}).status == 200);
    CHECK(fleet.request(http::verb::get, ClipsA + PeersOffset, "/clips", withKey()).refusal == "context_invalid");
    CHECK(fleet.request(http::verb::get, ClipsA + EgressOffset, "/clips", {{"Ragwortpin-Request", "guess"}}).refusal == "key_missing");

    fleet.waitUntil("the node clips-a has discovered an instance of packages and a purchase succeeds", [&] {
        return fleet.request(http::verb::post, ClipsA, "/packages", withKey({{"Idempotency-Key", "order-0"}})).status == 200;
    });
    const auto purchased
        = fleet.request(http::verb::post, ClipsA, "/packages", withKey({{"Idempotency-Key", "order-1"}, {"X-Test-Id", "order-1"}}));
    INFO(purchased.refusal);
    CHECK(purchased.status == 200);
    const auto repeated
        = fleet.request(http::verb::post, ClipsB, "/packages", withKey({{"Idempotency-Key", "order-1"}, {"X-Test-Id", "order-1"}}));
    CHECK(repeated.outcome == "ran");
    CHECK(readJson(fleet, Packages + TargetOffset, "/standin/runs").toStyledString().find("\"order-1\" : 1") != std::string::npos);
    for (const auto port : {ClipsA, ClipsB, Packages}) {
        CHECK(readJson(fleet, port + TargetOffset, "/standin/stats")["keys_seen"].asUInt() == 0);
    }
}

TEST_CASE("a withdrawn key is refused on a connection that is already open")
{
    cluster fleet{"127.0.20.2"};
    startStoreAndClips(fleet);
    waitUntilServing(fleet, ClipsA, "/clips");

    boost::asio::io_context context{1};
    boost::asio::ip::tcp::socket socket{context};
    socket.connect({boost::asio::ip::make_address(fleet.address()), ClipsA});
    const std::string request{std::string{"GET /clips HTTP/1.1\r\nHost: a\r\nX-Api-Key: "} + ApiKey + "\r\n\r\n"};
    boost::beast::flat_buffer buffer;
    const auto statusOnConnection = [&] {
        boost::asio::write(socket, boost::asio::buffer(request));
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        return response.result_int();
    };
    CHECK(statusOnConnection() == 200);

    const auto file = fleet.writeFile("withdrawn.yaml", ConfigurationYaml);
    REQUIRE(fleet.runControlTool({"publish", file, "--store", fleet.addressOf(cluster::StorePort), "--base", "head"}) == 0);
    fleet.waitUntil("the key is refused on the open connection", [&] {
        return statusOnConnection() == 401;
    });
    for (int repeat{0}; repeat < 20; ++repeat) {
        CHECK(statusOnConnection() == 401);
    }
}

TEST_CASE("a request that arrives during a graceful shutdown is refused as not run")
{
    cluster fleet{"127.0.20.9"};
    startStoreAndClips(fleet, "6000");
    waitUntilServing(fleet, ClipsB, "/clips");
    auto early = requestInBackground(fleet, ClipsB);
    fleet.waitUntil("the request is in flight", [&] {
        return readJson(fleet, ClipsB + TargetOffset, "/standin/stats")["in_flight"].asUInt() > 0;
    });
    fleet.sendSignal("node-clips-b", SIGTERM);
    // Twice the announcement time of 500 ms, so that new requests are refused, and far less than the 6 s of the request in flight.
    std::this_thread::sleep_for(seconds{1});
    const auto late = fleet.request(http::verb::get, ClipsB, "/clips", withKey());
    CHECK(late.status == 503);
    CHECK(late.outcome == "not_run");
    CHECK(late.refusal == "draining");
    CHECK(early.get().status == 200);
    CHECK(fleet.waitForExit("node-clips-b") == 0);
}

TEST_CASE("a graceful shutdown completes the requests in flight")
{
    cluster fleet{"127.0.20.3"};
    startStoreAndClips(fleet, "1500");
    waitUntilServing(fleet, ClipsB, "/clips");

    std::vector<std::future<test_response>> answers;
    for (int count{0}; count < 6; ++count) {
        answers.push_back(requestInBackground(fleet, ClipsB));
    }
    fleet.waitUntil("the requests are in flight", [&] {
        return readJson(fleet, ClipsB + TargetOffset, "/standin/stats")["in_flight"].asUInt() > 0;
    });
    fleet.sendSignal("node-clips-b", SIGTERM);
    for (auto &answer : answers) {
        CHECK(answer.get().status == 200);
    }
    CHECK(fleet.waitForExit("node-clips-b") == 0);
}

TEST_CASE("a draining target receives no new requests and the other targets serve them")
{
    cluster fleet{"127.0.20.4"};
    startStoreAndClips(fleet);
    waitUntilServing(fleet, ClipsA, "/clips");
    REQUIRE(fleet.request(http::verb::post, ClipsB + AdminOffset, "/target/drain", {}).status == 204);
    fleet.waitUntil("the node of the target reports the drain", [&] {
        return readJson(fleet, ClipsB + AdminOffset, "/status")["state"].asString() == "draining";
    });
    const auto runsBefore = readJson(fleet, ClipsB + TargetOffset, "/standin/stats")["runs"].asUInt();
    for (int count{0}; count < 50; ++count) {
        CHECK(fleet.request(http::verb::get, count % 2 == 0 ? ClipsA : ClipsB, "/clips", withKey()).status == 200);
    }
    CHECK(readJson(fleet, ClipsB + TargetOffset, "/standin/stats")["runs"].asUInt() == runsBefore);
}

TEST_CASE("during an outage of the store ordinary routes are served and once routes are refused as not run")
{
    cluster fleet{"127.0.20.5"};
    startStoreAndClips(fleet);
    fleet.startInstance(packagesInstance());
    waitUntilServing(fleet, ClipsA, "/clips");
    waitUntilServing(fleet, Packages, "/clips");
    fleet.setFaults(cluster::StorePort, R"({"outage":"refuse"})");
    for (int count{0}; count < 20; ++count) {
        CHECK(fleet.request(http::verb::get, ClipsA, "/clips", withKey()).status == 200);
    }
    const auto refused
        = fleet.request(http::verb::post, ClipsA, "/packages", withKey({{"Idempotency-Key", "order-2"}, {"X-Test-Id", "order-2"}}));
    CHECK(refused.refusal == "store_unavailable");
    CHECK(refused.outcome == "not_run");
    CHECK_FALSE(refused.retryAfter.empty());
    CHECK(readJson(fleet, Packages + TargetOffset, "/standin/runs").toStyledString().find("order-2") == std::string::npos);

    const instance_spec late{"clips-c", "zone-a", "clips", 7130, {"--service-time-ms", "5"}};
    fleet.startInstance(late);
    CHECK(readJson(fleet, late.port + AdminOffset, "/status")["revision"].asUInt() == 1);

    fleet.setFaults(cluster::StorePort, R"({"outage":"none"})");
    fleet.waitUntil("the purchase runs after the outage", [&] {
        return fleet.request(http::verb::post, ClipsA, "/packages", withKey({{"Idempotency-Key", "order-2"}, {"X-Test-Id", "order-2"}}))
                   .status
            == 200;
    });
    CHECK(readJson(fleet, Packages + TargetOffset, "/standin/runs").toStyledString().find("\"order-2\" : 1") != std::string::npos);
}

TEST_CASE("other instances keep serving when one is stopped or killed, and a resumed node loads the newest configuration")
{
    cluster fleet{"127.0.20.6"};
    startStoreAndClips(fleet);
    waitUntilServing(fleet, ClipsA, "/clips");
    fleet.sendSignal("node-clips-b", SIGSTOP);
    fleet.waitUntil("requests are served while an instance is stopped by SIGSTOP", [&] {
        return fleet.request(http::verb::get, ClipsA, "/clips", withKey()).status == 200;
    });
    const auto changed = fleet.writeFile("withdrawn.yaml", ConfigurationYaml);
    REQUIRE(fleet.runControlTool({"publish", changed, "--store", fleet.addressOf(cluster::StorePort), "--base", "head"}) == 0);
    fleet.waitUntil("the key is refused at the running node", [&] {
        return fleet.request(http::verb::get, ClipsA, "/clips", withKey()).status == 401;
    });
    fleet.sendSignal("node-clips-b", SIGCONT);
    fleet.waitUntil("the resumed node has the newest revision", [&] {
        return readJson(fleet, ClipsB + AdminOffset, "/status")["revision"].asUInt() == 2;
    });
    CHECK(fleet.request(http::verb::get, ClipsB, "/clips", withKey()).status == 401);
    fleet.sendSignal("node-clips-b", SIGKILL);
    fleet.sendSignal("target-clips-b", SIGKILL);
    for (int count{0}; count < 20; ++count) {
        fleet.waitUntil("requests of the open route are served after an instance was killed", [&] {
            return fleet.request(http::verb::get, ClipsA, "/preview", {}).status == 200;
        });
    }
}
