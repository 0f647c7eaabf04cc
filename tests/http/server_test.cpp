#include "loopback.h"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

struct request_case
{
    std::string name;
    std::string bytes;
    std::string expectedStart;
    std::size_t expectedRefusals;
};

/** Sends raw bytes, reads until the end of a response header and returns the bytes received. Then closes the connection. */
std::string sendRaw(boost::asio::io_context &context, std::uint16_t port, const std::string &bytes)
{
    std::string answer;
    runOn(context, [&]() -> boost::asio::awaitable<void> {
        boost::asio::ip::tcp::socket socket{context};
        const boost::asio::ip::tcp::endpoint server{boost::asio::ip::make_address("127.0.0.1"), port};
        co_await socket.async_connect(server, boost::asio::use_awaitable);
        boost::system::error_code error;
        co_await boost::asio::async_write(
            socket, boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        std::string part(4096, '\0');
        while (!error && answer.find("\r\n\r\n") == std::string::npos) {
            const auto size = co_await socket.async_read_some(boost::asio::buffer(part),
                                                              boost::asio::redirect_error(boost::asio::use_awaitable, error));
            answer.append(part, 0, size);
        }
    });
    return answer;
}

/** Request that a listener would read if it took the body of another for empty. */
const std::string InnerRequest{"GET /inner HTTP/1.1\r\nHost: a\r\n\r\n"};

std::string manyTrailers()
{
    constexpr unsigned Count{60'000};
    std::string text;
    for (unsigned index{0}; index < Count; ++index) {
        text += "A: b\r\n";
    }
    return text + "\r\n";
}

} // namespace

TEST_CASE("the listener answers complete requests and refuses malformed or oversized ones as not run")
{
    const std::vector<request_case> cases{
        {"complete", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200", 0},
        {"head", "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200", 0},
        {"expects 100-continue", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 100", 0},
        {"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400", 1},
        {"bad length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400", 1},
        {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400", 1},
        {"length and chunked encoding",
         "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "HTTP/1.1 400",
         1},
        {"chunked encoding", "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "HTTP/1.1 200", 0},
        {"unknown coding", "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n" + InnerRequest, "HTTP/1.1 400", 1},
        {"coding behind chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n" + InnerRequest, "HTTP/1.1 400", 1},
        {"coding before chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "HTTP/1.1 400", 1},
        {"codings in two fields",
         "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
         "HTTP/1.1 400",
         1},
        {"unknown coding and a length", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 400", 1},
        {"unknown coding, expects 100-continue",
         "POST / HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: xchunked\r\n\r\n",
         "HTTP/1.1 400",
         1},
        {"trailers without end",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " + std::string(400'000, 'x'),
         "HTTP/1.1 431",
         1},
        {"too many trailers", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + manyTrailers(), "HTTP/1.1 431", 1},
        {"oversized header", "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", "HTTP/1.1 431", 1},
        {"oversized body", "POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n", "HTTP/1.1 413", 1},
        {"oversized chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n9000000\r\n" + std::string(3000, 'x'), "HTTP/1.1 413", 1},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        boost::asio::io_context context{1};
        std::vector<refusal_kind> refusals;
        unsigned handled{0};
        http_server server{context,
                           {},
                           [&handled](http_request, std::shared_ptr<call_control>) -> boost::asio::awaitable<http_response> {
                               ++handled;
                               co_return makeResponse(http::status::ok, "text/plain", "fine");
                           },
                           [&refusals](refusal_kind kind) {
                               refusals.push_back(kind);
                           }};
        REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
        const auto answer = sendRaw(context, server.port(), entry.bytes);
        CHECK(answer.substr(0, entry.expectedStart.size()) == entry.expectedStart);
        CHECK(refusals.size() == entry.expectedRefusals);
        if (entry.expectedRefusals > 0) {
            CHECK(handled == 0);
            CHECK(answer.find("Ragwortpin-Outcome: not_run") != std::string::npos);
        }
    }
}

TEST_CASE("trailers of a request do not become fields of its header section")
{
    struct trailer_case
    {
        std::string name;
        std::string fields;
        std::string trailers;
    };
    const std::vector<trailer_case> cases{
        {"none", "X-Id: a\r\n", ""},
        {"new field", "X-Id: a\r\n", "X-Other: b\r\n"},
        {"field that the header section has", "X-Id: a\r\n", "X-Id: b\r\n"},
        {"several", "X-Id: a\r\n", "Authorization: b\r\nX-ID: b\r\nConnection: X-Id\r\n"},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        boost::asio::io_context context{1};
        std::vector<std::string> fields;
        std::string body;
        http_server server{context,
                           {},
                           [&](http_request request, std::shared_ptr<call_control>) -> boost::asio::awaitable<http_response> {
                               for (const auto &field : request) {
                                   fields.push_back(std::string{field.name_string()} + ": " + std::string{field.value()});
                               }
                               body = request.body();
                               co_return makeResponse(http::status::ok, "text/plain", "fine");
                           },
                           [](refusal_kind) {}};
        REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
        const auto answer = sendRaw(context,
                                    server.port(),
                                    "POST / HTTP/1.1\r\n" + entry.fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
                                        + entry.trailers + "\r\n");
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(fields == std::vector<std::string>{"X-Id: a", "Transfer-Encoding: chunked"});
        CHECK(body == "hi");
    }
}

TEST_CASE("hop-by-hop and internal fields are removed")
{
    http_request request{http::verb::get, "/", 11};
    request.set("Connection", "close, X-Private");
    request.set("X-Private", "1");
    request.set("Keep-Alive", "5");
    request.set("RAGWORTPIN-Context", "forged");
    request.set("ragwortpin-anything", "forged");
    request.set("Accept", "*/*");
    removeHopByHopFields(request);
    removeInternalFields(request);
    CHECK(std::distance(request.begin(), request.end()) == 1);
    CHECK(request[http::field::accept] == "*/*");
}

TEST_CASE("pipelined requests run concurrently and are answered in order of arrival")
{
    boost::asio::io_context context{1};
    std::size_t running{0};
    std::size_t maxRunning{0};
    http_server server{context,
                       {},
                       [&](http_request request, std::shared_ptr<call_control>) -> boost::asio::awaitable<http_response> {
                           ++running;
                           maxRunning = std::max(maxRunning, running);
                           const bool slow{request.target() == "/first"};
                           boost::asio::steady_timer pause{context, slow ? milliseconds{80} : milliseconds{5}};
                           co_await pause.async_wait(boost::asio::use_awaitable);
                           --running;
                           co_return makeResponse(http::status::ok, "text/plain", std::string{request.target()});
                       },
                       [](refusal_kind) {}};
    REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    std::string answers;
    runOn(context, [&]() -> boost::asio::awaitable<void> {
        boost::asio::ip::tcp::socket socket{context};
        const boost::asio::ip::tcp::endpoint address{boost::asio::ip::make_address("127.0.0.1"), server.port()};
        co_await socket.async_connect(address, boost::asio::use_awaitable);
        const std::string requests{"GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n"
                                   "GET /third HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /never HTTP/1.1\r\nHost: a\r\n\r\n"};
        co_await boost::asio::async_write(socket, boost::asio::buffer(requests), boost::asio::use_awaitable);
        boost::system::error_code error;
        std::string part(4096, '\0');
        while (!error) {
            const auto size = co_await socket.async_read_some(boost::asio::buffer(part),
                                                              boost::asio::redirect_error(boost::asio::use_awaitable, error));
            answers.append(part, 0, size);
        }
        CHECK(error == boost::asio::error::eof);
    });
    CHECK(maxRunning == 3);
    const auto first = answers.find("/first");
    const auto second = answers.find("/second");
    const auto third = answers.find("/third");
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third != std::string::npos);
    CHECK(answers.find("/never") == std::string::npos);
}

TEST_CASE("a client that disconnects cancels all of its pending requests")
{
    boost::asio::io_context context{1};
    std::vector<std::shared_ptr<call_control>> served;
    http_server server{context,
                       {},
                       [&](http_request, std::shared_ptr<call_control> control) -> boost::asio::awaitable<http_response> {
                           served.push_back(control);
                           boost::asio::steady_timer never{context, std::chrono::hours{1}};
                           control->onCancel([&never] {
                               never.cancel();
                           });
                           boost::system::error_code ignored;
                           co_await never.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
                           co_return makeResponse(http::status::ok, "text/plain", "late");
                       },
                       [](refusal_kind) {}};
    REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    runOn(context, [&]() -> boost::asio::awaitable<void> {
        {
            boost::asio::ip::tcp::socket socket{context};
            const boost::asio::ip::tcp::endpoint address{boost::asio::ip::make_address("127.0.0.1"), server.port()};
            co_await socket.async_connect(address, boost::asio::use_awaitable);
            const std::string requests{"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"};
            co_await boost::asio::async_write(socket, boost::asio::buffer(requests), boost::asio::use_awaitable);
            while (served.size() < 2) {
                boost::asio::steady_timer pause{context, milliseconds{5}};
                co_await pause.async_wait(boost::asio::use_awaitable);
            }
        }
        while (server.requestsInFlight() > 0) {
            boost::asio::steady_timer pause{context, milliseconds{5}};
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
    });
    CHECK(served[0]->cancelled());
    CHECK(served[1]->cancelled());
}

TEST_CASE("a client that disconnects behind more pipelined requests than are read cancels those that are served")
{
    constexpr unsigned Sent{40};
    constexpr milliseconds Limit{500};
    boost::asio::io_context context{1};
    std::vector<std::shared_ptr<call_control>> served;
    http_server server{context,
                       {},
                       [&](http_request, std::shared_ptr<call_control> control) -> boost::asio::awaitable<http_response> {
                           served.push_back(control);
                           boost::asio::steady_timer work{context, seconds{2}};
                           control->onCancel([&work] {
                               work.cancel();
                           });
                           boost::system::error_code ignored;
                           co_await work.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
                           control->onCancel(nullptr);
                           co_return makeResponse(http::status::ok, "text/plain", "late");
                       },
                       [](refusal_kind) {}};
    REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    runOn(context, [&]() -> boost::asio::awaitable<void> {
        {
            boost::asio::ip::tcp::socket socket{context};
            const boost::asio::ip::tcp::endpoint address{boost::asio::ip::make_address("127.0.0.1"), server.port()};
            co_await socket.async_connect(address, boost::asio::use_awaitable);
            std::string requests;
            for (unsigned index{0}; index < Sent; ++index) {
                requests += "GET /work HTTP/1.1\r\nHost: a\r\n\r\n";
            }
            co_await boost::asio::async_write(socket, boost::asio::buffer(requests), boost::asio::use_awaitable);
            boost::asio::steady_timer pause{context, milliseconds{100}};
            co_await pause.async_wait(boost::asio::use_awaitable);
        }
        boost::asio::steady_timer pause{context, Limit};
        co_await pause.async_wait(boost::asio::use_awaitable);
        CHECK(server.requestsInFlight() == 0);
    });
    CHECK(served.size() < Sent);
    for (const auto &control : served) {
        CHECK(control->cancelled());
    }
}

namespace {

/** Bytes that a client sends before it disconnects, and how. */
struct disconnect_case
{
    std::string name;
    std::string bytes;
    bool isReset;
};

/** Waits until the peer's kernel has acknowledged the end of the sent bytes. */
void waitUntilEndIsAcknowledged(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    do {
        socklen_t size{sizeof(info)};
        REQUIRE(::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0);
    } while (info.tcpi_state != TCP_FIN_WAIT2);
}

/** Connects, sends the bytes and disconnects before the server's event loop runs. */
void sendAndDisconnect(std::uint16_t port, const disconnect_case &entry)
{
    boost::asio::io_context clientContext;
    boost::asio::ip::tcp::socket socket{clientContext};
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::asio::write(socket, boost::asio::buffer(entry.bytes));
    if (entry.isReset) {
        socket.set_option(boost::asio::socket_base::linger{true, 0});
    } else {
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
        waitUntilEndIsAcknowledged(socket);
    }
    socket.close();
}

} // namespace

TEST_CASE("a request whose client disconnected before it was read is not run")
{
    const std::string request{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"};
    const std::vector<disconnect_case> cases{
        {"one request", request, false},
        {"pipelined requests", request + request + request, false},
        {"request with a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi", false},
        {"reset connection", request, true},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        boost::asio::io_context context{1};
        std::size_t handled{0};
        std::size_t abandoned{0};
        http_server server{context,
                           {},
                           [&handled](http_request, std::shared_ptr<call_control>) -> boost::asio::awaitable<http_response> {
                               ++handled;
                               co_return makeResponse(http::status::ok, "text/plain", "fine");
                           },
                           [](refusal_kind) {},
                           [&abandoned](const http_request &) {
                               ++abandoned;
                           }};
        REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
        sendAndDisconnect(server.port(), entry);
        while (context.poll() > 0) { }
        CHECK(handled == 0);
        CHECK(abandoned == 1);
        CHECK(server.connections() == 0);
        CHECK(server.requestsInFlight() == 0);
    }
}

TEST_CASE("connections do not wait in the accept queue while the event loop is busy with others")
{
    constexpr std::size_t WaitingConnections{50};
    constexpr std::size_t BusyTasks{100};
    boost::asio::io_context context{1};
    http_server server{context,
                       {},
                       [](http_request, std::shared_ptr<call_control>) -> boost::asio::awaitable<http_response> {
                           co_return makeResponse(http::status::ok, "text/plain", "fine");
                       },
                       [](refusal_kind) {}};
    REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    boost::asio::io_context clientContext;
    std::vector<boost::asio::ip::tcp::socket> clients;
    for (std::size_t client{0}; client < WaitingConnections; ++client) {
        clients.emplace_back(clientContext).connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
    }
    std::size_t executed{0};
    std::function<void()> busyTask = [&] {
        ++executed;
        boost::asio::post(context, busyTask);
    };
    for (std::size_t task{0}; task < BusyTasks; ++task) {
        boost::asio::post(context, busyTask);
    }
    constexpr std::size_t MaxLoopPasses{10};
    while (server.connections() < WaitingConnections && executed < MaxLoopPasses * BusyTasks) {
        context.run_one();
    }
    CHECK(server.connections() == WaitingConnections);
    context.stop();
}

namespace {

/** What a client has sent when the listener is closed, and what it sends afterwards. */
struct close_case
{
    std::string name;
    std::string before;
    std::string after;
    /** Whether the server's event loop accepts the connection and reads what was sent before the listener is closed. */
    bool isAccepted;
    /** Number of complete answers that the client receives. */
    std::size_t answers;
};

std::size_t countAnswers(const std::string &text)
{
    std::size_t count{0};
    for (auto position = text.find("HTTP/1.1 200"); position != std::string::npos; position = text.find("HTTP/1.1 200", position + 1)) {
        ++count;
    }
    return count;
}

/** Reads until the server closes the connection, while its event loop runs. */
std::string readUntilClosed(boost::asio::io_context &context, boost::asio::ip::tcp::socket &socket)
{
    std::string answers;
    runOn(context, [&]() -> boost::asio::awaitable<void> {
        boost::system::error_code error;
        std::string part(4096, '\0');
        while (!error) {
            const auto size = co_await socket.async_read_some(boost::asio::buffer(part),
                                                              boost::asio::redirect_error(boost::asio::use_awaitable, error));
            answers.append(part, 0, size);
        }
    });
    return answers;
}

} // namespace

TEST_CASE("requests that arrived before the listener was closed are answered")
{
    const std::string request{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"};
    const std::string posted{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"};
    const std::vector<close_case> cases{
        {"in the accept queue", request, "", false, 1},
        {"in the accept queue, header in part", request.substr(0, 9), request.substr(9), false, 1},
        {"not read yet", request, "", true, 1},
        {"header read in part", request.substr(0, 9), request.substr(9), true, 1},
        {"body not received yet", posted, "body", true, 1},
        {"body received in part", posted + "bo", "dy", true, 1},
        {"idle connection", "", "", true, 0},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        boost::asio::io_context context{1};
        http_server server{context,
                           {},
                           [](http_request, std::shared_ptr<call_control>) -> boost::asio::awaitable<http_response> {
                               co_return makeResponse(http::status::ok, "text/plain", "fine");
                           },
                           [](refusal_kind) {}};
        REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
        boost::asio::ip::tcp::socket socket{context};
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
        if (entry.isAccepted) {
            while (server.connections() == 0) {
                context.run_one();
            }
        }
        boost::asio::write(socket, boost::asio::buffer(entry.before));
        const bool isReadInPart{entry.isAccepted && !entry.after.empty()};
        if (isReadInPart) {
            context.run_for(milliseconds{20});
        }
        server.startDraining();
        server.closeIdleConnections();
        CHECK((server.unreadConnections() > 0) == (entry.answers > 0));
        boost::asio::write(socket, boost::asio::buffer(entry.after));
        CHECK(countAnswers(readUntilClosed(context, socket)) == entry.answers);
        CHECK(server.requestsInFlight() == 0);
        CHECK(server.unreadConnections() == 0);
    }
}

TEST_CASE("an exception of a handler fails its request and nothing else")
{
    boost::asio::io_context context{1};
    std::vector<refusal_kind> refusals;
    http_server server{context,
                       {},
                       [](http_request request, std::shared_ptr<call_control>) -> boost::asio::awaitable<http_response> {
                           if (request.target() == "/fails") {
                               throw std::runtime_error{"unexpected"};
                           }
                           co_return makeResponse(http::status::ok, "text/plain", "fine");
                       },
                       [&refusals](refusal_kind kind) {
                           refusals.push_back(kind);
                       }};
    REQUIRE_FALSE(server.listen({"127.0.0.1", 0}));
    const auto failed = sendRaw(context, server.port(), "GET /fails HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(failed.substr(0, 12) == "HTTP/1.1 500");
    CHECK(failed.find("Ragwortpin-Outcome: unknown") != std::string::npos);
    CHECK(refusals == std::vector{refusal_kind::InternalError});
    CHECK(server.requestsInFlight() == 0);
    CHECK(sendRaw(context, server.port(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n").substr(0, 12) == "HTTP/1.1 200");
}
