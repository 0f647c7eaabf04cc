#include "cluster.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

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

constexpr const char *Key{"example-key-generous"};
constexpr std::uint16_t ClipsA{7100};
constexpr std::uint16_t ClipsB{7110};
constexpr std::uint16_t Packages{7120};

const std::string Configuration{R"(availability_zones:
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

const std::string Keys{R"(keys:
  - {name: generous-1, workspace: generous, sha256: 150c9e45d1ff1e72b4e82d1413d189dea4ced66ff84f93e74b29cf6a4843172b}
)"};

instance_plan clips(const std::string &name, const std::string &zone, std::uint16_t port, const std::string &serviceTime = "5")
{
    return {name, zone, "clips", port, {"--service-time-ms", serviceTime, "--service-time-law", "fixed"}};
}

instance_plan packages()
{
    return {"packages-a",
            "zone-a",
            "packages",
            Packages,
            {"--service-time-ms", "5", "--service-time-law", "fixed", "--downstream", "GET:/clips"}};
}

std::vector<header_field> withKey(std::vector<header_field> headers = {})
{
    headers.push_back({"Authorization", std::string{"Bearer "} + Key});
    return headers;
}

/** Asks for clips on a thread and a connection of its own. */
std::future<test_answer> askInBackground(const cluster &fleet, std::uint16_t port)
{
    return std::async(std::launch::async, [address = fleet.address(), port] {
        boost::asio::io_context context{1};
        http_client_pool pool{context, {}};
        test_answer answer;
        http_request message{http::verb::get, "/clips", 11};
        message.set(http::field::host, "a");
        message.set("X-Api-Key", Key);
        boost::asio::co_spawn(context,
                              pool.exchange({address, port}, message, monotonicNow() + seconds{30}, std::make_shared<call_control>()),
                              [&answer](const std::exception_ptr &, const exchange_result &result) {
                                  answer.status = result.response ? result.response->result_int() : 0;
                              });
        context.run();
        return answer;
    });
}

void startAll(cluster &fleet, const std::string &serviceTime = "5")
{
    fleet.startStore();
    const auto file = fleet.writeFile("configuration.yaml", Configuration + Keys);
    REQUIRE(fleet.control({"publish", file, "--store", fleet.at(cluster::StorePort), "--base", "head"}) == 0);
    fleet.startInstance(clips("clips-a", "zone-a", ClipsA, serviceTime));
    fleet.startInstance(clips("clips-b", "zone-b", ClipsB, serviceTime));
}

/** Waits until a node forwards to every service and holds rights for the workspace. */
void waitUntilServing(cluster &fleet, std::uint16_t port, const std::string &path)
{
    fleet.eventually("node " + std::to_string(port) + " serves " + path, [&] {
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

void setFault(cluster &fleet, std::uint16_t port, const std::string &body)
{
    const auto answer = fleet.request(http::verb::post, port, "/standin/faults", {{"Content-Type", "application/json"}}, body);
    REQUIRE(answer.status >= 200);
    REQUIRE(answer.status < 300);
}

struct refused_case
{
    std::string name;
    http::verb method;
    std::string path;
    std::vector<header_field> headers;
    unsigned status;
    std::string refusal;
};

} // namespace

TEST_CASE("requests are served end to end and refusals are true")
{
    cluster fleet{"127.0.20.1"};
    startAll(fleet);
    fleet.startInstance(packages());
    waitUntilServing(fleet, ClipsA, "/clips");
    waitUntilServing(fleet, Packages, "/clips");

    const std::vector<refused_case> cases{
        {"no key", http::verb::get, "/clips", {}, 401, "key_missing"},
        {"wrong key", http::verb::get, "/clips", {{"X-Api-Key", "nonsense-key"}}, 401, "key_unknown"},
        {"unknown route", http::verb::get, "/nothing", withKey(), 404, "unknown_route"},
        {"path with two readings", http::verb::get, "/preview/../clips", withKey(), 404, "unknown_route"},
        {"key in the query", http::verb::get, std::string{"/clips?k="} + Key, withKey(), 400, "malformed_request"},
        {"once without key", http::verb::post, "/packages", withKey(), 400, "idempotency_key_missing"},
        {"forged context", http::verb::get, "/clips", {{"Ragwortpin-Context", "Zm9yZ2Vk"}}, 401, "key_missing"},
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

    fleet.eventually("the first hop knows an instance for purchases", [&] {
        return fleet.request(http::verb::post, ClipsA, "/packages", withKey({{"Idempotency-Key", "order-0"}})).status == 200;
    });
    const auto bought
        = fleet.request(http::verb::post, ClipsA, "/packages", withKey({{"Idempotency-Key", "order-1"}, {"X-Test-Id", "order-1"}}));
    INFO(bought.refusal);
    CHECK(bought.status == 200);
    const auto repeated
        = fleet.request(http::verb::post, ClipsB, "/packages", withKey({{"Idempotency-Key", "order-1"}, {"X-Test-Id", "order-1"}}));
    CHECK(repeated.outcome == "ran");
    CHECK(readJson(fleet, Packages + TargetOffset, "/standin/runs").toStyledString().find("\"order-1\" : 1") != std::string::npos);
    for (const auto port : {ClipsA, ClipsB, Packages}) {
        CHECK(readJson(fleet, port + TargetOffset, "/standin/stats")["keys_seen"].asUInt() == 0);
    }
}

TEST_CASE("a withdrawn key stops working on a connection that is already open")
{
    cluster fleet{"127.0.20.2"};
    startAll(fleet);
    waitUntilServing(fleet, ClipsA, "/clips");

    boost::asio::io_context context{1};
    boost::asio::ip::tcp::socket socket{context};
    socket.connect({boost::asio::ip::make_address(fleet.address()), ClipsA});
    const std::string request{std::string{"GET /clips HTTP/1.1\r\nHost: a\r\nX-Api-Key: "} + Key + "\r\n\r\n"};
    boost::beast::flat_buffer buffer;
    const auto statusOnConnection = [&] {
        boost::asio::write(socket, boost::asio::buffer(request));
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        return response.result_int();
    };
    CHECK(statusOnConnection() == 200);

    const auto file = fleet.writeFile("withdrawn.yaml", Configuration);
    REQUIRE(fleet.control({"publish", file, "--store", fleet.at(cluster::StorePort), "--base", "head"}) == 0);
    fleet.eventually("the key is refused on the open connection", [&] {
        return statusOnConnection() == 401;
    });
    for (int repeat{0}; repeat < 20; ++repeat) {
        CHECK(statusOnConnection() == 401);
    }
}

TEST_CASE("a request that comes late in a graceful shutdown is refused as not run")
{
    cluster fleet{"127.0.20.9"};
    startAll(fleet, "6000");
    waitUntilServing(fleet, ClipsB, "/clips");
    auto early = askInBackground(fleet, ClipsB);
    fleet.eventually("the request is in flight", [&] {
        return readJson(fleet, ClipsB + TargetOffset, "/standin/stats")["in_flight"].asUInt() > 0;
    });
    fleet.signal("node-clips-b", SIGTERM);
    // Twice the announcement time, and far less than the request in flight takes.
    std::this_thread::sleep_for(seconds{1});
    const auto late = fleet.request(http::verb::get, ClipsB, "/clips", withKey());
    CHECK(late.status == 503);
    CHECK(late.outcome == "not_run");
    CHECK(late.refusal == "draining");
    CHECK(early.get().status == 200);
    CHECK(fleet.waitForExit("node-clips-b") == 0);
}

TEST_CASE("a graceful shutdown cuts no request in flight")
{
    cluster fleet{"127.0.20.3"};
    startAll(fleet, "1500");
    waitUntilServing(fleet, ClipsB, "/clips");

    std::vector<std::future<test_answer>> answers;
    for (int count{0}; count < 6; ++count) {
        answers.push_back(askInBackground(fleet, ClipsB));
    }
    fleet.eventually("the requests are in flight", [&] {
        return readJson(fleet, ClipsB + TargetOffset, "/standin/stats")["in_flight"].asUInt() > 0;
    });
    fleet.signal("node-clips-b", SIGTERM);
    for (auto &answer : answers) {
        CHECK(answer.get().status == 200);
    }
    CHECK(fleet.waitForExit("node-clips-b") == 0);
}

TEST_CASE("a leaving target gets no new work and others serve")
{
    cluster fleet{"127.0.20.4"};
    startAll(fleet);
    waitUntilServing(fleet, ClipsA, "/clips");
    REQUIRE(fleet.request(http::verb::post, ClipsB + AdminOffset, "/target/drain", {}).status == 204);
    fleet.eventually("the drain is known at the other node", [&] {
        return readJson(fleet, ClipsB + AdminOffset, "/status")["state"].asString() == "draining";
    });
    const auto runsBefore = readJson(fleet, ClipsB + TargetOffset, "/standin/stats")["runs"].asUInt();
    for (int count{0}; count < 50; ++count) {
        CHECK(fleet.request(http::verb::get, count % 2 == 0 ? ClipsA : ClipsB, "/clips", withKey()).status == 200);
    }
    CHECK(readJson(fleet, ClipsB + TargetOffset, "/standin/stats")["runs"].asUInt() == runsBefore);
}

TEST_CASE("an outage of the store leaves traffic alone and refuses once routes truthfully")
{
    cluster fleet{"127.0.20.5"};
    startAll(fleet);
    fleet.startInstance(packages());
    waitUntilServing(fleet, ClipsA, "/clips");
    waitUntilServing(fleet, Packages, "/clips");
    setFault(fleet, cluster::StorePort, R"({"outage":"refuse"})");
    for (int count{0}; count < 20; ++count) {
        CHECK(fleet.request(http::verb::get, ClipsA, "/clips", withKey()).status == 200);
    }
    const auto refused
        = fleet.request(http::verb::post, ClipsA, "/packages", withKey({{"Idempotency-Key", "order-2"}, {"X-Test-Id", "order-2"}}));
    CHECK(refused.refusal == "store_unavailable");
    CHECK(refused.outcome == "not_run");
    CHECK_FALSE(refused.retryAfter.empty());
    CHECK(readJson(fleet, Packages + TargetOffset, "/standin/runs").toStyledString().find("order-2") == std::string::npos);

    const instance_plan late{"clips-c", "zone-a", "clips", 7130, {"--service-time-ms", "5"}};
    fleet.startInstance(late);
    CHECK(readJson(fleet, late.port + AdminOffset, "/status")["revision"].asUInt() == 1);

    setFault(fleet, cluster::StorePort, R"({"outage":"none"})");
    fleet.eventually("the purchase runs after the outage", [&] {
        return fleet.request(http::verb::post, ClipsA, "/packages", withKey({{"Idempotency-Key", "order-2"}, {"X-Test-Id", "order-2"}}))
                   .status
            == 200;
    });
    CHECK(readJson(fleet, Packages + TargetOffset, "/standin/runs").toStyledString().find("\"order-2\" : 1") != std::string::npos);
}

TEST_CASE("a killed and a frozen instance leave the others serving and a thawed one catches up")
{
    cluster fleet{"127.0.20.6"};
    startAll(fleet);
    waitUntilServing(fleet, ClipsA, "/clips");
    fleet.signal("node-clips-b", SIGSTOP);
    fleet.eventually("requests are served while an instance is frozen", [&] {
        return fleet.request(http::verb::get, ClipsA, "/clips", withKey()).status == 200;
    });
    const auto changed = fleet.writeFile("withdrawn.yaml", Configuration);
    REQUIRE(fleet.control({"publish", changed, "--store", fleet.at(cluster::StorePort), "--base", "head"}) == 0);
    fleet.eventually("the key is refused at the running node", [&] {
        return fleet.request(http::verb::get, ClipsA, "/clips", withKey()).status == 401;
    });
    fleet.signal("node-clips-b", SIGCONT);
    fleet.eventually("the thawed node has the newest revision", [&] {
        return readJson(fleet, ClipsB + AdminOffset, "/status")["revision"].asUInt() == 2;
    });
    CHECK(fleet.request(http::verb::get, ClipsB, "/clips", withKey()).status == 401);
    fleet.signal("node-clips-b", SIGKILL);
    fleet.signal("target-clips-b", SIGKILL);
    for (int count{0}; count < 20; ++count) {
        fleet.eventually("open requests are served after a kill", [&] {
            return fleet.request(http::verb::get, ClipsA, "/preview", {}).status == 200;
        });
    }
}
