#include "standins/support/http_client.h"

#include "raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace ragwortpin;
using standins::call_result;
using namespace ragwortpin::test;

namespace {

constexpr seconds Timeout{20};

standins::http_request requestOf(http::verb method, const std::string &id, std::size_t bodyBytes)
{
    standins::http_request request{method, "/", 11};
    request.set("X-Request-Id", id);
    request.body() = std::string(bodyBytes, 'u');
    return request;
}

struct client_fixture
{
    raw_server server{{"127.0.0.1", 0}, "X-Request-Id"};
    boost::asio::io_context context{1};
    standins::http_client client{context, 4};

    call_result send(const standins::http_request &request)
    {
        call_result result;
        const standins::endpoint address{server.address().address, server.address().port};
        const auto run = [&]() -> boost::asio::awaitable<void> {
            result = co_await client.send(address, request, Timeout, nullptr);
        };
        boost::asio::co_spawn(context, run, boost::asio::detached);
        context.restart();
        context.run();
        return result;
    }
};

} // namespace

TEST_CASE("the client of the stand-ins returns whole responses only")
{
    struct response_case
    {
        std::string name;
        raw_answer answer;
        /** Expected body; none if an error is expected. */
        std::optional<std::string> expectedBody;
        http::verb method{http::verb::get};
        std::size_t bodyBytes{0};
    };
    const std::string ok{"HTTP/1.1 200 OK\r\n"};
    const std::string length{"Content-Length: 4\r\n\r\n"};
    const std::string chunked{"Transfer-Encoding: chunked\r\n"};
    const std::string chunks{"4\r\nfull\r\n0\r\n"};
    constexpr std::size_t UploadBytes{30'000'000};
    const std::vector<response_case> cases{
        {"with a length", {ok + length + "full"}, "full"},
        {"in chunks", {ok + chunked + "\r\n" + chunks + "\r\n"}, "full"},
        {"in chunks, with a trailer", {ok + chunked + "\r\n" + chunks + "Ragwortpin-Refusal: x\r\n\r\n"}, "full"},
        {"after an interim response", {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok + length + "full"}, "full"},
        {"to HEAD", {ok + length}, "", http::verb::head},
        {"with a length, cut off", {ok + length + "fu"}, std::nullopt},
        {"in chunks, cut off", {ok + chunked + "\r\n4\r\nfull\r\n"}, std::nullopt},
        {"without a length, closed", {ok + "\r\nfull"}, std::nullopt},
        {"without a length, reset", {ok + "\r\nfull", connection_end::Reset}, std::nullopt},
        {"reset while the request is being sent", {ok + "\r\nfull", connection_end::Reset}, std::nullopt, http::verb::post, UploadBytes},
        {"unknown coding", {ok + "Transfer-Encoding: xchunked\r\n\r\nfull"}, std::nullopt},
        {"coding before chunked", {ok + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks + "\r\n"}, std::nullopt},
        {"status 000", {"HTTP/1.1 000 \r\n" + length + "full"}, std::nullopt},
        {"status 600", {"HTTP/1.1 600 X\r\n" + length + "full"}, std::nullopt},
        {"invalid name of a field", {ok + "X-Bad Name: v\r\n" + length + "full"}, std::nullopt},
        {"interim responses only", {"HTTP/1.1 103 Early Hints\r\n\r\n"}, std::nullopt},
        {"extra bytes behind it", {ok + length + "full" + ok + length + "more", connection_end::Stall}, "full"},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        client_fixture fixture;
        fixture.server.answerWith(entry.answer);
        const auto result = fixture.send(requestOf(entry.method, RawRequestId, entry.bodyBytes));
        CHECK(result.connected);
        CHECK(!result.error == entry.expectedBody.has_value());
        CHECK((!entry.expectedBody || result.response.body() == *entry.expectedBody));
        CHECK((result.error || result.response.count("Ragwortpin-Refusal") == 0));
        const auto next = fixture.send(requestOf(http::verb::get, "next", 0));
        CHECK(next.response.body() == OrdinaryBody);
    }
}
