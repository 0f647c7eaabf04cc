#ifndef RAGWORTPIN_CONFIG_MSGPACK_FIELDS_H
#define RAGWORTPIN_CONFIG_MSGPACK_FIELDS_H

#include "ragwortpin/config/error.h"
#include "ragwortpin/config/limits.h"

#include <msgpack.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortpin::internal {

constexpr unsigned FormatVersion{1};
/** Maximum number of elements of one array or map. A configuration that fits into a value of the store has fewer. */
constexpr std::size_t MaxDecodedElements{300'000};
constexpr std::size_t MaxDecodedDepth{8};

using packer = msgpack::packer<msgpack::sbuffer>;

/** Thrown for an array with too few fields, a value of the wrong type, an unknown object kind or trailing bytes. Caught in decode(). */
struct malformed_encoding : std::runtime_error
{
    malformed_encoding()
        : std::runtime_error{"malformed encoding"}
    { }
};

/** Thrown for a format version that this release does not support. Caught in decode(). */
struct unknown_format : std::runtime_error
{
    unknown_format()
        : std::runtime_error{"unknown format"}
    { }
};

/** Packs fields in order as elements of an array whose header has already been packed. */
template<typename... Fields>
void packEach(packer &output, const Fields &...fields)
{
    (output.pack(fields), ...);
}

/** Packs fields as an array. */
template<typename... Fields>
void packFields(packer &output, const Fields &...fields)
{
    output.pack_array(sizeof...(Fields));
    packEach(output, fields...);
}

/** Reads the fields of one array in order. Extra fields at the end, which a later release may have added, are ignored. */
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

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_array.via.array.size;
    }

    /** Returns whether unread fields remain. Encodings of earlier releases have fewer fields. */
    [[nodiscard]] bool hasMore() const noexcept
    {
        return m_position < m_array.via.array.size;
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

inline void readVersion(field_cursor &input)
{
    unsigned version{0};
    input.read(version);
    if (version != FormatVersion) {
        throw unknown_format{};
    }
}

/**
 * Unpacks an encoded array, checks its leading format version and calls read(cursor, value) with a cursor over the remaining
 * fields. Returns nothing and sets the error on any failure, including exceptions thrown by read().
 */
template<typename Value, typename Read>
std::optional<Value> decode(std::string_view bytes, std::error_code &error, const Read &read)
{
    try {
        const auto elements = std::min(bytes.size(), MaxDecodedElements);
        const msgpack::unpack_limit limit{elements, elements, limits::EncodedBytes, limits::EncodedBytes, 0, MaxDecodedDepth};
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

inline std::string toString(const msgpack::sbuffer &buffer)
{
    return {buffer.data(), buffer.size()};
}

} // namespace ragwortpin::internal

#endif
