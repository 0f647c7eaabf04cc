#include "standins/support/store_gateway.h"

#include "standins/support/json.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>

namespace ragwortpin::standins {

namespace {

/** gRPC status code INVALID_ARGUMENT, which the gateway includes in its error bodies. */
constexpr int InvalidArgument{3};

struct call_path
{
    store_call_kind kind;
    std::string_view path;
    std::string_view token;
};

constexpr std::array CallPaths{
    call_path{store_call_kind::Range, "/v3/kv/range", "range"},
    call_path{store_call_kind::Put, "/v3/kv/put", "put"},
    call_path{store_call_kind::DeleteRange, "/v3/kv/deleterange", "deleterange"},
    call_path{store_call_kind::Transaction, "/v3/kv/txn", "txn"},
    call_path{store_call_kind::LeaseGrant, "/v3/lease/grant", "lease_grant"},
    call_path{store_call_kind::LeaseKeepAlive, "/v3/lease/keepalive", "lease_keepalive"},
    call_path{store_call_kind::LeaseRevoke, "/v3/lease/revoke", "lease_revoke"},
    call_path{store_call_kind::Watch, "/v3/watch", "watch"},
};

/** Thrown for a body that is not a valid request. */
class malformed_call : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

Json::Value parseJson(std::string_view body)
{
    auto value = parseObject(body);
    if (!value) {
        throw malformed_call{"the body is not a JSON object; send one in the format of the etcd v3 JSON gateway"};
    }
    return *std::move(value);
}

/** Returns a member by its protobuf name or by its camel-case JSON name; the gateway accepts both. */
const Json::Value &member(const Json::Value &object, const std::string &name, const std::string &camelCase = {})
{
    if (!camelCase.empty() && !object.isMember(name)) {
        return object[camelCase];
    }
    return object[name];
}

std::int64_t toNumber(const Json::Value &value)
{
    if (value.isNull()) {
        return 0;
    }
    if (value.isInt64()) {
        return value.asInt64();
    }
    const auto text = value.isString() ? value.asString() : std::string{};
    std::int64_t number{0};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        throw malformed_call{"a 64-bit integer is malformed; send a number or a decimal string"};
    }
    return number;
}

std::string toBytes(const Json::Value &value)
{
    if (value.isNull()) {
        return {};
    }
    const auto bytes = value.isString() ? decodeBase64(value.asString()) : std::nullopt;
    if (!bytes) {
        throw malformed_call{"a key or value is not base64; encode it as base64"};
    }
    return *bytes;
}

bool toFlag(const Json::Value &value)
{
    return value.isBool() && value.asBool();
}

key_range toRange(const Json::Value &request)
{
    return {toBytes(request["key"]), toBytes(member(request, "range_end", "rangeEnd"))};
}

put_operation toPut(const Json::Value &request)
{
    return {toBytes(request["key"]), toBytes(request["value"]), toNumber(request["lease"])};
}

range_operation toRangeOperation(const Json::Value &request)
{
    return {toRange(request),
            toNumber(request["limit"]),
            toFlag(member(request, "keys_only", "keysOnly")),
            toFlag(member(request, "count_only", "countOnly"))};
}

operation toOperation(const Json::Value &request)
{
    if (const auto &put = member(request, "request_put", "requestPut"); put.isObject()) {
        return toPut(put);
    }
    if (const auto &range = member(request, "request_range", "requestRange"); range.isObject()) {
        return toRangeOperation(range);
    }
    if (const auto &erase = member(request, "request_delete_range", "requestDeleteRange"); erase.isObject()) {
        return delete_operation{toRange(erase)};
    }
    throw malformed_call{"unknown operation; use request_put, request_range or request_delete_range"};
}

std::vector<operation> toOperations(const Json::Value &list)
{
    std::vector<operation> operations;
    for (const auto &request : list) {
        operations.push_back(toOperation(request));
    }
    return operations;
}

comparison_result toComparisonResult(const std::string &name)
{
    if (name == "GREATER") {
        return comparison_result::Greater;
    }
    if (name == "LESS") {
        return comparison_result::Less;
    }
    if (name == "NOT_EQUAL") {
        return comparison_result::NotEqual;
    }
    if (name.empty() || name == "EQUAL") {
        return comparison_result::Equal;
    }
    throw malformed_call{"unknown comparison result; use EQUAL, NOT_EQUAL, GREATER or LESS"};
}

comparison toComparison(const Json::Value &request)
{
    comparison condition;
    condition.key = toBytes(request["key"]);
    condition.result = toComparisonResult(request["result"].asString());
    const auto target = request["target"].asString();
    if (target == "MOD") {
        condition.target = comparison_target::ModRevision;
        condition.number = toNumber(member(request, "mod_revision", "modRevision"));
    } else if (target == "CREATE") {
        condition.target = comparison_target::CreateRevision;
        condition.number = toNumber(member(request, "create_revision", "createRevision"));
    } else if (target.empty() || target == "VERSION") {
        condition.target = comparison_target::Version;
        condition.number = toNumber(request["version"]);
    } else {
        throw malformed_call{"unsupported comparison target; use MOD, CREATE or VERSION"};
    }
    return condition;
}

transaction toTransaction(const Json::Value &request)
{
    transaction result;
    for (const auto &condition : request["compare"]) {
        result.comparisons.push_back(toComparison(condition));
    }
    result.success = toOperations(request["success"]);
    result.failure = toOperations(request["failure"]);
    return result;
}

/** Sets a 64-bit member as a decimal string, and omits it if it is zero, as the gateway does. */
void setNumber(Json::Value &object, const char *name, std::int64_t number)
{
    if (number != 0) {
        object[name] = std::to_string(number);
    }
}

Json::Value withHeader(const store_state &state)
{
    Json::Value answer{Json::objectValue};
    answer["header"]["revision"] = std::to_string(state.revision);
    return answer;
}

Json::Value toJson(const std::string &key, const stored_value &value)
{
    Json::Value entry{Json::objectValue};
    entry["key"] = encodeBase64(key);
    setNumber(entry, "create_revision", value.createRevision);
    setNumber(entry, "mod_revision", value.modRevision);
    setNumber(entry, "version", value.version);
    setNumber(entry, "lease", value.lease);
    if (!value.value.empty()) {
        entry["value"] = encodeBase64(value.value);
    }
    return entry;
}

void addResult(Json::Value &answer, const operation &request, const operation_result &result)
{
    if (std::holds_alternative<delete_operation>(request)) {
        setNumber(answer, "deleted", result.count);
        return;
    }
    for (const auto &entry : result.entries) {
        answer["kvs"].append(toJson(entry.key, entry.value));
    }
    setNumber(answer, "count", result.count);
    const auto *range = std::get_if<range_operation>(&request);
    if (range != nullptr && range->limit > 0 && result.count > range->limit) {
        answer["more"] = true;
    }
}

const char *responseName(const operation &request)
{
    if (std::holds_alternative<put_operation>(request)) {
        return "response_put";
    }
    return std::holds_alternative<range_operation>(request) ? "response_range" : "response_delete_range";
}

void throwOnError(const std::error_code &error)
{
    if (error) {
        throw malformed_call{error.message()};
    }
}

Json::Value handleOperation(store_state &state, const operation &request)
{
    const auto applied = apply(state, transaction{{}, {request}, {}});
    throwOnError(applied.error);
    auto answer = withHeader(state);
    addResult(answer, request, applied.results.front());
    return answer;
}

Json::Value handleTransaction(store_state &state, const transaction &request)
{
    const auto applied = apply(state, request);
    throwOnError(applied.error);
    auto answer = withHeader(state);
    if (applied.succeeded) {
        answer["succeeded"] = true;
    }
    const auto &branch = applied.succeeded ? request.success : request.failure;
    for (std::size_t index{0}; index < branch.size(); ++index) {
        Json::Value response = withHeader(state);
        addResult(response, branch[index], applied.results[index]);
        Json::Value named{Json::objectValue};
        named[responseName(branch[index])] = response;
        answer["responses"].append(named);
    }
    return answer;
}

Json::Value handleLeaseGrant(store_state &state, const Json::Value &request, time_point now)
{
    std::int64_t lease{0};
    const seconds ttl{toNumber(request["TTL"])};
    throwOnError(grantLease(state, ttl, now, lease));
    auto answer = withHeader(state);
    setNumber(answer, "ID", lease);
    setNumber(answer, "TTL", ttl.count());
    return answer;
}

Json::Value handleLeaseKeepAlive(store_state &state, const Json::Value &request, time_point now)
{
    const auto lease = toNumber(request["ID"]);
    auto result = withHeader(state);
    setNumber(result, "ID", lease);
    setNumber(result, "TTL", keepLeaseAlive(state, lease, now).count());
    Json::Value answer{Json::objectValue};
    answer["result"] = result;
    return answer;
}

Json::Value handleLeaseRevoke(store_state &state, const Json::Value &request)
{
    throwOnError(revokeLease(state, toNumber(request["ID"])));
    return withHeader(state);
}

Json::Value handleRequest(store_state &state, store_call_kind kind, const Json::Value &request, time_point now)
{
    switch (kind) {
    case store_call_kind::Range:
        return handleOperation(state, toRangeOperation(request));
    case store_call_kind::Put:
        return handleOperation(state, toPut(request));
    case store_call_kind::DeleteRange:
        return handleOperation(state, delete_operation{toRange(request)});
    case store_call_kind::Transaction:
        return handleTransaction(state, toTransaction(request));
    case store_call_kind::LeaseGrant:
        return handleLeaseGrant(state, request, now);
    case store_call_kind::LeaseKeepAlive:
        return handleLeaseKeepAlive(state, request, now);
    case store_call_kind::LeaseRevoke:
        return handleLeaseRevoke(state, request);
    case store_call_kind::Watch:
        break;
    }
    throw malformed_call{"a watch is a streaming call; open it through /v3/watch"};
}

gateway_response rejectCall(const char *message)
{
    Json::Value answer{Json::objectValue};
    answer["error"] = message;
    answer["code"] = InvalidArgument;
    answer["message"] = message;
    return {400, writeJson(answer)};
}

} // namespace

std::optional<store_call_kind> parseCallKind(std::string_view path) noexcept
{
    const auto found = std::ranges::find(CallPaths, path, &call_path::path);
    return found == CallPaths.end() ? std::nullopt : std::optional{found->kind};
}

std::string_view toToken(store_call_kind kind) noexcept
{
    return CallPaths[static_cast<std::size_t>(kind)].token;
}

gateway_response handleCall(store_state &state, store_call_kind kind, std::string_view body, time_point now)
{
    try {
        return {200, writeJson(handleRequest(state, kind, parseJson(body), now))};
    } catch (const malformed_call &error) {
        return rejectCall(error.what());
    } catch (const Json::Exception &) {
        return rejectCall("a field has the wrong type; send it in the format of the etcd v3 JSON gateway");
    }
}

std::optional<watch_request> parseWatch(std::string_view body)
{
    try {
        const auto call = parseJson(body);
        const auto &request = member(call, "create_request", "createRequest");
        if (!request.isObject()) {
            return std::nullopt;
        }
        return watch_request{toRange(request), toNumber(member(request, "start_revision", "startRevision"))};
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string makeWatchCreatedLine(const store_state &state)
{
    Json::Value line{Json::objectValue};
    line["result"] = withHeader(state);
    line["result"]["created"] = true;
    return writeJson(line) + "\n";
}

std::string makeWatchEventsLine(const store_state &state, const key_range &range, std::int64_t fromRevision)
{
    Json::Value line{Json::objectValue};
    line["result"] = withHeader(state);
    for (const auto &event : state.events) {
        if (event.value.modRevision < fromRevision || !contains(range, event.key)) {
            continue;
        }
        Json::Value item{Json::objectValue};
        if (event.deleted) {
            item["type"] = "DELETE";
        }
        item["kv"] = toJson(event.key, event.value);
        line["result"]["events"].append(item);
    }
    return line["result"].isMember("events") ? writeJson(line) + "\n" : std::string{};
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.empty()) {
        return std::string{};
    }
    std::string bytes(text.size(), '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    const auto padding
        = static_cast<std::size_t>(std::ranges::count(text.substr(text.size() - std::min<std::size_t>(2, text.size())), '='));
    if (length < 0 || text.size() % 4 != 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace ragwortpin::standins
