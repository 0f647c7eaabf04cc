#include "ragwortpin/membership/message_codec.h"

#include <msgpack.hpp>

namespace ragwortpin {

namespace {

constexpr std::size_t MessageFields{9};
constexpr std::size_t ShortUpdateFields{5};
constexpr std::size_t FullUpdateFields{12};
constexpr std::size_t TargetFields{2};
constexpr std::size_t MaxArrayItems{256};
constexpr std::size_t MaxTextBytes{64};
constexpr std::size_t MaxDepth{4};
constexpr std::size_t MaxIntegerBytes{9};
constexpr std::size_t MaxTextHeaderBytes{2};
constexpr std::size_t FrameBytes{64};

using packer = msgpack::packer<msgpack::sbuffer>;

void packShort(packer &out, const member_update &update)
{
    out.pack_array(ShortUpdateFields);
    out.pack(static_cast<std::uint8_t>(update.status));
    out.pack(update.record.name);
    out.pack(update.record.incarnation);
    out.pack(static_cast<std::uint8_t>(update.record.state));
    out.pack(update.descriptionHash);
}

void packFull(packer &out, const member_update &update)
{
    const auto &record = update.record;
    out.pack_array(FullUpdateFields);
    out.pack(static_cast<std::uint8_t>(update.status));
    out.pack(record.name);
    out.pack(record.incarnation);
    out.pack(static_cast<std::uint8_t>(record.state));
    out.pack(record.availabilityZone);
    out.pack(record.service);
    out.pack(record.address);
    out.pack(record.peersPort);
    out.pack(record.gossipPort);
    out.pack(record.slots);
    out.pack(record.connections);
    out.pack(record.revision);
}

void pack(packer &out, const member_update &update)
{
    if (update.isShort) {
        packShort(out, update);
    } else {
        packFull(out, update);
    }
}

std::uint8_t readBounded(const msgpack::object &object, std::uint8_t maximum)
{
    const auto value = object.as<std::uint8_t>();
    if (value > maximum) {
        throw msgpack::type_error{};
    }
    return value;
}

std::string readText(const msgpack::object &object)
{
    auto text = object.as<std::string>();
    if (text.size() > MaxTextBytes) {
        throw msgpack::type_error{};
    }
    return text;
}

const msgpack::object_array &readArray(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY) {
        throw msgpack::type_error{};
    }
    return object.via.array;
}

void readDescription(const msgpack::object *fields, instance_record &record)
{
    record.availabilityZone = readText(fields[4]);
    record.service = readText(fields[5]);
    record.address = readText(fields[6]);
    record.peersPort = fields[7].as<std::uint16_t>();
    record.gossipPort = fields[8].as<std::uint16_t>();
    record.slots = fields[9].as<std::uint32_t>();
    record.connections = fields[10].as<std::uint32_t>();
    record.revision = fields[11].as<std::uint64_t>();
}

member_update readUpdate(const msgpack::object &object)
{
    const auto &array = readArray(object);
    if (array.size != ShortUpdateFields && array.size != FullUpdateFields) {
        throw msgpack::type_error{};
    }
    member_update update;
    update.isShort = array.size == ShortUpdateFields;
    update.status = static_cast<member_status>(readBounded(array.ptr[0], static_cast<std::uint8_t>(member_status::Dead)));
    update.record.name = readText(array.ptr[1]);
    update.record.incarnation = array.ptr[2].as<std::uint64_t>();
    update.record.state = static_cast<instance_state>(readBounded(array.ptr[3], static_cast<std::uint8_t>(instance_state::Gone)));
    if (update.isShort) {
        update.descriptionHash = array.ptr[4].as<std::uint32_t>();
    } else {
        readDescription(array.ptr, update.record);
    }
    return update;
}

membership_message_kind readKind(const msgpack::object &object)
{
    const auto kind = readBounded(object, static_cast<std::uint8_t>(membership_message_kind::ExchangeReply));
    if (kind < static_cast<std::uint8_t>(membership_message_kind::Ping)) {
        throw msgpack::type_error{};
    }
    return static_cast<membership_message_kind>(kind);
}

peer_address readTarget(const msgpack::object &object)
{
    if (object.is_nil()) {
        return {};
    }
    const auto &array = readArray(object);
    if (array.size != TargetFields) {
        throw msgpack::type_error{};
    }
    return {readText(array.ptr[0]), array.ptr[1].as<std::uint16_t>()};
}

membership_message readMessage(const msgpack::object &object)
{
    const auto &fields = readArray(object);
    if (fields.size != MessageFields) {
        throw msgpack::type_error{};
    }
    membership_message message;
    message.kind = readKind(fields.ptr[0]);
    message.sequence = fields.ptr[1].as<std::uint32_t>();
    message.revision = fields.ptr[2].as<std::uint64_t>();
    message.tableDigest = fields.ptr[3].as<std::uint32_t>();
    message.target = readTarget(fields.ptr[4]);
    message.requestedReplies = fields.ptr[5].as<std::uint8_t>();
    message.memberCount = fields.ptr[6].as<std::uint32_t>();
    message.bucketDigests = fields.ptr[7].as<std::vector<std::uint32_t>>();
    const auto &updates = readArray(fields.ptr[8]);
    message.updates.reserve(updates.size);
    for (std::size_t index{0}; index < updates.size; ++index) {
        message.updates.push_back(readUpdate(updates.ptr[index]));
    }
    return message;
}

} // namespace

std::string encode(const membership_message &message)
{
    msgpack::sbuffer buffer;
    packer out{buffer};
    out.pack_array(MessageFields);
    out.pack(static_cast<std::uint8_t>(message.kind));
    out.pack(message.sequence);
    out.pack(message.revision);
    out.pack(message.tableDigest);
    if (message.target == peer_address{}) {
        out.pack_nil();
    } else {
        out.pack_array(TargetFields);
        out.pack(message.target.address);
        out.pack(message.target.port);
    }
    out.pack(message.requestedReplies);
    out.pack(message.memberCount);
    out.pack(message.bucketDigests);
    out.pack_array(static_cast<std::uint32_t>(message.updates.size()));
    for (const auto &update : message.updates) {
        pack(out, update);
    }
    return {buffer.data(), buffer.size()};
}

std::optional<membership_message> decodeMembershipMessage(std::string_view bytes)
{
    try {
        const msgpack::unpack_limit limit{MaxArrayItems, 0, MaxTextBytes, 0, 0, MaxDepth};
        std::size_t offset{0};
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size()) {
            return std::nullopt;
        }
        return readMessage(handle.get());
    } catch (const msgpack::unpack_error &) {
        return std::nullopt;
    } catch (const msgpack::type_error &) {
        return std::nullopt;
    }
}

std::size_t encodedSizeBound(const member_update &update) noexcept
{
    const auto &record = update.record;
    const auto common = 3 + record.name.size() + MaxTextHeaderBytes + MaxIntegerBytes;
    if (update.isShort) {
        return common + sizeof(std::uint32_t) + 1;
    }
    const auto texts = record.availabilityZone.size() + record.service.size() + record.address.size() + 3 * MaxTextHeaderBytes;
    const auto ports = 2 * (sizeof(std::uint16_t) + 1);
    const auto sizes = 2 * (sizeof(std::uint32_t) + 1);
    return common + texts + ports + sizes + MaxIntegerBytes;
}

std::size_t encodedFrameBound(const membership_message &message) noexcept
{
    return FrameBytes + message.target.address.size() + message.bucketDigests.size() * (sizeof(std::uint32_t) + 1);
}

} // namespace ragwortpin
