#ifndef RAGWORTPIN_CLAIMS_DIGEST_H
#define RAGWORTPIN_CLAIMS_DIGEST_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace ragwortpin::internal {

/** SHA-256 over the parts, each preceded by its length, as 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string digestHex(std::initializer_list<std::string_view> parts);

} // namespace ragwortpin::internal

#endif
