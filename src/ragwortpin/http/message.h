#ifndef RAGWORTPIN_HTTP_MESSAGE_H
#define RAGWORTPIN_HTTP_MESSAGE_H

#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/http/fwd.h"
#include "ragwortpin/http/message_body.h"

#include <boost/beast/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace ragwortpin {

namespace http = boost::beast::http;

/** Complete request held in memory; its size is bounded by http_limits. */
using http_request = http::request<message_body>;

/** Complete response held in memory; its size is bounded by http_limits. */
using http_response = http::response<message_body>;

/** Header fields internal to ragwortpin. All of them are removed from messages of callers and targets. */
namespace field {
inline constexpr std::string_view Prefix{"ragwortpin-"};
/** Signed request context, sent from node to node. */
inline constexpr std::string_view Context{"Ragwortpin-Context"};
/** Identifies the in-flight request to its target, which repeats the value on the outgoing calls it makes. */
inline constexpr std::string_view Request{"Ragwortpin-Request"};
/** Time in milliseconds that a target has for its complete response. */
inline constexpr std::string_view Deadline{"Ragwortpin-Deadline-Ms"};
/** Execution outcome of the request: not_run, ran or unknown. */
inline constexpr std::string_view Outcome{"Ragwortpin-Outcome"};
/** Token of the refusal kind; present if ragwortpin itself generated the response. */
inline constexpr std::string_view Refusal{"Ragwortpin-Refusal"};
/** Part of the retry allowance that the callee did not use. */
inline constexpr std::string_view UnusedAllowance{"Ragwortpin-Unused-Allowance"};
/** Shed levels of the callee's instance and of the services downstream of it. */
inline constexpr std::string_view ShedLevel{"Ragwortpin-Shed-Level"};
/** Number of requests in flight at the callee's target, and its concurrency limit. */
inline constexpr std::string_view Load{"Ragwortpin-Load"};
/** Number of targets that the request may have reached. */
inline constexpr std::string_view Arrivals{"Ragwortpin-Arrivals"};
/** Time in milliseconds that a refused caller should wait before it retries; Retry-After has whole seconds only. */
inline constexpr std::string_view PauseMs{"Ragwortpin-Pause-Ms"};
} // namespace field

/** Limits on the messages and connections that a listener or a client accepts. */
struct http_limits
{
    /** Largest header section, in bytes. */
    std::uint32_t headerBytes{16 * 1024};
    /** Largest request body, in bytes. */
    std::uint64_t requestBodyBytes{1024UL * 1024UL};
    /** Largest response body, in bytes. */
    std::uint64_t responseBodyBytes{8UL * 1024UL * 1024UL};
    /** Maximum number of connections that a listener keeps open. */
    std::size_t connections{1024};
    /** Timeout for the next request on a kept-alive connection, and for a request to arrive completely. */
    duration idleTimeout{seconds{30}};

    bool operator==(const http_limits &) const = default;
};

/** TCP endpoint with a numeric IP address. */
struct endpoint
{
    std::string address;
    std::uint16_t port{0};

    bool operator==(const endpoint &) const = default;

    /** Orders by address, then port. */
    [[nodiscard]] bool operator<(const endpoint &other) const noexcept
    {
        return std::tie(address, port) < std::tie(other.address, other.port);
    }
};

/** Removes the hop-by-hop fields, such as Connection, Keep-Alive, TE, Upgrade and Expect, and the fields that Connection lists. */
void removeHopByHopFields(http::fields &fields);

/** Removes every field whose name begins with field::Prefix, regardless of case. */
void removeInternalFields(http::fields &fields);

/**
 * Sets Content-Length to the size of the body of a response that is relayed. A response to HEAD and one with status 304 have no body and
 * keep the length that they name, which is that of a response to GET; one with status 204 has none (RFC 9110, 8.6).
 */
void setRelayedLength(http_response &response, bool isResponseToHead);

/** Builds a refusal: status, Ragwortpin-Refusal and -Outcome, JSON body with the remedy; Retry-After and -Pause-Ms if positive. */
[[nodiscard]] http_response makeRefusalResponse(refusal_kind kind, outcome knownOutcome, duration retryAfter = duration::zero());

/** Converts a standard string view to one of Boost.Beast. */
[[nodiscard]] inline boost::beast::string_view toBeast(std::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/** Converts a string view of Boost.Beast to a standard one. */
[[nodiscard]] inline std::string_view toStd(boost::beast::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/** Builds a response with the given status, content type and body. */
[[nodiscard]] http_response makeResponse(http::status status, std::string_view contentType, std::string body);

} // namespace ragwortpin

#endif
