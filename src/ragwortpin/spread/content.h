#ifndef RAGWORTPIN_SPREAD_CONTENT_H
#define RAGWORTPIN_SPREAD_CONTENT_H

#include "ragwortpin/spread/fwd.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin {

/** One published configuration as it travels between nodes; the text is not looked into. */
struct configuration_content
{
    std::uint64_t revision{0};
    /** SHA-256 of the text, 64 lower-case hexadecimal digits. */
    std::string digest;
    std::string text;

    bool operator==(const configuration_content &) const = default;
};

/**
 * Content expressed by what it has in common with an earlier one: its text is the first bytes of the base, then the middle,
 * then the last bytes of the base. Base revision 0 stands for an empty base, so that the middle is the whole text.
 */
struct content_patch
{
    std::uint64_t revision{0};
    std::string digest;
    std::uint64_t baseRevision{0};
    std::size_t prefixBytes{0};
    std::size_t suffixBytes{0};
    std::string middle;

    bool operator==(const content_patch &) const = default;
};

/** Makes content with the digest of its text. */
[[nodiscard]] configuration_content makeContent(std::uint64_t revision, std::string text);

/** Whether the digest is that of the text. */
[[nodiscard]] bool isIntact(const configuration_content &content);

/** Expresses content by an earlier one. */
[[nodiscard]] content_patch makePatch(const configuration_content &base, const configuration_content &content);

/** Restores content from the base of a patch; nothing when the base is another one or the digest does not match. */
[[nodiscard]] std::optional<configuration_content> applyPatch(const configuration_content &base, const content_patch &patch);

} // namespace ragwortpin

#endif
