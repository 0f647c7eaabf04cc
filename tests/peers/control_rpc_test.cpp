#include "ragwortpin/peers/control_rpc_jsonrpc.h"
#include "ragwortpin/peers/control_server.h"
#include "ragwortpin/peers/signature.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

const datagram_secrets Secrets{"current secret", "previous secret"};

control_methods makeMethods(const configuration_answer &answer)
{
    control_methods methods;
    methods.getConfiguration = [answer](std::uint64_t baseRevision) {
        auto result = answer;
        result.baseRevision = baseRevision;
        return result;
    };
    methods.getStatus = [] {
        return status_answer{"node-a", 7, "A configuration is in force.", 3};
    };
    return methods;
}

/** Returns a transport that passes each call to processControlCall() without a network. */
control_transport inProcessTransport(const control_methods &methods)
{
    return [&methods](const std::string &request, std::string &answer) {
        answer = processControlCall(methods, request);
        return true;
    };
}

struct malformed_case
{
    const char *body;
};

} // namespace

TEST_CASE("configuration call transmits revisions and text unchanged")
{
    rc::prop("received answer equals the sent one", [](std::uint64_t revision, std::uint64_t baseRevision, const std::string &middle) {
        const auto methods = makeMethods({revision, "digest", 0, 3, 4, middle});
        configuration_answer answer;
        RC_ASSERT(callGetConfiguration(inProcessTransport(methods), baseRevision, answer));
        RC_ASSERT(answer.revision == revision);
        RC_ASSERT(answer.baseRevision == baseRevision);
        RC_ASSERT(answer.prefixBytes == 3U);
        RC_ASSERT(answer.suffixBytes == 4U);
        RC_ASSERT(answer.middle == middle);
    });
}

TEST_CASE("status call returns the status of the node")
{
    const auto methods = makeMethods({});
    status_answer answer;
    REQUIRE(callGetStatus(inProcessTransport(methods), answer));
    REQUIRE(answer.name == "node-a");
    REQUIRE(answer.revision == 7);
    REQUIRE(answer.instances == 3);
}

TEST_CASE("malformed control call is answered with an error")
{
    const std::vector<malformed_case> cases{
        {""},
        {"{"},
        {"[]"},
        {R"({"jsonrpc":"2.0","id":1,"method":"unknown"})"},
        {R"({"jsonrpc":"2.0","id":1,"method":"configuration.get","params":{"baseRevision":"x"}})"},
        {R"({"jsonrpc":"2.0","id":1,"method":"configuration.get","params":{}})"},
    };
    const auto methods = makeMethods({});
    for (const auto &item : cases) {
        CAPTURE(item.body);
        REQUIRE(processControlCall(methods, item.body).find("error") != std::string::npos);
    }
}

TEST_CASE("control call fails if the answer is malformed")
{
    for (const auto *body :
         {"", "{}", "[1]", R"({"jsonrpc":"2.0","id":1,"result":{"revision":"x"}})", R"({"jsonrpc":"2.0","id":1,"result":5})"}) {
        CAPTURE(body);
        const control_transport transport = [body](const std::string &, std::string &answer) {
            answer = body;
            return true;
        };
        configuration_answer answer;
        REQUIRE_FALSE(callGetConfiguration(transport, 0, answer));
    }
}

TEST_CASE("control call without an accepted signature is refused")
{
    const auto methods = makeMethods({});
    const std::string body{R"({"jsonrpc":"2.0","id":1,"method":"status"})"};
    REQUIRE(answerControlCall(methods, Secrets, body, computeSignature(body, "another")).httpStatus == 403);
    REQUIRE(answerControlCall(methods, Secrets, body, "").httpStatus == 403);
    REQUIRE(answerControlCall(methods, {"", ""}, body, computeSignature(body, "")).httpStatus == 403);
    const auto answer = answerControlCall(methods, Secrets, body, computeSignature(body, Secrets.previous));
    REQUIRE(answer.httpStatus == 200);
    REQUIRE(hasValidSignature(answer.body, answer.signature, Secrets));
}
