#include "ragwortpin/config/serialise.h"

#include "ragwortpin/config/error.h"
#include "ragwortpin/config/limits.h"
#include "ragwortpin/config/msgpack_fields.h"

#include <cstdint>
#include <vector>

namespace ragwortpin {

namespace internal {

void packObject(packer &output, const availability_zone &item)
{
    packFields(output, item.name, item.region, item.share);
}

void packObject(packer &output, const importance &item)
{
    packFields(output, item.name, item.rank);
}

void packObject(packer &output, const workspace &item)
{
    packFields(output, item.name, item.rate, item.burst, item.weight, item.importance);
}

void packObject(packer &output, const api_key &item)
{
    packFields(output, item.name, item.workspace, item.sha256);
}

void packObject(packer &output, const service &item)
{
    packFields(output, item.name, item.retryRatio, item.connections);
}

void packObject(packer &output, const weighted_service &item)
{
    packFields(output, item.service, item.weight);
}

void packObject(packer &output, const route &item)
{
    constexpr std::uint32_t Fields{14};
    output.pack_array(Fields);
    packEach(output,
             item.name,
             item.method,
             item.path,
             item.service,
             item.importance,
             item.open,
             item.once,
             item.retryable,
             static_cast<std::int64_t>(item.deadline.count()),
             item.host,
             item.belowOnly,
             item.attempts,
             static_cast<std::int64_t>(item.latencyObjective.count()));
    output.pack_array(static_cast<std::uint32_t>(item.split.size()));
    for (const auto &part : item.split) {
        packObject(output, part);
    }
}

void unpackObject(field_cursor &input, availability_zone &item)
{
    input.read(item.name);
    input.read(item.region);
    input.read(item.share);
}

void unpackObject(field_cursor &input, importance &item)
{
    input.read(item.name);
    input.read(item.rank);
}

void unpackObject(field_cursor &input, workspace &item)
{
    input.read(item.name);
    input.read(item.rate);
    input.read(item.burst);
    input.read(item.weight);
    if (input.hasMore()) {
        input.read(item.importance);
    }
}

void unpackObject(field_cursor &input, api_key &item)
{
    input.read(item.name);
    input.read(item.workspace);
    input.read(item.sha256);
}

void unpackObject(field_cursor &input, service &item)
{
    input.read(item.name);
    input.read(item.retryRatio);
    if (input.hasMore()) {
        input.read(item.connections);
    }
}

void unpackObject(field_cursor &input, weighted_service &item)
{
    input.read(item.service);
    input.read(item.weight);
}

void unpackObject(field_cursor &input, route &item)
{
    std::int64_t deadline{0};
    input.read(item.name);
    input.read(item.method);
    input.read(item.path);
    input.read(item.service);
    input.read(item.importance);
    input.read(item.open);
    input.read(item.once);
    input.read(item.retryable);
    input.read(deadline);
    item.deadline = milliseconds{deadline};
    if (!input.hasMore()) {
        return;
    }
    std::int64_t objective{0};
    input.read(item.host);
    input.read(item.belowOnly);
    input.read(item.attempts);
    input.read(objective);
    item.latencyObjective = milliseconds{objective};
    field_cursor parts{input.next()};
    item.split.resize(parts.size());
    for (auto &part : item.split) {
        field_cursor fields{parts.next()};
        unpackObject(fields, part);
    }
}

void packObjects(packer &output, const configuration &value)
{
    output.pack_array(ObjectKindTexts.size());
    visitObjects(value, [&output](object_kind, const auto &objects) {
        output.pack_array(static_cast<std::uint32_t>(objects.size()));
        for (const auto &object : objects) {
            packObject(output, object);
        }
    });
}

void unpackObjects(const msgpack::object &input, configuration &value)
{
    field_cursor kinds{input};
    visitObjects(value, [&kinds]<typename Object>(object_kind, std::vector<Object> &objects) {
        field_cursor items{kinds.next()};
        objects.resize(items.size());
        for (auto &object : objects) {
            field_cursor fields{items.next()};
            unpackObject(fields, object);
        }
    });
    sortObjects(value);
}

void unpackRemoved(const msgpack::object &list, std::vector<object_ref> &removed)
{
    field_cursor items{list};
    removed.resize(items.size());
    for (auto &ref : removed) {
        field_cursor fields{items.next()};
        unsigned kind{0};
        fields.read(kind);
        if (kind >= ObjectKindTexts.size()) {
            throw malformed_encoding{};
        }
        ref.kind = static_cast<object_kind>(kind);
        fields.read(ref.name);
    }
}

} // namespace internal

std::string encodeConfiguration(const configuration &value)
{
    msgpack::sbuffer buffer;
    internal::packer output{buffer};
    output.pack_array(3);
    output.pack(internal::FormatVersion);
    output.pack(value.revision);
    internal::packObjects(output, value);
    return internal::toString(buffer);
}

std::optional<configuration> decodeConfiguration(std::string_view bytes, std::error_code &error)
{
    return internal::decode<configuration>(bytes, error, [](internal::field_cursor &cursor, configuration &value) {
        cursor.read(value.revision);
        internal::unpackObjects(cursor.next(), value);
    });
}

std::string encodeChange(const configuration_change &change)
{
    msgpack::sbuffer buffer;
    internal::packer output{buffer};
    output.pack_array(5);
    output.pack(internal::FormatVersion);
    output.pack(change.baseRevision);
    output.pack(change.revision);
    internal::packObjects(output, change.objects);
    output.pack_array(static_cast<std::uint32_t>(change.removed.size()));
    for (const auto &ref : change.removed) {
        internal::packFields(output, static_cast<unsigned>(ref.kind), ref.name);
    }
    return internal::toString(buffer);
}

std::optional<configuration_change> decodeChange(std::string_view bytes, std::error_code &error)
{
    return internal::decode<configuration_change>(bytes, error, [](internal::field_cursor &cursor, configuration_change &change) {
        cursor.read(change.baseRevision);
        cursor.read(change.revision);
        internal::unpackObjects(cursor.next(), change.objects);
        internal::unpackRemoved(cursor.next(), change.removed);
    });
}

std::error_code checkEncodedSize(std::size_t bytes) noexcept
{
    return bytes <= limits::EncodedBytes ? std::error_code{} : make_error_code(config_errc::TooLarge);
}

} // namespace ragwortpin
