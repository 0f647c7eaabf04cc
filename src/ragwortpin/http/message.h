#ifndef RAGWORTPIN_HTTP_MESSAGE_H
#define RAGWORTPIN_HTTP_MESSAGE_H

#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/http/fwd.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace ragwortpin {

namespace http = boost::beast::http;

/** Whole request in memory, bounded by http_limits. */
using http_request = http::request<http::string_body>;

/** Whole response in memory, bounded by http_limits. */
using http_response = http::response<http::string_body>;

/** Header fields of the system itself. All of them are removed from what callers and targets send. */
namespace field {
inline constexpr std::string_view Prefix{"ragwortpin-"};
/** Signed request context between nodes. */
inline constexpr std::string_view Context{"Ragwortpin-Context"};
/** Names the in-flight request towards its target, which sends it back with the calls it makes. */
inline constexpr std::string_view Request{"Ragwortpin-Request"};
/** Milliseconds that a target has for its whole answer. */
inline constexpr std::string_view Deadline{"Ragwortpin-Deadline-Ms"};
/** Execution outcome: not_run, ran or unknown. */
inline constexpr std::string_view Outcome{"Ragwortpin-Outcome"};
/** Token of the refusal kind when the system itself answered. */
inline constexpr std::string_view Refusal{"Ragwortpin-Refusal"};
/** Retry allowance that the callee did not use. */
inline constexpr std::string_view UnusedAllowance{"Ragwortpin-Unused-Allowance"};
/** Shed level of the callee's instance and of the services behind it. */
inline constexpr std::string_view ShedLevel{"Ragwortpin-Shed-Level"};
/** Requests in flight at the callee's target and its concurrency limit. */
inline constexpr std::string_view Load{"Ragwortpin-Load"};
/** Targets that the request may have arrived at. */
inline constexpr std::string_view Arrivals{"Ragwortpin-Arrivals"};
/** Milliseconds that a refused caller should wait; Retry-After has whole seconds only. */
inline constexpr std::string_view PauseMs{"Ragwortpin-Pause-Ms"};
} // namespace field

/** Bounds of what a listener or a client accepts. */
struct http_limits
{
    /** Largest header section, in bytes. */
    std::uint32_t headerBytes{16 * 1024};
    /** Largest request body, in bytes. */
    std::uint64_t requestBodyBytes{1024UL * 1024UL};
    /** Largest response body, in bytes. */
    std::uint64_t responseBodyBytes{8UL * 1024UL * 1024UL};
    /** Most connections that a listener keeps open. */
    std::size_t connections{1024};
    /** Longest wait for the next request on a kept-alive connection, and for a request to arrive whole. */
    duration idleTimeout{seconds{30}};

    bool operator==(const http_limits &) const = default;
};

/** TCP address by IP number. */
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

/** Removes the fields that belong to one connection only: Connection, Keep-Alive, TE, Upgrade and those that Connection names. */
void removeHopByHopFields(http::fields &fields);

/** Removes every field of the system itself. */
void removeInternalFields(http::fields &fields);

/** Builds the answer to a refused request: status, Ragwortpin-Refusal, Ragwortpin-Outcome, Retry-After and a JSON body with the remedy. */
[[nodiscard]] http_response makeRefusal(refusal_kind kind, outcome knownOutcome, duration retryAfter = duration::zero());

/** Views a text as the HTTP library's string view. */
[[nodiscard]] inline boost::beast::string_view toBeast(std::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/** Views a text of the HTTP library as a standard string view. */
[[nodiscard]] inline std::string_view toStd(boost::beast::string_view text) noexcept
{
    return {text.data(), text.size()};
}

/** Builds a response with the given status, content type and body. */
[[nodiscard]] http_response makeResponse(http::status status, std::string_view contentType, std::string body);

} // namespace ragwortpin

#endif
