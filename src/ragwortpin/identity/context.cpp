#include "ragwortpin/identity/context.h"

#include "ragwortpin/identity/digest.h"

#include <msgpack.hpp>

#include <algorithm>
#include <exception>

namespace ragwortpin {

namespace internal {

/** Wire form of a signed context. The order of the fields is the format. */
struct sealed_context
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

    // NOLINTNEXTLINE(readability-identifier-naming): the name of the library's macro for members to encode.
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
constexpr std::size_t LargestHeader{4096};
/** Fields of a sealed context; the library alone would accept fewer and leave the rest at their defaults. */
constexpr std::uint32_t SealedFields{14};

bool isSigned(std::string_view signature, std::string_view payload, const signing_keys &keys)
{
    return std::any_of(keys.secrets.begin(), keys.secrets.end(), [&](const std::string &secret) {
        return constantTimeEqual(hmacSha256(secret, payload), signature);
    });
}

request_context toContext(const internal::sealed_context &sealed)
{
    return {.workspace = sealed.workspace,
            .route = sealed.route,
            .service = sealed.service,
            .callerService = sealed.callerService,
            .rank = sealed.rank,
            .depth = sealed.depth,
            .retryAllowance = sealed.retryAllowance,
            .admitProbability = sealed.admitProbability,
            .remaining = microseconds{sealed.remaining},
            .trace = {sealed.traceId, sealed.spanId, sealed.sampled}};
}

bool decode(std::string_view payload, internal::sealed_context &sealed)
{
    try {
        const auto handle = msgpack::unpack(payload.data(), payload.size());
        const auto &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != SealedFields) {
            return false;
        }
        object.convert(sealed);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace

std::string sealContext(const request_context &context, std::string_view audience, microseconds wallClock, const signing_keys &keys)
{
    const internal::sealed_context sealed{.audience = std::string{audience},
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
    msgpack::pack(buffer, sealed);
    const std::string_view payload{buffer.data(), buffer.size()};
    auto bytes = hmacSha256(keys.secrets.front(), payload);
    bytes.append(payload);
    return base64Encode(bytes);
}

context_verification openContext(std::string_view header, std::string_view audience, microseconds wallClock, const signing_keys &keys)
{
    const auto bytes = header.size() <= LargestHeader ? base64Decode(header) : std::nullopt;
    if (!bytes || bytes->size() <= SignatureBytes) {
        return {identity_errc::Malformed, {}};
    }
    const std::string_view whole{*bytes};
    const auto payload = whole.substr(SignatureBytes);
    if (!isSigned(whole.substr(0, SignatureBytes), payload, keys)) {
        return {identity_errc::WrongSignature, {}};
    }
    internal::sealed_context sealed;
    if (!decode(payload, sealed)) {
        return {identity_errc::Malformed, {}};
    }
    if (sealed.audience != audience) {
        return {identity_errc::WrongAudience, {}};
    }
    const auto age = wallClock - microseconds{sealed.signedAt};
    if (age > ContextLifetime || age < -ContextLifetime) {
        return {identity_errc::Expired, {}};
    }
    return {{}, toContext(sealed)};
}

} // namespace ragwortpin
