#ifndef RAGWORTPIN_CORE_STRING_HASH_H
#define RAGWORTPIN_CORE_STRING_HASH_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ragwortpin {

/** Hash that lets tables keyed by std::string be searched by std::string_view. */
struct string_hash
{
    using is_transparent = void;

    [[nodiscard]] std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** Hash table keyed by std::string that can be searched by std::string_view. */
template<typename Value>
using string_table = std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;

} // namespace ragwortpin

#endif
