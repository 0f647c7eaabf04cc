#include "platform_fleet.h"

#include "raw_client.h"
#include "raw_server.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

constexpr std::size_t Megabyte{1'000'000};
constexpr std::size_t UploadBytes{30 * Megabyte};

/** Header field of an answer by which the node tells that it belongs to the request. */
const std::string IdField{"X-Ragwortpin-Attempt-Id: raw\r\n"};

/** Two nodes as they are deployed. The target beside the second one sends chosen bytes. */
struct raw_target_fleet
{
    /** Uses the addresses of a network of loopback addresses, such as "127.0.40.". */
    explicit raw_target_fleet(const std::string &net)
        : store{{net + '1', PlatformStorePort}}
        , target{{net + '3', AppPort}, "X-Ragwortpin-Attempt-Id"}
        , front{"front", "profiles", net + '2', net + '1'}
        , back{"back", "bookings", net + '3', net + '1'}
    {
        store.put("op/config", twoServiceConfiguration());
        waitUntilServing();
    }

    void waitUntilServing()
    {
        front.host.waitUntil("the first node serves requests from the target of the second", [this] {
            static_cast<void>(back.announceTarget());
            return front.send(http::verb::post, "book", "ordinary").body == OrdinaryBody;
        });
    }

    /** Sends a request through both nodes and returns all bytes that come back. The target answers it with the given bytes. */
    std::string send(const std::string &method, std::size_t bodyBytes, const raw_answer &answer)
    {
        waitUntilServing();
        target.answerWith(answer);
        const std::string length{bodyBytes > 0 ? "Content-Length: " + std::to_string(bodyBytes) + "\r\n" : ""};
        return exchangeBytes(front.spec.ip,
                             OutboundPort,
                             method + " /book/1 HTTP/1.1\r\nHost: book.example\r\nConnection: close\r\nAuthorization: Bearer "
                                 + PlatformApiKey + "\r\nX-Ragwortpin-Attempt-Id: " + RawRequestId
                                 + "\r\nX-Ragwortpin-Deadline-Ms: 3000\r\n" + length + "\r\n" + std::string(bodyBytes, 'u'));
    }

    platform_store store;
    raw_server target;
    machine_process front;
    machine_process back;
};

struct broken_case
{
    std::string name;
    raw_answer answer;
    std::size_t bodyBytes{0};
};

/** Checks that the caller learns of each answer that it was lost, and gets none of its bytes. */
void checkNotPassedOn(const std::string &net, const std::vector<broken_case> &cases)
{
    raw_target_fleet fleet{net};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto received = fleet.send(entry.bodyBytes > 0 ? "POST" : "GET", entry.bodyBytes, entry.answer);
        CAPTURE(received);
        CHECK(received.starts_with("HTTP/1.1 502 "));
        CHECK(received.find("Ragwortpin-Refusal: answer_lost\r\n") != std::string::npos);
        CHECK(received.find("X-Ragwortpin-Server-Seal") == std::string::npos);
        CHECK(fleet.front.host.isRunning("node"));
        CHECK(fleet.back.host.isRunning("node"));
    }
}

/** Returns an answer with the status line, the fields and the seal of a target. */
std::string answerOf(const std::string &statusLine, const std::string &fields, const std::string &body)
{
    return statusLine + "\r\n" + IdField + "X-Ragwortpin-Server-Seal: s\r\n" + fields + "\r\n" + body;
}

std::string okAnswer(const std::string &fields, const std::string &body)
{
    return answerOf("HTTP/1.1 200 OK", fields, body);
}

} // namespace

TEST_CASE("an answer without a length that is reset while the request is being sent is not passed on")
{
    const auto part = okAnswer("", "part");
    checkNotPassedOn(
        "127.0.40.",
        {
            {"reset at once", {part, connection_end::Reset}, UploadBytes},
            {"reset after part of the upload", {part, connection_end::Reset, 10 * Megabyte}, UploadBytes},
            {"closed with unread bytes", {part, connection_end::CloseUnread}, UploadBytes},
            {"empty part", {okAnswer("", ""), connection_end::Reset}, UploadBytes},
            {"HTTP/1.0", {answerOf("HTTP/1.0 200 OK", "", "part"), connection_end::Reset}, UploadBytes},
            {"failure", {answerOf("HTTP/1.1 500 No", "", "part"), connection_end::Reset}, UploadBytes},
            {"part of a chunked body", {okAnswer("Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"), connection_end::Reset}, UploadBytes},
            {"part of a body with a length", {okAnswer("Content-Length: 8\r\n", "part"), connection_end::Reset}, UploadBytes},
            {"reset after a request without a body", {part, connection_end::Reset}},
        });
}

TEST_CASE("an answer whose status is 000 is not passed on")
{
    const std::string status{"HTTP/1.1 000 "};
    const std::string length{"Content-Length: 4\r\n"};
    const auto whole = okAnswer(length, "full");
    checkNotPassedOn("127.0.41.",
                     {
                         {"without a length", {answerOf(status, "", "part")}},
                         {"with a length", {answerOf(status, length, "full")}},
                         {"without a body", {answerOf(status, "Content-Length: 0\r\n", "")}},
                         {"in chunks", {answerOf(status, "Transfer-Encoding: chunked\r\n", "4\r\nfull\r\n0\r\n\r\n")}},
                         {"after an upload", {answerOf(status, length, "full"), connection_end::Close, UploadBytes}, UploadBytes},
                         {"reset while the request is being sent", {answerOf(status, "", "part"), connection_end::Reset}, UploadBytes},
                         {"without a length, before a whole answer", {answerOf(status, "", "") + whole}},
                         {"with a length, before a whole answer", {answerOf(status, length, "full") + whole}},
                     });
}

TEST_CASE("an answer in which the name of a field has an invalid character is not passed on")
{
    struct name_case
    {
        std::string name;
        std::string field;
    };
    const std::vector<name_case> names{
        {"blank", "X-Bad Name: v\r\n"},
        {"blank before the colon", "X-Bad : v\r\n"},
        {"tab", "X-Bad\tName: v\r\n"},
        {"control byte", "X-Bad\x01Name: v\r\n"},
        {"NUL", std::string{"X-Bad\0Name: v\r\n", 15}},
        {"DEL", "X-Bad\x7fName: v\r\n"},
        {"byte over 127", "X-Bad\xe9Name: v\r\n"},
        {"blank in the name of the length", "Content Length: 2\r\n"},
        {"no name", ": v\r\n"},
    };
    const std::string length{"Content-Length: 4\r\n"};
    const std::string chunked{"Transfer-Encoding: chunked\r\n"};
    std::vector<broken_case> cases;
    for (const auto &[name, field] : names) {
        std::string first{"HTTP/1.1 200 OK\r\n"};
        first.append(field).append(IdField).append(length).append("\r\nfull");
        cases.push_back({name + ", first line", {first}});
        cases.push_back({name + ", later line", {okAnswer(length + field, "full")}});
        cases.push_back({name + ", without a length", {okAnswer(field, "full")}});
        cases.push_back({name + ", trailer", {okAnswer(chunked, "4\r\nfull\r\n0\r\n" + field + "\r\n")}});
    }
    checkNotPassedOn("127.0.42.", cases);
}

TEST_CASE("an answer whose status is not defined by HTTP is not passed on")
{
    const std::string length{"Content-Length: 4\r\n"};
    std::vector<broken_case> cases;
    for (const std::string status : {"099", "600", "999", "101"}) {
        const auto line = "HTTP/1.1 " + status + " X";
        cases.push_back({status, {answerOf(line, length, "full")}});
        cases.push_back({status + " without a length", {answerOf(line, "", "full")}});
        cases.push_back({status + " before a whole answer", {answerOf(line, "Content-Length: 0\r\n", "") + okAnswer(length, "full")}});
    }
    checkNotPassedOn("127.0.43.", cases);
}

TEST_CASE("an answer in a transfer coding that the node does not decode is not passed on")
{
    const std::string body{"4\r\nfull\r\n0\r\n\r\n"};
    std::vector<broken_case> cases;
    for (const std::string codings :
         {"gzip", "xchunked", "chunked, gzip", "gzip, chunked", "identity", "chunked, chunked", "chunked;x=y", ""}) {
        cases.push_back({codings + ", closed", {okAnswer("Transfer-Encoding: " + codings + "\r\n", body)}});
        cases.push_back({codings + ", with a length", {okAnswer("Transfer-Encoding: " + codings + "\r\nContent-Length: 4\r\n", "full")}});
    }
    cases.push_back({"two lines", {okAnswer("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", body)}});
    checkNotPassedOn("127.0.44.", cases);
}

TEST_CASE("a whole answer is passed on however its end is marked")
{
    struct whole_case
    {
        std::string name;
        std::string method;
        std::size_t bodyBytes;
        raw_answer answer;
        std::string expectedStatusLine;
        std::string expectedBody;
        /** Value of Content-Length, or none if the field has to be missing. */
        std::optional<std::string> expectedLength;
    };
    const std::string chunkedField{"Transfer-Encoding: chunked\r\n"};
    const std::string lengthField{"Content-Length: 4\r\n"};
    const std::string chunks{"2\r\nfu\r\n2\r\nll\r\n0\r\n"};
    const std::string ok{"HTTP/1.1 200 OK"};
    const auto early = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
    const std::vector<whole_case> cases{
        {"with a length", "GET", 0, {okAnswer(lengthField, "full")}, ok, "full", "4"},
        {"in chunks", "GET", 0, {okAnswer(chunkedField, chunks + "\r\n")}, ok, "full", "4"},
        {"ended by its connection", "GET", 0, {okAnswer("", "full")}, ok, "full", "4"},
        {"ended by its connection, after an upload",
         "POST",
         UploadBytes,
         {okAnswer("", "full"), connection_end::Close, UploadBytes},
         ok,
         "full",
         "4"},
        {"ended by its connection, before the upload was read",
         "POST",
         UploadBytes,
         {okAnswer("", "full"), connection_end::ShutDownFirst},
         ok,
         "full",
         "4"},
        {"with a length, reset while the request is being sent",
         "POST",
         UploadBytes,
         {okAnswer(lengthField, "full"), connection_end::Reset},
         ok,
         "full",
         "4"},
        {"after interim answers",
         "GET",
         0,
         {"HTTP/1.1 100 Continue\r\n\r\n" + std::string{early} + okAnswer(lengthField, "full")},
         ok,
         "full",
         "4"},
        {"in chunks, with trailers",
         "GET",
         0,
         {okAnswer(chunkedField,
                   chunks + "X-Ragwortpin-Not-Executed: 1\r\nContent-Encoding: gzip\r\nX-Ragwortpin-Attempt-Id: other\r\n\r\n")},
         ok,
         "full",
         "4"},
        {"to HEAD, with a length", "HEAD", 0, {okAnswer(lengthField, "")}, ok, "", "4"},
        {"to HEAD, without a length", "HEAD", 0, {okAnswer("", "")}, ok, "", std::nullopt},
        {"to HEAD, in chunks", "HEAD", 0, {okAnswer(chunkedField, "")}, ok, "", std::nullopt},
        {"304 with a length", "GET", 0, {answerOf("HTTP/1.1 304 Not Modified", lengthField, "")}, "HTTP/1.1 304 Not Modified", "", "4"},
        {"204", "GET", 0, {answerOf("HTTP/1.1 204 No Content", "", "")}, "HTTP/1.1 204 No Content", "", std::nullopt},
    };
    raw_target_fleet fleet{"127.0.45."};
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        const auto received = fleet.send(entry.method, entry.bodyBytes, entry.answer);
        CAPTURE(received);
        CHECK(received.starts_with(entry.expectedStatusLine + "\r\n"));
        CHECK(received.find("X-Ragwortpin-Server-Seal: s\r\n") != std::string::npos);
        CHECK(received.find("Content-Encoding") == std::string::npos);
        const auto headEnd = received.find("\r\n\r\n");
        REQUIRE(headEnd != std::string::npos);
        CHECK(received.substr(headEnd + 4) == entry.expectedBody);
        const bool hasLength{received.find("Content-Length: ") != std::string::npos};
        CHECK(hasLength == entry.expectedLength.has_value());
        CHECK((!entry.expectedLength || received.find("Content-Length: " + *entry.expectedLength + "\r\n") != std::string::npos));
    }
}
