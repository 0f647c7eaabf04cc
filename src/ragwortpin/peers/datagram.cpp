#include "ragwortpin/peers/datagram.h"

#include "ragwortpin/identity/digest.h"
#include "ragwortpin/peers/error.h"

#include <msgpack.hpp>

#include <cstdint>

namespace ragwortpin {

namespace {

constexpr std::uint8_t EnvelopeVersion{1};
constexpr std::size_t SignatureBytes{16};
constexpr std::size_t EnvelopeFields{6};
constexpr std::size_t MaxContainerDepth{2};

bool isSignedWith(std::string_view body, std::string_view tag, std::string_view secret)
{
    if (secret.empty()) {
        return false;
    }
    return constantTimeEqual(std::string_view{hmacSha256(secret, body)}.substr(0, SignatureBytes), tag);
}

datagram_result failure(peers_errc error)
{
    return {make_error_code(error), {}};
}

bool isKnownKind(std::uint8_t kind)
{
    return kind >= static_cast<std::uint8_t>(datagram_kind::Membership) && kind <= static_cast<std::uint8_t>(datagram_kind::Digest);
}

datagram_result decode(const msgpack::object &envelope)
{
    if (envelope.type != msgpack::type::ARRAY || envelope.via.array.size == 0) {
        return failure(peers_errc::DatagramMalformed);
    }
    const auto *fields = envelope.via.array.ptr;
    if (fields[0].as<std::uint8_t>() != EnvelopeVersion) {
        return failure(peers_errc::DatagramVersionUnknown);
    }
    if (envelope.via.array.size != EnvelopeFields) {
        return failure(peers_errc::DatagramMalformed);
    }
    const auto kind = fields[1].as<std::uint8_t>();
    if (!isKnownKind(kind)) {
        return failure(peers_errc::DatagramKindUnknown);
    }
    datagram_result result;
    result.value.kind = static_cast<datagram_kind>(kind);
    result.value.sender = fields[2].as<std::string>();
    result.value.availabilityZone = fields[3].as<std::string>();
    result.value.sentAt = seconds{fields[4].as<std::uint32_t>()};
    result.value.payload = fields[5].as<std::string>();
    if (result.value.sender.size() > MaxDatagramNameBytes || result.value.availabilityZone.size() > MaxDatagramNameBytes) {
        return failure(peers_errc::DatagramMalformed);
    }
    return result;
}

datagram_result decodeBody(std::string_view body)
{
    try {
        const msgpack::unpack_limit limit{EnvelopeFields, 0, MaxDatagramBytes, MaxDatagramBytes, 0, MaxContainerDepth};
        std::size_t offset{0};
        const auto handle = msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr, limit);
        return offset == body.size() ? decode(handle.get()) : failure(peers_errc::DatagramMalformed);
    } catch (const msgpack::unpack_error &) {
        return failure(peers_errc::DatagramMalformed);
    } catch (const msgpack::type_error &) {
        return failure(peers_errc::DatagramMalformed);
    }
}

} // namespace

encoded_datagram seal(const datagram &value, std::string_view secret)
{
    if (value.sender.size() > MaxDatagramNameBytes || value.availabilityZone.size() > MaxDatagramNameBytes) {
        return {make_error_code(peers_errc::DatagramTooLarge), {}};
    }
    msgpack::sbuffer buffer{MaxDatagramBytes};
    msgpack::packer<msgpack::sbuffer> packer{buffer};
    packer.pack_array(EnvelopeFields);
    packer.pack(EnvelopeVersion);
    packer.pack(static_cast<std::uint8_t>(value.kind));
    packer.pack(value.sender);
    packer.pack(value.availabilityZone);
    packer.pack(static_cast<std::uint32_t>(std::chrono::duration_cast<seconds>(value.sentAt).count()));
    packer.pack_bin(static_cast<std::uint32_t>(value.payload.size()));
    packer.pack_bin_body(value.payload.data(), static_cast<std::uint32_t>(value.payload.size()));
    if (buffer.size() + SignatureBytes > MaxDatagramBytes) {
        return {make_error_code(peers_errc::DatagramTooLarge), {}};
    }
    encoded_datagram result;
    result.bytes.assign(buffer.data(), buffer.size());
    result.bytes.append(hmacSha256(secret, result.bytes), 0, SignatureBytes);
    return result;
}

datagram_result open(std::string_view bytes, const datagram_secrets &secrets, microseconds wallClock)
{
    if (bytes.size() > MaxDatagramBytes) {
        return failure(peers_errc::DatagramTooLarge);
    }
    if (bytes.size() <= SignatureBytes) {
        return failure(peers_errc::DatagramTooShort);
    }
    const auto body = bytes.substr(0, bytes.size() - SignatureBytes);
    const auto tag = bytes.substr(body.size());
    if (!isSignedWith(body, tag, secrets.current) && !isSignedWith(body, tag, secrets.previous)) {
        return failure(peers_errc::DatagramSignatureInvalid);
    }
    auto result = decodeBody(body);
    if (!result.error && std::chrono::abs(wallClock - result.value.sentAt) > MaxDatagramAge) {
        return failure(peers_errc::DatagramStale);
    }
    return result;
}

} // namespace ragwortpin
