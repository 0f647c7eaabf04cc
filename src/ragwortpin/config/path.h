#ifndef RAGWORTPIN_CONFIG_PATH_H
#define RAGWORTPIN_CONFIG_PATH_H

#include <string_view>

namespace ragwortpin {

/**
 * Returns whether a request path is canonical, so that nodes and targets cannot interpret it differently: it begins with '/',
 * has no empty or dot segment, no space, backslash, '?', '#' or control character, and no percent-encoding of a character that a
 * target may decode into another path (unreserved characters, '/', '\' and NUL). Other paths match no route; otherwise an
 * alternative spelling of a path could reach a target under the rules of another route. One '/' at the end is allowed.
 */
[[nodiscard]] bool isCanonicalPath(std::string_view path) noexcept;

/**
 * Returns whether a path is valid in a route: "/", or a canonical path of visible ASCII characters without '%' and without a '/'
 * at the end.
 */
[[nodiscard]] bool isRoutePath(std::string_view path) noexcept;

} // namespace ragwortpin

#endif
