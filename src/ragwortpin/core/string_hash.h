#ifndef RAGWORTPIN_CORE_STRING_HASH_H
#define RAGWORTPIN_CORE_STRING_HASH_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ragwortpin {

/** Transparent hash for containers keyed by std::string, which allows lookup by std::string_view without a copy. */
struct string_hash
{
    using is_transparent = void;

    [[nodiscard]] std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** Hash map keyed by std::string that supports lookup by std::string_view through find(). */
template<typename Value>
using string_map = std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;

} // namespace ragwortpin

#endif
