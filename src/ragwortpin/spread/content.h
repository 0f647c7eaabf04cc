#ifndef RAGWORTPIN_SPREAD_CONTENT_H
#define RAGWORTPIN_SPREAD_CONTENT_H

#include "ragwortpin/spread/fwd.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin {

/** A published configuration as sent between nodes. The text is opaque at this level. */
struct configuration_content
{
    std::uint64_t revision{0};
    /** SHA-256 of the text as 64 lower-case hexadecimal digits. */
    std::string digest;
    std::string text;

    bool operator==(const configuration_content &) const = default;
};

/**
 * Difference between a configuration and an earlier one, the base. The text is the concatenation of the first `prefixBytes` bytes of
 * the base, `middle`, and the last `suffixBytes` bytes of the base. Base revision 0 denotes an empty base: `middle` is the full text.
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

/** Creates content with the given revision and text, and computes its digest. */
[[nodiscard]] configuration_content makeContent(std::uint64_t revision, std::string text);

/** Returns whether the digest matches the text. */
[[nodiscard]] bool isIntact(const configuration_content &content);

/** Creates the patch that turns the base into the content, with the longest common prefix and suffix. */
[[nodiscard]] content_patch makePatch(const configuration_content &base, const configuration_content &content);

/**
 * Applies a patch to its base. Returns std::nullopt if the base has another revision or is too short, or if the digest does not match
 * the result.
 */
[[nodiscard]] std::optional<configuration_content> applyPatch(const configuration_content &base, const content_patch &patch);

} // namespace ragwortpin

#endif
