#include "ragwortpin/store/etcd_codec.h"

#include "ragwortpin/identity/digest.h"
#include "ragwortpin/store/error.h"

#include <jsoncpp/json/reader.h>
#include <jsoncpp/json/value.h>
#include <jsoncpp/json/writer.h>

#include <charconv>
#include <memory>
#include <stdexcept>
#include <utility>

namespace ragwortpin {

namespace internal {

constexpr unsigned HttpStatusOk{200};
constexpr unsigned HttpStatusTooManyRequests{429};
constexpr unsigned FirstServerErrorStatus{500};
/** Maximum nesting depth of a response: above that of any current response, with a margin for later releases of the store. */
constexpr int MaxJsonDepth{32};

/** Thrown for a response that does not conform to the protocol; caught in decodeResponse(). */
struct malformed_response : std::runtime_error
{
    malformed_response()
        : std::runtime_error{"malformed response"}
    { }
};

std::string writeCompact(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value encodeRange(const store_range &range)
{
    Json::Value body{Json::objectValue};
    body["key"] = base64Encode(range.key);
    if (!range.rangeEnd.empty()) {
        body["range_end"] = base64Encode(range.rangeEnd);
    }
    if (range.limit > 0) {
        body["limit"] = std::to_string(range.limit);
    }
    return body;
}

Json::Value encodeCompare(const store_compare &compare)
{
    Json::Value body{Json::objectValue};
    body["key"] = base64Encode(compare.key);
    body["target"] = "MOD";
    body["result"] = "EQUAL";
    body["mod_revision"] = std::to_string(compare.modRevision);
    return body;
}

Json::Value encodeWrite(const store_write &write)
{
    Json::Value body{Json::objectValue};
    body["key"] = base64Encode(write.key);
    Json::Value operation{Json::objectValue};
    if (!write.value) {
        operation["request_delete_range"] = body;
        return operation;
    }
    body["value"] = base64Encode(*write.value);
    if (write.lease != 0) {
        body["lease"] = std::to_string(write.lease);
    }
    operation["request_put"] = body;
    return operation;
}

Json::Value encodeTransaction(const store_transaction &transaction)
{
    Json::Value body{Json::objectValue};
    for (const auto &compare : transaction.compares) {
        body["compare"].append(encodeCompare(compare));
    }
    for (const auto &write : transaction.writes) {
        body["success"].append(encodeWrite(write));
    }
    for (const auto &key : transaction.readOnFailure) {
        Json::Value operation{Json::objectValue};
        operation["request_range"]["key"] = base64Encode(key);
        body["failure"].append(operation);
    }
    return body;
}

/** Decodes a 64-bit integer, which the gateway writes as a decimal string and omits if it is 0. */
std::int64_t decodeInteger(const Json::Value &value)
{
    if (value.isNull()) {
        return 0;
    }
    if (value.isInt64()) {
        return value.asInt64();
    }
    if (!value.isString()) {
        throw malformed_response{};
    }
    const auto text = value.asString();
    std::int64_t number{0};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        throw malformed_response{};
    }
    return number;
}

std::string decodeBytes(const Json::Value &value)
{
    if (value.isNull()) {
        return {};
    }
    const auto bytes = value.isString() ? base64Decode(value.asString()) : std::nullopt;
    if (!bytes) {
        throw malformed_response{};
    }
    return *bytes;
}

void decodeEntries(const Json::Value &list, std::vector<store_entry> &entries)
{
    if (list.isNull()) {
        return;
    }
    if (!list.isArray()) {
        throw malformed_response{};
    }
    for (const auto &item : list) {
        if (!item.isObject()) {
            throw malformed_response{};
        }
        entries.push_back({decodeBytes(item["key"]), decodeBytes(item["value"]), decodeInteger(item["mod_revision"])});
    }
}

Json::Value parseBody(std::string_view body)
{
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = MaxJsonDepth;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    std::string errors;
    if (!reader->parse(body.data(), body.data() + body.size(), &value, &errors) || !value.isObject()) {
        throw malformed_response{};
    }
    return value;
}

void decodeTransaction(const Json::Value &body, store_reply &reply)
{
    const auto &succeeded = body["succeeded"];
    if (!succeeded.isNull() && !succeeded.isBool()) {
        throw malformed_response{};
    }
    reply.succeeded = succeeded.isBool() && succeeded.asBool();
    const auto &responses = body["responses"];
    if (!responses.isNull() && !responses.isArray()) {
        throw malformed_response{};
    }
    for (const auto &response : responses) {
        if (!response.isObject()) {
            throw malformed_response{};
        }
        const auto &range = response["response_range"];
        if (range.isObject()) {
            decodeEntries(range["kvs"], reply.entries);
        }
    }
}

store_reply decodeBody(const store_request &request, std::string_view text)
{
    const auto body = parseBody(text);
    const auto &header = body["header"];
    if (!header.isObject()) {
        throw malformed_response{};
    }
    store_reply reply;
    reply.revision = decodeInteger(header["revision"]);
    if (std::holds_alternative<store_range>(request)) {
        reply.succeeded = true;
        decodeEntries(body["kvs"], reply.entries);
    } else {
        decodeTransaction(body, reply);
    }
    return reply;
}

store_reply errorReply(store_errc kind)
{
    store_reply reply;
    reply.error = kind;
    return reply;
}

} // namespace internal

etcd_request encodeRequest(const store_request &request)
{
    if (const auto *range = std::get_if<store_range>(&request)) {
        return {"/v3/kv/range", internal::writeCompact(internal::encodeRange(*range))};
    }
    return {"/v3/kv/txn", internal::writeCompact(internal::encodeTransaction(std::get<store_transaction>(request)))};
}

store_protocol etcdProtocol()
{
    const auto encode = [](const store_request &request) -> store_message {
        if (std::holds_alternative<store_watch>(request)) {
            return {};
        }
        auto call = encodeRequest(request);
        return {http::verb::post, std::move(call.path), std::move(call.body)};
    };
    return {encode, decodeResponse};
}

store_reply decodeResponse(const store_request &request, unsigned httpStatus, std::string_view body)
{
    if (std::holds_alternative<store_watch>(request)) {
        return internal::errorReply(store_errc::NotSupported);
    }
    if (httpStatus >= internal::FirstServerErrorStatus || httpStatus == internal::HttpStatusTooManyRequests) {
        return internal::errorReply(store_errc::Unavailable);
    }
    if (httpStatus != internal::HttpStatusOk) {
        return internal::errorReply(store_errc::Refused);
    }
    try {
        return internal::decodeBody(request, body);
    } catch (const std::exception &) {
        return internal::errorReply(store_errc::MalformedResponse);
    }
}

} // namespace ragwortpin
