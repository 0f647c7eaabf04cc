#ifndef RAGWORTPIN_IDENTITY_DIGEST_H
#define RAGWORTPIN_IDENTITY_DIGEST_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin {

/** Returns the HMAC-SHA-256 of the data as 32 raw bytes. */
[[nodiscard]] std::string hmacSha256(std::string_view secret, std::string_view data);

/** Returns bytes as lower-case hexadecimal digits, two for each byte. */
[[nodiscard]] std::string toHex(std::string_view bytes);

/** Returns the SHA-256 of the data as 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string sha256Hex(std::string_view data);

/** Compares two texts in a time that depends only on their lengths, which prevents timing attacks on secrets. */
[[nodiscard]] bool constantTimeEqual(std::string_view left, std::string_view right) noexcept;

/** Encodes bytes as base64 with padding. */
[[nodiscard]] std::string base64Encode(std::string_view bytes);

/** Decodes base64 with padding. Returns nothing when the text is not valid base64. */
[[nodiscard]] std::optional<std::string> base64Decode(std::string_view text);

/**
 * Returns the given number of cryptographically secure random bytes as lower-case hexadecimal digits, two for each byte. Throws
 * std::runtime_error when no random bytes are available.
 */
[[nodiscard]] std::string randomHex(std::size_t bytes);

} // namespace ragwortpin

#endif
