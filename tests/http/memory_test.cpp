#include "loopback.h"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <memory>
#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

namespace asio = boost::asio;

constexpr std::size_t Mebibyte{1024UL * 1024UL};

http_limits largeLimits()
{
    http_limits limits;
    limits.requestBodyBytes = 64 * Mebibyte;
    limits.responseBodyBytes = 64 * Mebibyte;
    return limits;
}

asio::awaitable<void> pauseFor(asio::io_context &context, duration time)
{
    asio::steady_timer timer{context, time};
    co_await timer.async_wait(asio::use_awaitable);
}

/** Listener with a memory budget whose handler keeps each request until it is released. */
struct budgeted_listener
{
    explicit budgeted_listener(std::size_t budgetBytes)
        : budget{budgetBytes}
        , server{context,
                 largeLimits(),
                 [this](http_request request, std::shared_ptr<call_control>) -> asio::awaitable<http_response> {
                     bytes += request.body().size();
                     ++handled;
                     while (!isReleased) {
                         co_await pauseFor(context, milliseconds{5});
                     }
                     co_return makeResponse(http::status::ok, "text/plain", "done");
                 },
                 [this](refusal_kind kind) {
                     refusals.push_back(kind);
                 },
                 [](const http_request &) {},
                 budget}
    {
        REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    }

    asio::io_context context{1};
    memory_budget budget;
    bool isReleased{false};
    std::size_t bytes{0};
    unsigned handled{0};
    std::vector<refusal_kind> refusals;
    http_server server;
};

struct upload_case
{
    std::string name;
    bool isChunked;
    std::size_t bodyBytes;
    unsigned uploads;
    unsigned expectedAccepted;
};

std::string uploadHead(const upload_case &entry)
{
    return "POST /upload HTTP/1.1\r\nHost: a\r\n"
        + (entry.isChunked ? std::string{"Transfer-Encoding: chunked\r\n"} : "Content-Length: " + std::to_string(entry.bodyBytes) + "\r\n")
        + "\r\n";
}

/** Sends an upload and reads the beginning of its response. */
asio::awaitable<void> upload(asio::io_context &context, std::uint16_t port, upload_case entry, std::string &answer)
{
    asio::ip::tcp::socket socket{context};
    const asio::ip::tcp::endpoint server{asio::ip::make_address("127.0.0.1"), port};
    co_await socket.async_connect(server, asio::use_awaitable);
    boost::system::error_code error;
    auto bytes = uploadHead(entry);
    const std::string part(64UL * 1024UL, 'u');
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    for (std::size_t sent{0}; !error && sent < entry.bodyBytes; sent += part.size()) {
        bytes = entry.isChunked ? "10000\r\n" + part + "\r\n" : part;
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    }
    if (entry.isChunked) {
        co_await asio::async_write(socket, asio::buffer("0\r\n\r\n", 5), asio::redirect_error(asio::use_awaitable, error));
    }
    std::string received(4096, '\0');
    const auto size = co_await socket.async_read_some(asio::buffer(received), asio::redirect_error(asio::use_awaitable, error));
    answer = received.substr(0, size);
}

} // namespace

TEST_CASE("uploads beyond the memory budget are refused as not run, and those under way are answered")
{
    const std::vector<upload_case> cases{
        {"with a length", false, 4 * Mebibyte, 8, 2},
        {"in chunks", true, 4 * Mebibyte, 8, 2},
        {"many small ones", false, 64UL * 1024UL, 40, 40},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        budgeted_listener listener{12 * Mebibyte};
        std::vector<std::string> answers(entry.uploads);
        std::size_t mostReserved{0};
        runOn(listener.context, [&]() -> asio::awaitable<void> {
            std::size_t done{0};
            for (auto &answer : answers) {
                asio::co_spawn(
                    listener.context, upload(listener.context, listener.server.port(), entry, answer), [&done](const std::exception_ptr &) {
                        ++done;
                    });
            }
            while (done < answers.size()) {
                co_await pauseFor(listener.context, milliseconds{1});
                mostReserved = std::max(mostReserved, listener.budget.usage().reserved);
                listener.isReleased = listener.isReleased || listener.handled + listener.refusals.size() >= answers.size();
            }
        });
        unsigned accepted{0};
        for (const auto &answer : answers) {
            const bool isAccepted{answer.find("HTTP/1.1 200") == 0};
            accepted += isAccepted ? 1 : 0;
            if (!isAccepted) {
                CHECK(answer.find("HTTP/1.1 503") == 0);
                CHECK(answer.find("Retry-After: ") != std::string::npos);
                CHECK(answer.find("Ragwortpin-Outcome: not_run") != std::string::npos);
            }
        }
        CHECK(accepted >= 1);
        CHECK(accepted <= entry.expectedAccepted);
        CHECK((entry.isChunked || accepted == entry.expectedAccepted));
        CHECK(listener.handled == accepted);
        CHECK(listener.bytes == accepted * entry.bodyBytes);
        CHECK(mostReserved <= 12 * Mebibyte);
        CHECK(listener.budget.usage().reserved == 0);
    }
}

TEST_CASE("a sender that stalls loses the memory that it holds once it is short, and its request has not run")
{
    const upload_case large{"nine of ten MiB", false, 9 * Mebibyte, 1, 1};
    budgeted_listener listener{12 * Mebibyte};
    listener.isReleased = true;
    std::string stalledAnswer;
    std::string laterAnswer;
    runOn(listener.context, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket stalled{listener.context};
        co_await stalled.async_connect({asio::ip::make_address("127.0.0.1"), listener.server.port()}, asio::use_awaitable);
        const auto head = uploadHead(large) + std::string(1000, 'u');
        co_await asio::async_write(stalled, asio::buffer(head), asio::use_awaitable);
        const auto until = monotonicNow() + seconds{10};
        while (laterAnswer.find("HTTP/1.1 200") != 0 && monotonicNow() < until) {
            co_await upload(listener.context, listener.server.port(), large, laterAnswer);
            co_await pauseFor(listener.context, milliseconds{500});
        }
        std::string received(4096, '\0');
        const auto size = co_await stalled.async_read_some(asio::buffer(received), asio::use_awaitable);
        stalledAnswer = received.substr(0, size);
    });
    CHECK(laterAnswer.find("HTTP/1.1 200") == 0);
    CHECK(stalledAnswer.find("HTTP/1.1 503") == 0);
    CHECK(stalledAnswer.find("Ragwortpin-Outcome: not_run") != std::string::npos);
    CHECK(listener.server.evictions() == 1);
    CHECK(listener.budget.usage().reserved == 0);
}

TEST_CASE("a receiver that stalls loses the response that it holds once memory is short")
{
    constexpr std::size_t ResponseBytes{9 * Mebibyte};
    asio::io_context context{1};
    memory_budget budget{12 * Mebibyte};
    http_server server{context,
                       largeLimits(),
                       [&budget](http_request, std::shared_ptr<call_control>) -> asio::awaitable<http_response> {
                           body_text body{budget.makeReservation(memory_use::Response)};
                           const bool isReserved{body.reserve(ResponseBytes)};
                           auto response
                               = makeResponse(isReserved ? http::status::ok : http::status::service_unavailable, "text/plain", "");
                           if (isReserved) {
                               body.bytes().assign(ResponseBytes, 'r');
                               response.body() = std::move(body);
                               response.prepare_payload();
                           }
                           co_return response;
                       },
                       [](refusal_kind) {},
                       [](const http_request &) {},
                       budget};
    REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    const asio::ip::tcp::endpoint address{asio::ip::make_address("127.0.0.1"), server.port()};
    const std::string head{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"};
    std::string laterAnswer;
    runOn(context, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket stalled{context};
        co_await stalled.async_connect(address, asio::use_awaitable);
        co_await asio::async_write(stalled, asio::buffer(head), asio::use_awaitable);
        const auto until = monotonicNow() + seconds{10};
        while (laterAnswer.find("HTTP/1.1 200") != 0 && monotonicNow() < until) {
            co_await pauseFor(context, milliseconds{500});
            asio::ip::tcp::socket later{context};
            co_await later.async_connect(address, asio::use_awaitable);
            co_await asio::async_write(later, asio::buffer(head), asio::use_awaitable);
            laterAnswer.assign(4096, '\0');
            laterAnswer.resize(co_await later.async_read_some(asio::buffer(laterAnswer), asio::use_awaitable));
        }
    });
    CHECK(laterAnswer.find("HTTP/1.1 200") == 0);
    CHECK(server.evictions() == 1);
}

TEST_CASE("a stalled sender keeps its memory while there is enough")
{
    budgeted_listener listener{12 * Mebibyte};
    listener.isReleased = true;
    std::string answer;
    runOn(listener.context, [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket{listener.context};
        co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), listener.server.port()}, asio::use_awaitable);
        const std::string head{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"};
        co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
        co_await pauseFor(listener.context, seconds{4});
        co_await asio::async_write(socket, asio::buffer("cd", 2), asio::use_awaitable);
        std::string received(4096, '\0');
        const auto size = co_await socket.async_read_some(asio::buffer(received), asio::use_awaitable);
        answer = received.substr(0, size);
    });
    CHECK(answer.find("HTTP/1.1 200") == 0);
    CHECK(listener.server.evictions() == 0);
}

TEST_CASE("header sections that are sent in part count against the memory budget")
{
    constexpr unsigned Connections{64};
    auto limits = largeLimits();
    limits.headerBytes = 64UL * 1024UL;
    asio::io_context context{1};
    memory_budget budget{Mebibyte};
    unsigned refused{0};
    http_server server{context,
                       limits,
                       [](http_request, std::shared_ptr<call_control>) -> asio::awaitable<http_response> {
                           co_return makeResponse(http::status::ok, "text/plain", "done");
                       },
                       [&refused](refusal_kind kind) {
                           refused += kind == refusal_kind::MemoryShort ? 1 : 0;
                       },
                       [](const http_request &) {},
                       budget};
    REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    runOn(context, [&]() -> asio::awaitable<void> {
        std::vector<asio::ip::tcp::socket> sockets;
        const std::string head{"GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(60'000, 'x')};
        for (unsigned index{0}; index < Connections; ++index) {
            sockets.emplace_back(context);
            co_await sockets.back().async_connect({asio::ip::make_address("127.0.0.1"), server.port()}, asio::use_awaitable);
            co_await asio::async_write(sockets.back(), asio::buffer(head), asio::use_awaitable);
        }
        co_await pauseFor(context, milliseconds{300});
        CHECK(budget.usage().reserved <= Mebibyte);
        CHECK(refused > 0);
    });
}

TEST_CASE("a response is read when the memory budget allows it, up to the deadline of its request")
{
    struct response_case
    {
        std::string name;
        milliseconds deadline;
        exchange_progress expected;
    };
    constexpr std::size_t BodyBytes{8 * Mebibyte};
    const std::vector<response_case> cases{
        {"memory is returned in time", milliseconds{5000}, exchange_progress::Answered},
        {"the deadline passes before", milliseconds{200}, exchange_progress::Sent},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        asio::io_context context{1};
        memory_budget budget{12 * Mebibyte};
        auto other = budget.makeReservation(memory_use::Response);
        REQUIRE(other.resize(10 * Mebibyte));
        scripted_server server{
            context, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'r')};
        http_client_pool client{context, largeLimits(), budget};
        runOn(context, [&]() -> asio::awaitable<void> {
            asio::co_spawn(
                context,
                [&]() -> asio::awaitable<void> {
                    co_await pauseFor(context, milliseconds{600});
                    other = memory_reservation{};
                },
                asio::detached);
            http_request request{http::verb::get, "/", 11};
            const auto result
                = co_await client.exchange(server.address(), request, monotonicNow() + entry.deadline, std::make_shared<call_control>());
            CHECK(result.progress == entry.expected);
            CHECK((!result.response || result.response->body().size() == BodyBytes));
            CHECK(budget.usage().reserved <= 12 * Mebibyte);
        });
    }
}

TEST_CASE("copies of a request share its body")
{
    http_request request{http::verb::post, "/", 11};
    request.body() = std::string(1000, 'b');
    const auto copy = request;
    CHECK(copy.body().text().data() == request.body().text().data());
    CHECK(copy.body() == std::string(1000, 'b'));
}
