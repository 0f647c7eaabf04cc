#include "ragwortpin/rights/messages.h"

#include "ragwortpin/core/wire.h"
#include "ragwortpin/rights/wire_fields.h"

#include <utility>

namespace ragwortpin {

namespace {

constexpr std::size_t EnvelopeFieldCount{4};
constexpr internal::wire_limits Limits{MaxRightsMessageItems, MaxRightsNameBytes, 6};

template<std::size_t Index = 0>
[[nodiscard]] rights_body unpackBody(std::size_t kind, const msgpack::object &object)
{
    if constexpr (Index < std::variant_size_v<rights_body>) {
        if (kind != Index) {
            return unpackBody<Index + 1>(kind, object);
        }
        std::variant_alternative_t<Index, rights_body> body;
        internal::unpackValue(object, body, Limits);
        return body;
    } else {
        throw internal::wire_decode_error{};
    }
}

[[nodiscard]] rights_message unpackMessage(const msgpack::object &object)
{
    const auto &array = internal::expectArray(object, EnvelopeFieldCount);
    rights_message message;
    std::uint64_t kind{0};
    internal::unpackValue(array.ptr[0], message.from, Limits);
    internal::unpackValue(array.ptr[1], message.incarnation, Limits);
    internal::unpackValue(array.ptr[2], kind, Limits);
    message.body = unpackBody(kind, array.ptr[3]);
    return message;
}

} // namespace

std::string encodeRightsMessage(const rights_message &message)
{
    msgpack::sbuffer buffer;
    internal::wire_packer packer{buffer};
    packer.pack_array(EnvelopeFieldCount);
    packer.pack(message.from);
    packer.pack(message.incarnation);
    packer.pack(message.body.index());
    std::visit(
        [&packer](const auto &body) {
            internal::packValue(packer, body);
        },
        message.body);
    return {buffer.data(), buffer.size()};
}

rights_message decodeRightsMessage(std::string_view bytes, std::error_code &error)
{
    error.clear();
    if (bytes.size() > MaxRightsMessageBytes) {
        error = rights_errc::MessageTooLong;
        return {};
    }
    rights_message message;
    const auto isDecoded = internal::decodeBytes(bytes, Limits, [&message](const msgpack::object &object) {
        message = unpackMessage(object);
    });
    if (!isDecoded) {
        error = rights_errc::MessageMalformed;
        return {};
    }
    return message;
}

} // namespace ragwortpin
