#include "ragwortpin/config/serialise.h"

#include "ragwortpin/config/error.h"
#include "ragwortpin/config/limits.h"

#include <msgpack.hpp>

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <vector>

namespace ragwortpin {

namespace internal {

constexpr unsigned FormatVersion{1};
/** Most entries of one list; an encoding within the size limit holds fewer. */
constexpr std::size_t MaximumDecodedElements{100'000};
constexpr std::size_t MaximumDecodedDepth{8};

using packer = msgpack::packer<msgpack::sbuffer>;

/** Raised for an array that is shorter than its fields or another type, and for unknown kinds. */
struct malformed_encoding : std::runtime_error
{
    malformed_encoding()
        : std::runtime_error{"malformed encoding"}
    { }
};

/** Raised for a format that this release does not know. */
struct unknown_format : std::runtime_error
{
    unknown_format()
        : std::runtime_error{"unknown format"}
    { }
};

template<typename... Fields>
void packFields(packer &output, const Fields &...fields)
{
    output.pack_array(sizeof...(Fields));
    (output.pack(fields), ...);
}

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
    packFields(output, item.name, item.rate, item.burst, item.weight);
}

void packObject(packer &output, const api_key &item)
{
    packFields(output, item.name, item.workspace, item.sha256);
}

void packObject(packer &output, const service &item)
{
    packFields(output, item.name, item.retryRatio);
}

void packObject(packer &output, const route &item)
{
    packFields(output,
               item.name,
               item.method,
               item.path,
               item.service,
               item.importance,
               item.open,
               item.once,
               item.retryable,
               static_cast<std::int64_t>(item.deadline.count()));
}

/** Reads the fields of one array in order. Further fields, of a later release, are passed over. */
class field_cursor
{
public:
    explicit field_cursor(const msgpack::object &array)
        : m_array{array}
    {
        if (array.type != msgpack::type::ARRAY) {
            throw malformed_encoding{};
        }
    }

    const msgpack::object &next()
    {
        if (m_position >= m_array.via.array.size) {
            throw malformed_encoding{};
        }
        return m_array.via.array.ptr[m_position++];
    }

    template<typename Value>
    void read(Value &value)
    {
        next().convert(value);
    }

private:
    const msgpack::object &m_array;
    std::uint32_t m_position{0};
};

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
        const auto &list = kinds.next();
        field_cursor items{list};
        objects.resize(list.via.array.size);
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
    removed.resize(list.via.array.size);
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

void readVersion(field_cursor &input)
{
    unsigned version{0};
    input.read(version);
    if (version != FormatVersion) {
        throw unknown_format{};
    }
}

/** Unpacks bytes and calls read(cursor over the outer array); reports every failure as an error. */
template<typename Value, typename Read>
std::optional<Value> decode(std::string_view bytes, std::error_code &error, const Read &read)
{
    try {
        const auto elements = std::min(bytes.size(), MaximumDecodedElements);
        const msgpack::unpack_limit limit{elements, elements, limits::EncodedBytes, limits::EncodedBytes, 0, MaximumDecodedDepth};
        std::size_t offset{0};
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size()) {
            throw malformed_encoding{};
        }
        field_cursor cursor{handle.get()};
        readVersion(cursor);
        Value value;
        read(cursor, value);
        error.clear();
        return value;
    } catch (const unknown_format &) {
        error = config_errc::UnknownFormat;
    } catch (const std::exception &) {
        error = config_errc::Malformed;
    }
    return std::nullopt;
}

std::string toString(const msgpack::sbuffer &buffer)
{
    return {buffer.data(), buffer.size()};
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
