#ifndef RAGWORTPIN_CORE_WIRE_H
#define RAGWORTPIN_CORE_WIRE_H

#include "ragwortpin/core/time.h"

#include <msgpack.hpp>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace ragwortpin::internal {

/** Limits on decoded input. Input that exceeds one is rejected. */
struct wire_limits
{
    /** Maximum number of items of an array. */
    std::size_t items{16};
    /** Maximum length of a string in bytes. */
    std::size_t nameBytes{128};
    /** Maximum nesting depth of arrays. */
    std::size_t depth{6};
};

/** Thrown within the codec when a value has an unexpected type, is out of range or exceeds a limit. decodeBytes() catches it. */
struct wire_decode_error
{ };

using wire_packer = msgpack::packer<msgpack::sbuffer>;

/** Struct with an overload of wireFields(), which returns references to its fields as a tuple in the order on the wire. */
template<typename Value>
concept wire_struct = requires(Value &value)
{
    wireFields(value);
};

template<typename Value>
struct is_vector : std::false_type
{ };

template<typename Item>
struct is_vector<std::vector<Item>> : std::true_type
{ };

/** Encodes a scalar, a string, a vector, or a wire_struct as an array of its fields. Times are encoded in microseconds. */
template<typename Value>
void packValue(wire_packer &packer, const Value &value)
{
    if constexpr (std::is_same_v<Value, time_point>) {
        packer.pack(value.time_since_epoch().count());
    } else if constexpr (std::is_same_v<Value, duration>) {
        packer.pack(value.count());
    } else if constexpr (is_vector<Value>::value) {
        packer.pack_array(static_cast<std::uint32_t>(value.size()));
        for (const auto &item : value) {
            packValue(packer, item);
        }
    } else if constexpr (wire_struct<const Value>) {
        const auto fields = wireFields(value);
        packer.pack_array(std::tuple_size_v<decltype(fields)>);
        std::apply(
            [&packer](const auto &...field) {
                (packValue(packer, field), ...);
            },
            fields);
    } else {
        packer.pack(value);
    }
}

/** Returns the object as an array. Throws wire_decode_error when it is not an array of the given size. */
inline const msgpack::object_array &expectArray(const msgpack::object &object, std::size_t size)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size) {
        throw wire_decode_error{};
    }
    return object.via.array;
}

template<typename Value>
void unpackValue(const msgpack::object &object, Value &value, const wire_limits &limits);

template<typename Integer>
void unpackInteger(const msgpack::object &object, Integer &value)
{
    if (object.type != msgpack::type::POSITIVE_INTEGER && object.type != msgpack::type::NEGATIVE_INTEGER) {
        throw wire_decode_error{};
    }
    value = object.as<Integer>();
}

template<typename Item>
void unpackVector(const msgpack::object &object, std::vector<Item> &list, const wire_limits &limits)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size > limits.items) {
        throw wire_decode_error{};
    }
    list.resize(object.via.array.size);
    for (std::size_t index{0}; index < list.size(); ++index) {
        unpackValue(object.via.array.ptr[index], list[index], limits);
    }
}

inline void unpackString(const msgpack::object &object, std::string &text, const wire_limits &limits)
{
    if (object.type != msgpack::type::STR || object.via.str.size > limits.nameBytes) {
        throw wire_decode_error{};
    }
    text.assign(object.via.str.ptr, object.via.str.size);
}

/** Decodes a finite, non-negative number. */
inline void unpackFiniteNumber(const msgpack::object &object, double &value)
{
    // The MessagePack library encodes a floating-point number without a fraction as an integer, so both types are accepted.
    value = object.as<double>();
    if (!std::isfinite(value) || value < 0.0) {
        throw wire_decode_error{};
    }
}

/** Decodes a value. Throws wire_decode_error or msgpack::type_error when the input has the wrong type or exceeds a limit. */
template<typename Value>
void unpackValue(const msgpack::object &object, Value &value, const wire_limits &limits)
{
    if constexpr (std::is_same_v<Value, time_point>) {
        std::int64_t count{0};
        unpackInteger(object, count);
        value = time_point{duration{count}};
    } else if constexpr (std::is_same_v<Value, duration>) {
        std::int64_t count{0};
        unpackInteger(object, count);
        value = duration{count};
    } else if constexpr (std::is_same_v<Value, std::string>) {
        unpackString(object, value, limits);
    } else if constexpr (std::is_same_v<Value, double>) {
        unpackFiniteNumber(object, value);
    } else if constexpr (std::is_same_v<Value, bool>) {
        if (object.type != msgpack::type::BOOLEAN) {
            throw wire_decode_error{};
        }
        value = object.via.boolean;
    } else if constexpr (is_vector<Value>::value) {
        unpackVector(object, value, limits);
    } else if constexpr (wire_struct<Value>) {
        auto fields = wireFields(value);
        const auto &array = expectArray(object, std::tuple_size_v<decltype(fields)>);
        std::apply(
            [&](auto &...field) {
                std::size_t index{0};
                (unpackValue(array.ptr[index++], field, limits), ...);
            },
            fields);
    } else {
        unpackInteger(object, value);
    }
}

/** Encodes a wire_struct as MessagePack. */
template<typename Value>
[[nodiscard]] std::string encodeStruct(const Value &value)
{
    msgpack::sbuffer buffer;
    wire_packer packer{buffer};
    packValue(packer, value);
    return {buffer.data(), buffer.size()};
}

/**
 * Decodes MessagePack within the limits and calls the reader with the root object. Returns false when the input is malformed, has
 * trailing bytes or exceeds a limit, and when the reader throws wire_decode_error or a MessagePack type or unpack error.
 */
template<typename Reader>
[[nodiscard]] bool decodeBytes(std::string_view bytes, const wire_limits &limits, Reader &&reader)
{
    try {
        const msgpack::unpack_limit unpackLimit{limits.items, 0, limits.nameBytes, 0, 0, limits.depth};
        std::size_t offset{0};
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, unpackLimit);
        if (offset != bytes.size()) {
            return false;
        }
        reader(handle.get());
        return true;
    } catch (const wire_decode_error &) {
        return false;
    } catch (const msgpack::unpack_error &) {
        return false;
    } catch (const msgpack::type_error &) {
        return false;
    }
}

/** Decodes a struct written by encodeStruct(). Returns nothing when the bytes are not a valid encoding of it. */
template<typename Value>
[[nodiscard]] std::optional<Value> decodeStruct(std::string_view bytes, const wire_limits &limits = {})
{
    Value value;
    const bool isDecoded{decodeBytes(bytes, limits, [&value, &limits](const msgpack::object &object) {
        unpackValue(object, value, limits);
    })};
    return isDecoded ? std::optional{std::move(value)} : std::nullopt;
}

} // namespace ragwortpin::internal

#endif
