#ifndef RAGWORTPIN_CONFIG_DIGEST_H
#define RAGWORTPIN_CONFIG_DIGEST_H

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin {

/** A SHA-256 digest. */
using sha256_digest = std::array<std::uint8_t, 32>;

/** Returns the SHA-256 digest of a text. */
[[nodiscard]] sha256_digest sha256Of(std::string_view text);

/** Writes a digest as 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string toHex(const sha256_digest &digest);

/** Reads 64 lower-case hexadecimal digits; nothing for any other text. */
[[nodiscard]] std::optional<sha256_digest> parseDigest(std::string_view text) noexcept;

/** Compares two digests in a time that does not depend on their content. */
[[nodiscard]] bool equalsInConstantTime(const sha256_digest &left, const sha256_digest &right) noexcept;

} // namespace ragwortpin

#endif
