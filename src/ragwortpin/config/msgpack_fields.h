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
/** Most entries of one list; an encoding within the size limit holds fewer. */
constexpr std::size_t MaximumDecodedElements{100'000};
constexpr std::size_t MaximumDecodedDepth{8};

using packer = msgpack::packer<msgpack::sbuffer>;

/** Raised for an array that is shorter than its fields or another type, and for unknown kinds; caught in decode(). */
struct malformed_encoding : std::runtime_error
{
    malformed_encoding()
        : std::runtime_error{"malformed encoding"}
    { }
};

/** Raised for a format that this release does not know; caught in decode(). */
struct unknown_format : std::runtime_error
{
    unknown_format()
        : std::runtime_error{"unknown format"}
    { }
};

/** Packs fields one after the other, within an array that was begun. */
template<typename... Fields>
void packEach(packer &output, const Fields &...fields)
{
    (output.pack(fields), ...);
}

/** Packs fields as one array. */
template<typename... Fields>
void packFields(packer &output, const Fields &...fields)
{
    output.pack_array(sizeof...(Fields));
    packEach(output, fields...);
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

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_array.via.array.size;
    }

    /** Whether fields are left; encodings of earlier releases end sooner. */
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

/** Unpacks bytes and calls read(cursor over the outer array, value); reports every failure as an error. */
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

inline std::string toString(const msgpack::sbuffer &buffer)
{
    return {buffer.data(), buffer.size()};
}

} // namespace ragwortpin::internal

#endif
