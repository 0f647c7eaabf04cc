#include "ragwortpin/spread/message.h"

#include <msgpack.hpp>

namespace ragwortpin {

namespace {

constexpr std::size_t MessageFields{2};
constexpr std::size_t MaxDepth{1};

} // namespace

std::string encode(const spread_message &message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out{buffer};
    out.pack_array(MessageFields);
    out.pack(message.revision);
    out.pack(message.peersPort);
    return {buffer.data(), buffer.size()};
}

std::optional<spread_message> decodeSpreadMessage(std::string_view bytes)
{
    try {
        const msgpack::unpack_limit limit{MessageFields, 0, 0, 0, 0, MaxDepth};
        std::size_t offset{0};
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        const auto &object = handle.get();
        if (offset != bytes.size() || object.type != msgpack::type::ARRAY || object.via.array.size != MessageFields) {
            return std::nullopt;
        }
        return spread_message{object.via.array.ptr[0].as<std::uint64_t>(), object.via.array.ptr[1].as<std::uint16_t>()};
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

} // namespace ragwortpin
