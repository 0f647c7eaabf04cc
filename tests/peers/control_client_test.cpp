#include "ragwortpin/peers/control_client.h"

#include "ragwortpin/peers/control_server.h"
#include "ragwortpin/peers/signature.h"

#include "raw_server.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::test;

namespace {

const datagram_secrets Secrets{"current secret", "previous secret"};
const std::string Body{R"({"jsonrpc":"2.0","id":1,"result":{}})"};

struct control_answer_case
{
    std::string name;
    std::string statusLine;
    std::string fields;
    /** Body as it is sent, the signature being that of Body. */
    std::string sent;
    connection_end end{connection_end::Close};
    bool isAccepted{false};
};

} // namespace

TEST_CASE("a control call accepts whole and signed answers only")
{
    const std::string ok{"HTTP/1.1 200 OK"};
    const auto length = "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    const std::string chunked{"Transfer-Encoding: chunked\r\n"};
    const auto chunks = "24\r\n" + Body + "\r\n0\r\n\r\n";
    REQUIRE(Body.size() == 0x24);
    const std::vector<control_answer_case> cases{
        {"with a length", ok, length, Body, connection_end::Close, true},
        {"in chunks", ok, chunked, chunks, connection_end::Close, true},
        {"without a length", ok, "", Body, connection_end::Close, true},
        {"without a length, cut off", ok, "", Body.substr(0, 20)},
        {"without a length, reset", ok, "", Body.substr(0, 20), connection_end::Reset},
        {"with a length, cut off", ok, length, Body.substr(0, 20)},
        {"in chunks, cut off", ok, chunked, "24\r\n" + Body + "\r\n"},
        {"unknown coding", ok, "Transfer-Encoding: xchunked\r\n", Body},
        {"coding before chunked", ok, "Transfer-Encoding: gzip, chunked\r\n", chunks},
        {"status 000", "HTTP/1.1 000 ", length, Body},
        {"status 600", "HTTP/1.1 600 X", length, Body},
        {"invalid name of a field", ok, "X-Bad Name: v\r\n" + length, Body},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        raw_server server{{"127.0.0.1", 0}, ""};
        server.answerWith({entry.statusLine + "\r\n" + std::string{ControlSignatureHeader} + ": " + computeSignature(Body, Secrets.current)
                               + "\r\n" + entry.fields + "\r\n" + entry.sent,
                           entry.end});
        const auto result = postControlCall({server.address().address, server.address().port}, Secrets, "{}", seconds{20});
        CHECK(!result.error == entry.isAccepted);
        CHECK(result.body == (entry.isAccepted ? Body : ""));
    }
}
