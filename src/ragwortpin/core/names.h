#ifndef RAGWORTPIN_CORE_NAMES_H
#define RAGWORTPIN_CORE_NAMES_H

#include <cstddef>
#include <string_view>

namespace ragwortpin {

/** Longest name that is accepted from outside the process, in bytes. */
inline constexpr std::size_t MaxNameBytes{128};

/**
 * Returns whether a text received from another process may be used as a name, that is, in header fields, store keys, log lines and metric
 * labels: 1 to MaxNameBytes bytes of valid UTF-8 (RFC 3629) without control characters and without spaces at its ends.
 */
[[nodiscard]] bool isName(std::string_view text) noexcept;

} // namespace ragwortpin

#endif
