#ifndef RAGWORTPIN_HTTP_BOUNDED_READ_H
#define RAGWORTPIN_HTTP_BOUNDED_READ_H

#include "ragwortpin/http/framing.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <cstddef>
#include <cstdint>

namespace ragwortpin {

namespace internal {

/**
 * Bytes other than the header section and the body that a message may have for each byte of its body, and besides: chunk sizes, chunk
 * extensions and trailers. Six are the framing of a chunk of one byte.
 */
inline constexpr std::uint64_t FramingBytesPerBodyByte{8};
inline constexpr std::uint64_t MaxFramingBytes{64UL * 1024UL};
/** Bytes that a connection buffers beyond the longest header section: one read ahead of the parser. */
inline constexpr std::size_t ReadAheadBytes{128UL * 1024UL};

} // namespace internal

/** Returns an empty buffer for a connection whose messages have header sections up to the given length. It never grows beyond that. */
[[nodiscard]] inline boost::beast::flat_buffer makeReadBuffer(std::size_t headerBytes)
{
    return boost::beast::flat_buffer{headerBytes + internal::ReadAheadBytes};
}

namespace internal {

/** Reserves no memory. For messages whose size is bounded by other means. */
struct no_reservation
{
    [[nodiscard]] boost::asio::awaitable<bool> operator()(std::size_t) const
    {
        co_return true;
    }
};

/**
 * Returns how much memory a body needs for the next read, in bytes: its length if it is known, else what it may have grown to after that
 * read. A body without a length is moved when it grows, so that it is held twice for a moment.
 */
template<typename Parser>
[[nodiscard]] std::size_t memoryForNextRead(const Parser &parser, const boost::beast::flat_buffer &buffer)
{
    constexpr std::size_t SmallestRead{512};
    const std::size_t held{parser.get().body().size()};
    if (const auto length = parser.content_length()) {
        return static_cast<std::size_t>(*length);
    }
    return 2 * held + buffer.capacity() + SmallestRead;
}

} // namespace internal

/**
 * Reads a message, or the rest of it if its header section was read already. The parser limits the header section and the body, but neither
 * chunk sizes and extensions nor trailers; a message with more of them than internal::MaxFramingBytes and the multiple of its body ends
 * with header_limit, and a line longer than the buffer of makeReadBuffer() with buffer_overflow. A message that fails checkFraming() ends
 * with its error, unless the header section was read already. Trailers are discarded.
 *
 * Before each read of the body, the reservation is asked for the memory, in bytes, that the body needs then. If it returns false, the
 * message ends with no_buffer_space.
 */
template<typename Stream, typename Parser, typename Reservation = internal::no_reservation>
[[nodiscard]] boost::asio::awaitable<void>
readBounded(Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser, boost::system::error_code &error, Reservation reserve = {})
{
    namespace http = boost::beast::http;
    using boost::asio::redirect_error;
    using boost::asio::use_awaitable;
    if (!parser.is_header_done()) {
        co_await http::async_read_header(stream, buffer, parser, redirect_error(use_awaitable, error));
        if (!error) {
            error = checkFraming(parser.get());
        }
    }
    const auto headerFields = parser.chunked() ? internal::listFields(parser.get()) : internal::field_list{};
    parser.eager(true);
    std::uint64_t received{0};
    while (!error && !parser.is_done()) {
        const bool isReserved{co_await reserve(internal::memoryForNextRead(parser, buffer))};
        if (!isReserved) {
            error = boost::asio::error::no_buffer_space;
            break;
        }
        received += co_await http::async_read_some(stream, buffer, parser, redirect_error(use_awaitable, error));
        const std::uint64_t body{parser.get().body().size()};
        if (!error && received > body * (1 + internal::FramingBytesPerBodyByte) + internal::MaxFramingBytes) {
            error = http::error::header_limit;
        }
    }
    if (!error && parser.chunked()) {
        internal::removeUnlistedFields(parser.get(), headerFields);
    }
}

} // namespace ragwortpin

#endif
