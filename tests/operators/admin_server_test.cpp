#include "ragwortpin/operators/admin_server.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

struct admin_case
{
    std::string name;
    http::verb method;
    std::string target;
    std::string body;
    unsigned expectedStatus;
};

} // namespace

TEST_CASE("the admin listener serves the requests of operators and of the target")
{
    boost::asio::io_context context;
    metrics_registry metrics;
    metrics.counterFor("ragwortpin_requests_total").add(3);
    node_status status;
    status.instance = "clips-a";
    status.service = "clips";
    std::vector<target_announcement> announcements;
    bool accepts{true};
    admin_server server{context,
                        {.status =
                             [&status] {
                                 return status;
                             },
                         .announce = [&](target_announcement value) -> std::error_code {
                             if (value.service == "foreign") {
                                 return announcement_errc::OtherService;
                             }
                             announcements.push_back(std::move(value));
                             return accepts ? std::error_code{} : announcement_errc::NodeBusy;
                         },
                         .drain =
                             [&accepts] {
                                 return accepts;
                             },
                         .reportLoad =
                             [&accepts](target_load) {
                                 return accepts;
                             }},
                        metrics};
    const std::string announcement{R"({"service":"clips","slots":35,"connections":300,"address":"127.0.0.1","port":9100})"};
    const std::vector<admin_case> cases{
        {"health", http::verb::get, "/healthz", "", 200},
        {"metrics", http::verb::get, "/metrics", "", 200},
        {"status", http::verb::get, "/status?pretty", "", 200},
        {"not ready", http::verb::get, "/readyz", "", 503},
        {"unknown path", http::verb::get, "/nothing", "", 404},
        {"unknown method", http::verb::put, "/status", "", 405},
        {"announcement", http::verb::post, "/target/announce", announcement, 204},
        {"announcement of another service",
         http::verb::post,
         "/target/announce",
         R"({"service":"foreign","slots":35,"connections":300,"address":"127.0.0.1","port":9100})",
         409},
        {"announcement without body", http::verb::post, "/target/announce", "", 400},
        {"announcement with a host name",
         http::verb::post,
         "/target/announce",
         R"({"service":"clips","slots":1,"connections":1,"address":"localhost","port":1})",
         400},
        {"announcement without slots",
         http::verb::post,
         "/target/announce",
         R"({"service":"clips","slots":0,"connections":1,"address":"127.0.0.1","port":1})",
         400},
        {"announcement of the wrong type", http::verb::post, "/target/announce", R"([1,2])", 400},
        {"deeply nested", http::verb::post, "/target/announce", std::string(100, '['), 400},
        {"drain", http::verb::post, "/target/drain", "", 204},
        {"load", http::verb::post, "/target/load", R"({"in_flight":3,"slots":35})", 204},
        {"negative load", http::verb::post, "/target/load", R"({"in_flight":-3,"slots":35})", 400},
        {"unknown post", http::verb::post, "/target/other", "{}", 404},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        http_request request{entry.method, entry.target, 11, entry.body};
        CHECK(server.handleRequest(request).result_int() == entry.expectedStatus);
    }
    REQUIRE(announcements.size() == 1);
    CHECK(announcements.front() == target_announcement{"clips", {"127.0.0.1", 9100}, 35, 300});
    CHECK(server.handleRequest({http::verb::get, "/metrics", 11}).body().text().find("ragwortpin_requests_total 3") != std::string::npos);

    accepts = false;
    CHECK(server.handleRequest({http::verb::post, "/target/drain", 11}).result_int() == 503);
    status.state = instance_state::Ready;
    CHECK(server.handleRequest({http::verb::get, "/readyz", 11}).result_int() == 200);
}
