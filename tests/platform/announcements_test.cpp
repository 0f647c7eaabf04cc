#include "platform_request.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <optional>
#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::platform;

namespace {

const std::string Heartbeat
    = R"({"service":"clips","address":"10.128.0.9:8080","zone":"east","version":"v1","slots":72,"state":"ready","cold_left":"0ms","sequence":4,"born":1700000000123})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

/** Records the calls to the node's services and returns configurable results. */
struct recording_node
{
    std::vector<target_announcement> announced;
    std::vector<target_departure> departed;
    bool ready{true};
    bool acceptsMessages{true};
    bool storesDepartures{true};
    unsigned confirmations{0};

    admin_callbacks services()
    {
        admin_callbacks result;
        result.announce = [this](target_announcement announcement) -> std::error_code {
            if (announcement.service == "foreign") {
                return announcement_errc::OtherService;
            }
            announced.push_back(std::move(announcement));
            return acceptsMessages ? std::error_code{} : announcement_errc::NodeBusy;
        };
        result.depart = [this](target_departure departure) {
            departed.push_back(std::move(departure));
            return acceptsMessages;
        };
        result.confirmDepartures = [this]() -> boost::asio::awaitable<std::error_code> {
            ++confirmations;
            co_return storesDepartures ? std::error_code{} : announcement_errc::DepartureNotStored;
        };
        result.isReady = [this] {
            return ready;
        };
        return result;
    }

    unsigned statusOf(http::verb method, const std::string &target, const std::string &body = "")
    {
        http_request request{method, target, 11};
        request.body() = body;
        return answerPlatformRequest(request, services()).result_int();
    }
};

} // namespace

TEST_CASE("a heartbeat is decoded to a target announcement")
{
    const auto decoded = decodeHeartbeat("i-7f", Heartbeat);
    REQUIRE(decoded.value);
    CHECK(*decoded.value
          == target_announcement{.service = "clips",
                                 .address = {"10.128.0.9", 8080},
                                 .slots = 72,
                                 .connections = 0,
                                 .incarnation = "i-7f",
                                 .startedAt = 1700000000123,
                                 .sequence = 4,
                                 .draining = false});
    CHECK(decodeHeartbeat("i-7f", replaced(Heartbeat, "\"ready\"", "\"draining\"")).value->draining);
}

TEST_CASE("an invalid heartbeat is rejected with the reason")
{
    struct bad_heartbeat
    {
        std::string name;
        std::string body;
        std::string problem;
    };
    const std::vector<bad_heartbeat> cases{
        {"not JSON", "state=ready", "JSON"},
        {"a list", "[1]", "JSON"},
        {"no service", replaced(Heartbeat, "\"service\"", "\"servic\""), "service"},
        {"service of another type", replaced(Heartbeat, "\"clips\"", "17"), "service"},
        {"address without a port", replaced(Heartbeat, ":8080", ""), "address"},
        {"address by name", replaced(Heartbeat, "10.128.0.9", "localhost"), "address"},
        {"no slots", replaced(Heartbeat, "\"slots\":72", "\"slots\":0"), "slots"},
        {"slots as text", replaced(Heartbeat, "\"slots\":72", "\"slots\":\"72\""), "slots"},
        {"negative slots", replaced(Heartbeat, "\"slots\":72", "\"slots\":-72"), "slots"},
        {"unknown state", replaced(Heartbeat, "\"ready\"", "\"resting\""), "state"},
        {"bytes that are no UTF-8", replaced(Heartbeat, "clips", "\xed\xa0\x80"), "UTF-8"},
        {"low surrogate", replaced(Heartbeat, "clips", "\\udc00"), "UTF-8"},
        {"high surrogate", replaced(Heartbeat, "clips", "\\ud800"), "JSON"},
        {"line end in the service", replaced(Heartbeat, "clips", "clips\\r\\nX: y"), "control"},
        {"NUL in the service", replaced(Heartbeat, "clips", "cl\\u0000ips"), "control"},
        {"service that is too long", replaced(Heartbeat, "clips", std::string(129, 'x')), "128"},
        {"empty service", replaced(Heartbeat, "clips", ""), "service"},
        {"no sequence", replaced(Heartbeat, "\"sequence\":4", "\"sequence\":null"), "sequence"},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto decoded = decodeHeartbeat("i-7f", entry.body);
        CHECK_FALSE(decoded.value);
        CHECK_THAT(decoded.problem, Catch::Contains(entry.problem));
    }
}

TEST_CASE("requests of the platform and of the target are passed to the node's services")
{
    recording_node node;
    CHECK(node.statusOf(http::verb::get, "/-/ready") == 200);
    node.ready = false;
    CHECK(node.statusOf(http::verb::get, "/-/ready") == 503);
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Heartbeat/i-7f", Heartbeat) == 200);
    CHECK(node.announced.size() == 1);
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Heartbeat/i-7f", "{}") == 400);
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Heartbeat/i-7f", replaced(Heartbeat, "clips", "foreign")) == 409);
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Heartbeat/i\xed\xa0\x80", Heartbeat) == 400);
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Deregister/i-7f") == 200);
    REQUIRE(node.departed.size() == 1);
    CHECK(node.departed.front().incarnation == "i-7f");
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Deregister/") == 404);
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Deregister/a/b") == 404);
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Deregister/" + std::string(200, 'x')) == 404);
    CHECK(node.statusOf(http::verb::get, "/-/other") == 404);
    node.acceptsMessages = false;
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Heartbeat/i-7f", Heartbeat) == 503);
    CHECK(node.statusOf(http::verb::post, "/-/Instances.Deregister/i-7f") == 503);
}

TEST_CASE("that a target leaves is acknowledged only once it is stored")
{
    struct leave_case
    {
        std::string name;
        std::string target;
        std::string body;
        unsigned confirmations;
        unsigned statusIfStored;
        unsigned statusIfNotStored;
    };
    const auto draining = replaced(Heartbeat, "\"ready\"", "\"draining\"");
    const std::string heartbeatPath{"/-/Instances.Heartbeat/i-7f"};
    const std::vector<leave_case> cases{
        {"ready", heartbeatPath, Heartbeat, 0, 200, 200},
        {"draining", heartbeatPath, draining, 1, 200, 503},
        {"draining, of another service", heartbeatPath, replaced(draining, "clips", "foreign"), 0, 409, 409},
        {"deregistered", "/-/Instances.Deregister/i-7f", "", 1, 200, 503},
        {"deregistered under an id that is no name", "/-/Instances.Deregister/i\xed\xa0\x80", "", 0, 400, 400},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        recording_node node;
        CHECK(node.statusOf(http::verb::post, entry.target, entry.body) == entry.statusIfStored);
        CHECK(node.confirmations == entry.confirmations);
        node.storesDepartures = false;
        CHECK(node.statusOf(http::verb::post, entry.target, entry.body) == entry.statusIfNotStored);
    }
}

TEST_CASE("a corrupted heartbeat is decoded or rejected without a crash")
{
    rc::prop("mutated heartbeats", [] {
        auto body = Heartbeat;
        const auto position = *rc::gen::inRange<std::size_t>(0, body.size());
        body[position] = *rc::gen::arbitrary<char>();
        body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
        const auto decoded = decodeHeartbeat("i-7f", body);
        RC_ASSERT(decoded.value.has_value() == decoded.problem.empty());
    });
}
