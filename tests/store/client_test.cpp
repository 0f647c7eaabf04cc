#include "store/scripted_server.h"

#include "ragwortpin/store/client.h"
#include "ragwortpin/store/error.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;
using testing::httpAnswer;
using testing::scripted_server;
using testing::scripted_step;

namespace {

using kind = scripted_step::kind;

/** Long enough to be reached by no answer that comes. */
constexpr duration Long{seconds{8}};
/** Reached by every call that gets no answer. */
constexpr duration Short{milliseconds{150}};

const std::string RangeBody = R"({"header":{"revision":"5"},"kvs":[{"key":"YQ==","mod_revision":"4","value":"Yg=="}],"count":"1"})";
const std::string TransactionBody = R"({"header":{"revision":"6"},"succeeded":true,"responses":[{"response_put":{}}]})";

store_request readCall()
{
    return store_range{"a", {}, 0};
}

store_request writeCall()
{
    return store_transaction{{{"a", 4}}, {{"a", "c", 0}}, {}};
}

/** An address on which nothing listens: bound, then closed. */
endpoint closedAddress()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

struct failing_answer
{
    std::string name;
    scripted_step step;
    duration timeout;
    store_errc error;
    bool mayBeDone;
};

} // namespace

TEST_CASE("calls share one connection and return what the store answered")
{
    const scripted_server server{{{kind::Answer, httpAnswer("200 OK", RangeBody)}, {kind::Answer, httpAnswer("200 OK", TransactionBody)}}};
    store_client client{{{server.address()}, Long}};
    const auto read = client.call(readCall());
    CHECK(read == store_reply{{}, true, 5, {{"a", "b", 4}}});
    const auto written = client.call(writeCall());
    CHECK(written == store_reply{{}, true, 6, {}});
    CHECK(server.connections() == 1);
}

TEST_CASE("a failed transaction is told once and never sent again")
{
    const std::vector<failing_answer> cases{
        {"closed without answer", {kind::SendAndClose, ""}, Long, store_errc::AnswerLost, true},
        {"closed within the answer",
         {kind::SendAndClose, "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"},
         Long,
         store_errc::AnswerLost,
         true},
        {"no length", {kind::SendAndClose, "HTTP/1.1 200 OK\r\n\r\n{}"}, Long, store_errc::AnswerLost, true},
        {"not http", {kind::SendAndClose, "SSH-2.0-x\r\n"}, Long, store_errc::AnswerLost, true},
        {"silence", {kind::Silence, ""}, Short, store_errc::TimedOut, true},
        {"not json", {kind::Answer, httpAnswer("200 OK", "<html>")}, Long, store_errc::MalformedAnswer, true},
        {"no header", {kind::Answer, httpAnswer("200 OK", "{}")}, Long, store_errc::MalformedAnswer, true},
        {"refused", {kind::Answer, httpAnswer("400 Bad Request", "{}")}, Long, store_errc::Refused, false},
        {"busy", {kind::Answer, httpAnswer("429 Too Many Requests", "{}")}, Long, store_errc::Unavailable, true},
        {"failing", {kind::Answer, httpAnswer("503 Service Unavailable", "{}")}, Long, store_errc::Unavailable, true},
    };
    for (const auto &item : cases) {
        CAPTURE(item.name);
        const scripted_server first{{item.step, {kind::Answer, httpAnswer("200 OK", TransactionBody)}}};
        const scripted_server second{{{kind::Answer, httpAnswer("200 OK", TransactionBody)}}};
        store_client client{{{first.address(), second.address()}, item.timeout}};
        const auto reply = client.call(writeCall());
        CHECK(reply.error == item.error);
        CHECK(mayHaveTakenEffect(reply.error) == item.mayBeDone);
        CHECK_FALSE(reply.succeeded);
        CHECK(reply.error.message().find("; ") != std::string::npos);
        CHECK(first.requests() == 1);
        CHECK(second.requests() == 0);
    }
}

TEST_CASE("a read goes on to the next endpoint and stays with the one that answered")
{
    const scripted_server silent{{{kind::SendAndClose, ""}}};
    const scripted_server good{{{kind::Answer, httpAnswer("200 OK", RangeBody)}, {kind::Answer, httpAnswer("200 OK", RangeBody)}}};
    store_client client{{{closedAddress(), silent.address(), good.address()}, Long}};
    CHECK_FALSE(client.call(readCall()).error);
    CHECK_FALSE(client.call(readCall()).error);
    CHECK(silent.requests() == 1);
    CHECK(good.requests() == 2);
}

TEST_CASE("a read is not held up for the whole time by an endpoint that is silent")
{
    const scripted_server silent{{{kind::Silence, ""}}};
    const scripted_server good{{{kind::Answer, httpAnswer("200 OK", RangeBody)}}};
    store_client client{{{silent.address(), good.address()}, seconds{4}}};
    CHECK_FALSE(client.call(readCall()).error);
}

TEST_CASE("a transaction that no endpoint took has certainly no effect")
{
    const scripted_server good{{{kind::Answer, httpAnswer("200 OK", TransactionBody)}}};
    store_client client{{{closedAddress(), good.address()}, Long}};
    CHECK(client.call(writeCall()).succeeded);
    store_client alone{{{closedAddress(), {"not an address", 1}}, Long}};
    const auto reply = alone.call(writeCall());
    CHECK(reply.error == store_errc::Unreachable);
    CHECK_FALSE(mayHaveTakenEffect(reply.error));
    store_client nowhere{{{}, Long}};
    CHECK(nowhere.call(readCall()).error == store_errc::Unreachable);
}

TEST_CASE("a late answer is not taken for the answer to the next call")
{
    const scripted_server server{{{kind::Silence, ""}, {kind::Answer, httpAnswer("200 OK", RangeBody)}}};
    store_client client{{{server.address()}, Short}};
    CHECK(client.call(writeCall()).error == store_errc::TimedOut);
    store_client patient{{{server.address()}, Long}};
    CHECK(patient.call(readCall()).entries.size() == 1);
}
