#include "loopback.h"
#include "raw_server.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

constexpr seconds Generous{20};
constexpr std::size_t Megabyte{1'000'000};
constexpr std::size_t UploadBytes{30 * Megabyte};
const std::string IdField{"X-Request-Id: raw\r\n"};

struct answer_case
{
    std::string name;
    raw_answer answer;
    exchange_progress expected{exchange_progress::Sent};
    std::size_t bodyBytes{0};
    http::verb method{http::verb::post};
};

http_request requestOf(const answer_case &entry)
{
    http_request request{entry.method, "/", 11};
    request.set(http::field::host, "test");
    request.set("X-Request-Id", RawRequestId);
    request.body() = std::string(entry.bodyBytes, 'u');
    request.prepare_payload();
    return request;
}

exchange_options optionsOfTargets()
{
    exchange_options options;
    options.acceptCloseDelimited = true;
    options.requestIdField = "X-Request-Id";
    options.expectedId = RawRequestId;
    return options;
}

struct answer_result
{
    exchange_result exchange;
    std::size_t keptConnections{0};
};

/** Sends a request to a server that answers as the case says, with the options that are used for targets. */
answer_result exchangeWith(const answer_case &entry)
{
    raw_server server{{"127.0.0.1", 0}, "X-Request-Id"};
    server.answerWith(entry.answer);
    boost::asio::io_context context{1};
    http_client_pool pool{context, {}};
    answer_result result;
    runOn(context, [&]() -> boost::asio::awaitable<void> {
        result.exchange = co_await pool.exchange(
            server.address(), requestOf(entry), monotonicNow() + Generous, std::make_shared<call_control>(), optionsOfTargets());
        result.keptConnections = pool.idleConnectionCount();
    });
    return result;
}

std::string okAnswer(const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + IdField + fields + "\r\n" + body;
}

} // namespace

TEST_CASE("an answer without a length counts only if its connection ended in order and the request was sent whole")
{
    const auto part = okAnswer("", "part");
    const std::vector<answer_case> cases{
        {"reset at once", {part, connection_end::Reset}, exchange_progress::Sent, UploadBytes},
        {"reset after part of the request", {part, connection_end::Reset, 10 * Megabyte}, exchange_progress::Sent, UploadBytes},
        {"closed with unread bytes", {part, connection_end::CloseUnread}, exchange_progress::Sent, UploadBytes},
        {"reset after the whole request", {part, connection_end::Reset, UploadBytes}, exchange_progress::Sent, UploadBytes},
        {"reset after a request without a body", {part, connection_end::Reset}},
        {"request that is not read any more", {part, connection_end::Stall}, exchange_progress::Sent, UploadBytes},
        {"closed in order", {part, connection_end::Close}, exchange_progress::Answered, UploadBytes},
        {"shut down before the whole request was read", {part, connection_end::ShutDownFirst}, exchange_progress::Answered, UploadBytes},
        {"closed in order after a request without a body", {part, connection_end::Close}, exchange_progress::Answered},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto result = exchangeWith(entry);
        CHECK(result.exchange.progress == entry.expected);
        CHECK(result.exchange.response.has_value() == (entry.expected == exchange_progress::Answered));
        CHECK(result.keptConnections == 0);
    }
}

TEST_CASE("a whole answer with a length or in chunks counts although the connection broke while the request was sent")
{
    const std::vector<answer_case> cases{
        {"with a length", {okAnswer("Content-Length: 4\r\n", "full"), connection_end::Reset}, exchange_progress::Answered, UploadBytes},
        {"in chunks",
         {okAnswer("Transfer-Encoding: chunked\r\n", "4\r\nfull\r\n0\r\n\r\n"), connection_end::Reset},
         exchange_progress::Answered,
         UploadBytes},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto result = exchangeWith(entry);
        REQUIRE(result.exchange.progress == exchange_progress::Answered);
        CHECK(result.exchange.response->body() == "full");
        CHECK(result.keptConnections == 0);
    }
}

TEST_CASE("an answer without a length that is reset while its memory is awaited does not count")
{
    constexpr std::size_t BudgetBytes{12UL * 1024UL};
    const auto request = requestOf({});
    raw_server server{{"127.0.0.1", 0}, "X-Request-Id"};
    server.answerWith({okAnswer("", "part"), connection_end::Reset});
    boost::asio::io_context context{1};
    memory_budget budget{BudgetBytes};
    http_client_pool pool{context, {}, budget};
    exchange_result result;
    runOn(context, [&]() -> boost::asio::awaitable<void> {
        auto other = budget.makeReservation(memory_use::Response);
        CHECK(other.resize(BudgetBytes - 1));
        boost::asio::steady_timer release{context, milliseconds{200}};
        release.async_wait([&other](boost::system::error_code) {
            other = {};
        });
        result = co_await pool.exchange(
            server.address(), request, monotonicNow() + Generous, std::make_shared<call_control>(), optionsOfTargets());
    });
    CHECK(budget.denied() > 0);
    CHECK(result.progress == exchange_progress::Sent);
    CHECK_FALSE(result.response);
}
