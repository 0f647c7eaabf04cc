#include "ragwortpin/identity/credentials.h"

#include "ragwortpin/identity/digest.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <vector>

namespace ragwortpin {

namespace {

constexpr std::string_view BearerScheme{"bearer "};
constexpr const char *ApiKeyField{"X-Api-Key"};
constexpr std::size_t MaxIdempotencyKeyLength{128};
/** Shorter secrets are not searched for in other header fields and in the request target. */
constexpr std::size_t MinSearchedSecretLength{8};
constexpr std::size_t TraceIdDigits{32};
constexpr std::size_t SpanIdDigits{16};
constexpr std::size_t TraceparentLength{55};

/** Returns the token of an Authorization value with the Bearer scheme; empty for other schemes. */
std::string_view bearerToken(std::string_view value) noexcept
{
    const auto scheme = value.substr(0, BearerScheme.size());
    if (!boost::beast::iequals({scheme.data(), scheme.size()}, {BearerScheme.data(), BearerScheme.size()})) {
        return {};
    }
    const auto start = value.find_first_not_of(' ', BearerScheme.size());
    return start == std::string_view::npos ? std::string_view{} : value.substr(start);
}

/** Returns whether the text contains any of the secrets. */
bool contains(std::string_view text, const std::vector<std::string> &secrets)
{
    return std::any_of(secrets.begin(), secrets.end(), [text](const std::string &secret) {
        return text.find(secret) != std::string_view::npos;
    });
}

void eraseFieldsContaining(http_request &request, const std::vector<std::string> &secrets)
{
    std::vector<std::string> names;
    for (const auto &entry : request) {
        if (contains(toStd(entry.value()), secrets)) {
            names.emplace_back(entry.name_string());
        }
    }
    for (const auto &name : names) {
        request.erase(name);
    }
}

bool isLowerHex(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(), [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
}

bool isAllZero(std::string_view text) noexcept
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

api_key_extraction extractApiKey(http_request &request)
{
    std::vector<std::string> presentedSecrets;
    const auto [firstAuthorization, lastAuthorization] = request.equal_range(http::field::authorization);
    for (auto entry = firstAuthorization; entry != lastAuthorization; ++entry) {
        presentedSecrets.emplace_back(bearerToken(toStd(entry->value())));
    }
    const auto [firstApiKey, lastApiKey] = request.equal_range(ApiKeyField);
    for (auto entry = firstApiKey; entry != lastApiKey; ++entry) {
        presentedSecrets.emplace_back(entry->value());
    }
    request.erase(http::field::authorization);
    request.erase(ApiKeyField);

    api_key_extraction extraction;
    const auto first = std::find_if(presentedSecrets.begin(), presentedSecrets.end(), [](const std::string &secret) {
        return !secret.empty();
    });
    if (first == presentedSecrets.end()) {
        return extraction;
    }
    extraction.secret = *first;
    std::erase_if(presentedSecrets, [](const std::string &secret) {
        return secret.size() < MinSearchedSecretLength;
    });
    eraseFieldsContaining(request, presentedSecrets);
    extraction.exposedInRequestTarget = contains(toStd(request.target()), presentedSecrets);
    return extraction;
}

bool isValidIdempotencyKey(std::string_view value) noexcept
{
    if (value.empty() || value.size() > MaxIdempotencyKeyLength) {
        return false;
    }
    return std::all_of(value.begin(), value.end(), [](char character) {
        return character > ' ' && character < '\x7f';
    });
}

std::optional<trace_context> parseTraceparent(std::string_view value)
{
    if (value.size() != TraceparentLength || value.substr(0, 3) != "00-" || value[35] != '-' || value[52] != '-') {
        return std::nullopt;
    }
    const auto traceId = value.substr(3, TraceIdDigits);
    const auto spanId = value.substr(36, SpanIdDigits);
    const auto flags = value.substr(53, 2);
    if (!isLowerHex(traceId) || !isLowerHex(spanId) || !isLowerHex(flags) || isAllZero(traceId) || isAllZero(spanId)) {
        return std::nullopt;
    }
    const auto lastDigit = flags[1];
    const auto flagBits = lastDigit <= '9' ? lastDigit - '0' : lastDigit - 'a' + 10;
    return trace_context{std::string{traceId}, std::string{spanId}, (flagBits & 1) != 0};
}

std::string formatTraceparent(const trace_context &trace)
{
    return "00-" + trace.traceId + '-' + trace.spanId + (trace.sampled ? "-01" : "-00");
}

trace_context makeTrace(bool sampled)
{
    return {randomHex(TraceIdDigits / 2), randomHex(SpanIdDigits / 2), sampled};
}

trace_context makeChildSpan(const trace_context &parent)
{
    return {parent.traceId, randomHex(SpanIdDigits / 2), parent.sampled};
}

} // namespace ragwortpin
