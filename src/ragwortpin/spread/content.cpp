#include "ragwortpin/spread/content.h"

#include "ragwortpin/identity/digest.h"

#include <algorithm>
#include <utility>

namespace ragwortpin {

configuration_content makeContent(std::uint64_t revision, std::string text)
{
    auto digest = sha256Hex(text);
    return {revision, std::move(digest), std::move(text)};
}

bool isIntact(const configuration_content &content)
{
    return sha256Hex(content.text) == content.digest;
}

content_patch makePatch(const configuration_content &base, const configuration_content &content)
{
    const auto &from = base.text;
    const auto &to = content.text;
    const auto shorter = std::min(from.size(), to.size());
    const auto differs = std::mismatch(to.begin(), to.begin() + static_cast<std::ptrdiff_t>(shorter), from.begin()).first;
    const auto prefix = static_cast<std::size_t>(differs - to.begin());
    const auto rest = static_cast<std::ptrdiff_t>(shorter - prefix);
    const auto differsFromEnd = std::mismatch(to.rbegin(), to.rbegin() + rest, from.rbegin()).first;
    const auto suffix = static_cast<std::size_t>(differsFromEnd - to.rbegin());
    return {content.revision, content.digest, base.revision, prefix, suffix, to.substr(prefix, to.size() - prefix - suffix)};
}

std::optional<configuration_content> applyPatch(const configuration_content &base, const content_patch &patch)
{
    const auto isBase = base.revision == patch.baseRevision;
    if (!isBase || patch.prefixBytes > base.text.size() || patch.suffixBytes > base.text.size() - patch.prefixBytes) {
        return std::nullopt;
    }
    configuration_content content{patch.revision, patch.digest, base.text.substr(0, patch.prefixBytes)};
    content.text += patch.middle;
    content.text += base.text.substr(base.text.size() - patch.suffixBytes);
    return isIntact(content) ? std::optional{std::move(content)} : std::nullopt;
}

} // namespace ragwortpin
