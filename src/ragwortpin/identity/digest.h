#ifndef RAGWORTPIN_IDENTITY_DIGEST_H
#define RAGWORTPIN_IDENTITY_DIGEST_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin {

/** HMAC-SHA-256 as 32 raw bytes. */
[[nodiscard]] std::string hmacSha256(std::string_view secret, std::string_view data);

/** Writes bytes as lower-case hexadecimal digits, two for each byte. */
[[nodiscard]] std::string toHex(std::string_view bytes);

/** SHA-256 as 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string sha256Hex(std::string_view data);

/** Compares in time that depends on the lengths only. */
[[nodiscard]] bool constantTimeEqual(std::string_view left, std::string_view right) noexcept;

/** Encodes bytes as base64 with padding. */
[[nodiscard]] std::string base64Encode(std::string_view bytes);

/** Decodes base64 with padding; nothing when the text is not base64. */
[[nodiscard]] std::optional<std::string> base64Decode(std::string_view text);

/** Random bytes of the operating system as lower-case hexadecimal digits, two for each byte. */
[[nodiscard]] std::string randomHex(std::size_t bytes);

} // namespace ragwortpin

#endif
