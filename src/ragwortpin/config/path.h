#ifndef RAGWORTPIN_CONFIG_PATH_H
#define RAGWORTPIN_CONFIG_PATH_H

#include <string_view>

namespace ragwortpin {

/**
 * Whether a request path has only one reading: it begins with '/', has no empty or dot segment, no backslash or control
 * character, and no percent-encoding of a character that a target may decode into another path (unreserved characters,
 * '/', '\' and NUL). Other paths match no route, so that no spelling of a path reaches a target under another route's rules.
 * One '/' at the end is allowed.
 */
[[nodiscard]] bool isCanonicalPath(std::string_view path) noexcept;

/** Whether a path may stand in a route: canonical, visible ASCII without '%', '?' and '#', and without a '/' at the end. */
[[nodiscard]] bool isRoutePath(std::string_view path) noexcept;

} // namespace ragwortpin

#endif
