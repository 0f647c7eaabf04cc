#include "ragwortpin/peers/control_client.h"

#include "ragwortpin/http/bounded_read.h"
#include "ragwortpin/peers/control_server.h"
#include "ragwortpin/peers/error.h"
#include "ragwortpin/peers/signature.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace ragwortpin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned HttpVersion{11};
constexpr std::size_t MaxAnswerBytes{8'000'000};
constexpr std::uint32_t MaxAnswerHeaderBytes{8UL * 1024UL};

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

boost::beast::string_view toBeastView(std::string_view text)
{
    return {text.data(), text.size()};
}

request makeRequest(const peer_address &peer, const datagram_secrets &secrets, const std::string &body)
{
    request result{http::verb::post, toBeastView(ControlPath), HttpVersion, body};
    result.set(http::field::host, peer.address);
    result.set(http::field::content_type, "application/json");
    result.set(http::field::connection, "close");
    result.set(toBeastView(ControlSignatureHeader), computeSignature(body, secrets.current));
    result.prepare_payload();
    return result;
}

asio::awaitable<void> exchange(const peer_address &peer, const request &call, duration timeout, response &answer)
{
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(timeout);
    const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(peer.address), peer.port};
    co_await stream.async_connect(endpoint, asio::use_awaitable);
    co_await http::async_write(stream, call, asio::use_awaitable);
    auto buffer = makeReadBuffer(MaxAnswerHeaderBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    parser.header_limit(MaxAnswerHeaderBytes);
    boost::system::error_code error;
    co_await readBounded(stream, buffer, parser, error);
    if (error) {
        throw boost::system::system_error{error};
    }
    answer = parser.release();
}

std::error_code toPeersError(const std::exception_ptr &exception)
{
    try {
        std::rethrow_exception(exception);
    } catch (const boost::system::system_error &error) {
        return error.code() == beast::error::timeout ? peers_errc::PeerTimeout : peers_errc::PeerUnreachable;
    }
}

std::error_code verifyAnswer(const response &answer, const datagram_secrets &secrets)
{
    const auto signature = answer[toBeastView(ControlSignatureHeader)];
    const auto isValid
        = answer.result() == http::status::ok && hasValidSignature(answer.body(), {signature.data(), signature.size()}, secrets);
    return isValid ? std::error_code{} : make_error_code(peers_errc::PeerAnswerInvalid);
}

/** Returns a transport for the JSON-RPC client that stores the error of each call in the given variable. */
control_transport makeTransport(const peer_address &peer, const datagram_secrets &secrets, duration timeout, std::error_code &error)
{
    return [&peer, &secrets, timeout, &error](const std::string &body, std::string &answer) {
        auto result = postControlCall(peer, secrets, body, timeout);
        error = result.error;
        answer = std::move(result.body);
        return !error;
    };
}

/** Returns the error of a call that the JSON-RPC client reported as failed: the transport's, or PeerAnswerInvalid if it had none. */
std::error_code callError(const std::error_code &transportError)
{
    return transportError ? transportError : make_error_code(peers_errc::PeerAnswerInvalid);
}

} // namespace

control_call_result postControlCall(const peer_address &peer, const datagram_secrets &secrets, const std::string &body, duration timeout)
{
    asio::io_context context;
    response answer;
    control_call_result result;
    const auto call = makeRequest(peer, secrets, body);
    asio::co_spawn(context, exchange(peer, call, timeout, answer), [&result](const std::exception_ptr &exception) {
        if (exception) {
            result.error = toPeersError(exception);
        }
    });
    context.run();
    if (!result.error) {
        result.error = verifyAnswer(answer, secrets);
    }
    if (!result.error) {
        result.body = std::move(answer.body());
    }
    return result;
}

pull_reply pullConfiguration(const pull_request &request, const datagram_secrets &secrets, duration timeout)
{
    pull_reply reply;
    reply.id = request.id;
    std::error_code error;
    configuration_answer answer;
    if (!callGetConfiguration(makeTransport(request.control, secrets, timeout, error), request.baseRevision, answer)) {
        reply.error = callError(error);
        return reply;
    }
    reply.patch = {answer.revision, answer.digest, answer.baseRevision, answer.prefixBytes, answer.suffixBytes, std::move(answer.middle)};
    return reply;
}

fetch_status_result fetchStatus(const peer_address &peer, const datagram_secrets &secrets, duration timeout)
{
    fetch_status_result result;
    std::error_code error;
    if (!callGetStatus(makeTransport(peer, secrets, timeout, error), result.status)) {
        result.error = callError(error);
    }
    return result;
}

} // namespace ragwortpin
