#include "ragwortpin/http/message.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace ragwortpin {

namespace {

constexpr unsigned HttpVersion{11};

std::string jsonBody(const refusal_description &description, outcome knownOutcome)
{
    std::string body{"{\"refusal\":\""};
    body.append(description.token);
    body.append("\",\"outcome\":\"");
    body.append(toToken(knownOutcome));
    body.append("\",\"message\":\"");
    body.append(description.message);
    body.append("\"}\n");
    return body;
}

} // namespace

void removeHopByHopFields(http::fields &fields)
{
    std::vector<std::string> connectionFields;
    const http::token_list connectionTokens{fields[http::field::connection]};
    for (const auto token : connectionTokens) {
        connectionFields.emplace_back(token);
    }
    for (const auto &name : connectionFields) {
        fields.erase(name);
    }
    constexpr std::array HopByHopFields{http::field::connection,
                                        http::field::keep_alive,
                                        http::field::proxy_authenticate,
                                        http::field::proxy_authorization,
                                        http::field::proxy_connection,
                                        http::field::te,
                                        http::field::trailer,
                                        http::field::transfer_encoding,
                                        http::field::upgrade,
                                        http::field::expect};
    for (const auto name : HopByHopFields) {
        fields.erase(name);
    }
}

void removeInternalFields(http::fields &fields)
{
    std::vector<std::string> internalNames;
    for (const auto &entry : fields) {
        const auto name = entry.name_string();
        if (boost::beast::iequals(name.substr(0, field::Prefix.size()), toBeast(field::Prefix))) {
            internalNames.emplace_back(name);
        }
    }
    for (const auto &name : internalNames) {
        fields.erase(name);
    }
}

void setRelayedLength(http_response &response, bool isResponseToHead)
{
    if (response.result() == http::status::no_content) {
        response.erase(http::field::content_length);
    } else if (!isResponseToHead && response.result() != http::status::not_modified) {
        response.prepare_payload();
    }
}

http_response makeRefusalResponse(refusal_kind kind, outcome knownOutcome, duration retryAfter)
{
    const auto &description = describe(kind);
    auto response
        = makeResponse(static_cast<http::status>(description.httpStatus), "application/json", jsonBody(description, knownOutcome));
    response.set(toBeast(field::Refusal), toBeast(description.token));
    response.set(toBeast(field::Outcome), toBeast(toToken(knownOutcome)));
    if (retryAfter > duration::zero()) {
        const auto wholeSeconds = static_cast<long>(std::ceil(toSeconds(retryAfter)));
        response.set(http::field::retry_after, std::to_string(std::max(1L, wholeSeconds)));
        const auto delay = std::chrono::duration_cast<milliseconds>(retryAfter);
        response.set(toBeast(field::PauseMs), std::to_string(std::max<milliseconds::rep>(1, delay.count())));
    }
    return response;
}

http_response makeResponse(http::status status, std::string_view contentType, std::string body)
{
    http_response response{status, HttpVersion};
    response.set(http::field::content_type, toBeast(contentType));
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace ragwortpin
