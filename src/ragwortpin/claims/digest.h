#ifndef RAGWORTPIN_CLAIMS_DIGEST_H
#define RAGWORTPIN_CLAIMS_DIGEST_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace ragwortpin::internal {

/**
 * Returns the SHA-256 digest of the parts, each preceded by its length, as 64 lower-case hexadecimal digits. Throws
 * std::runtime_error if OpenSSL does not provide SHA-256.
 */
[[nodiscard]] std::string digestHex(std::initializer_list<std::string_view> parts);

} // namespace ragwortpin::internal

#endif
