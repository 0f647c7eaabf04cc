#include "ragwortpin/identity/context.h"

#include "ragwortpin/identity/digest.h"

#include <msgpack.hpp>

#include <algorithm>
#include <exception>

namespace ragwortpin {

namespace internal {

/** Fields of a signed context on the wire. They are encoded as an array, so their order is part of the format. */
struct signed_context
{
    std::string audience;
    std::int64_t signedAt{0};
    std::string workspace;
    std::string route;
    std::string service;
    std::string callerService;
    unsigned rank{0};
    unsigned depth{0};
    unsigned retryAllowance{0};
    double admitProbability{1.0};
    std::int64_t remaining{0};
    std::string traceId;
    std::string spanId;
    bool sampled{false};

    // NOLINTNEXTLINE(readability-identifier-naming): MSGPACK_DEFINE is the name of a MessagePack library macro.
    MSGPACK_DEFINE(audience,
                   signedAt,
                   workspace,
                   route,
                   service,
                   callerService,
                   rank,
                   depth,
                   retryAllowance,
                   admitProbability,
                   remaining,
                   traceId,
                   spanId,
                   sampled)
};

} // namespace internal

namespace {

constexpr std::size_t SignatureBytes{32};
constexpr std::size_t MaxHeaderBytes{4096};
/** Number of fields in signed_context. Checked because the MessagePack library accepts shorter arrays and keeps the defaults. */
constexpr std::uint32_t SignedContextFieldCount{14};

bool hasValidSignature(std::string_view signature, std::string_view payload, const signing_keys &keys)
{
    return std::any_of(keys.secrets.begin(), keys.secrets.end(), [&](const std::string &secret) {
        return constantTimeEqual(hmacSha256(secret, payload), signature);
    });
}

request_context toContext(const internal::signed_context &fields)
{
    return {.workspace = fields.workspace,
            .route = fields.route,
            .service = fields.service,
            .callerService = fields.callerService,
            .rank = fields.rank,
            .depth = fields.depth,
            .retryAllowance = fields.retryAllowance,
            .admitProbability = fields.admitProbability,
            .remaining = microseconds{fields.remaining},
            .trace = {fields.traceId, fields.spanId, fields.sampled}};
}

bool decode(std::string_view payload, internal::signed_context &fields)
{
    try {
        const auto handle = msgpack::unpack(payload.data(), payload.size());
        const auto &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != SignedContextFieldCount) {
            return false;
        }
        object.convert(fields);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace

std::string signContext(const request_context &context, std::string_view audience, microseconds wallClock, const signing_keys &keys)
{
    const internal::signed_context fields{.audience = std::string{audience},
                                          .signedAt = wallClock.count(),
                                          .workspace = context.workspace,
                                          .route = context.route,
                                          .service = context.service,
                                          .callerService = context.callerService,
                                          .rank = context.rank,
                                          .depth = context.depth,
                                          .retryAllowance = context.retryAllowance,
                                          .admitProbability = context.admitProbability,
                                          .remaining = context.remaining.count(),
                                          .traceId = context.trace.traceId,
                                          .spanId = context.trace.spanId,
                                          .sampled = context.trace.sampled};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, fields);
    const std::string_view payload{buffer.data(), buffer.size()};
    auto bytes = hmacSha256(keys.secrets.front(), payload);
    bytes.append(payload);
    return base64Encode(bytes);
}

context_verification verifyContext(std::string_view header, std::string_view audience, microseconds wallClock, const signing_keys &keys)
{
    const auto bytes = header.size() <= MaxHeaderBytes ? base64Decode(header) : std::nullopt;
    if (!bytes || bytes->size() <= SignatureBytes) {
        return {identity_errc::Malformed, {}};
    }
    const std::string_view signedPayload{*bytes};
    const auto payload = signedPayload.substr(SignatureBytes);
    if (!hasValidSignature(signedPayload.substr(0, SignatureBytes), payload, keys)) {
        return {identity_errc::WrongSignature, {}};
    }
    internal::signed_context fields;
    if (!decode(payload, fields)) {
        return {identity_errc::Malformed, {}};
    }
    if (fields.audience != audience) {
        return {identity_errc::WrongAudience, {}};
    }
    const auto age = wallClock - microseconds{fields.signedAt};
    if (age > ContextValidityWindow || age < -ContextValidityWindow) {
        return {identity_errc::Expired, {}};
    }
    return {{}, toContext(fields), age};
}

} // namespace ragwortpin
