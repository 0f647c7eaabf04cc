#include "ragwortpin/config/path.h"

#include <algorithm>
#include <cctype>
#include <cstddef>

namespace ragwortpin {

namespace internal {

constexpr int InvalidDigit{-1};

int hexValue(char digit) noexcept
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return InvalidDigit;
}

/** Returns whether the route of a path could depend on whether the percent-encoded character is decoded. */
bool isAmbiguousWhenEncoded(int code) noexcept
{
    if (code == 0 || code == '/' || code == '\\' || code == '.' || code == '-' || code == '_' || code == '~') {
        return true;
    }
    return code < 0x80 && std::isalnum(code) != 0;
}

bool areEscapesCanonical(std::string_view path) noexcept
{
    for (auto position = path.find('%'); position != std::string_view::npos; position = path.find('%', position + 1)) {
        if (position + 2 >= path.size()) {
            return false;
        }
        const auto high = hexValue(path[position + 1]);
        const auto low = hexValue(path[position + 2]);
        if (high == InvalidDigit || low == InvalidDigit || isAmbiguousWhenEncoded(high * 16 + low)) {
            return false;
        }
    }
    return true;
}

bool areSegmentsCanonical(std::string_view path) noexcept
{
    std::size_t begin{1};
    while (begin < path.size()) {
        const auto end = std::min(path.find('/', begin), path.size());
        const auto segment = path.substr(begin, end - begin);
        if (segment.empty() || segment == "." || segment == "..") {
            return false;
        }
        begin = end + 1;
    }
    return true;
}

bool isPathCharacter(char character) noexcept
{
    const auto code = static_cast<unsigned char>(character);
    return code > 0x20 && code != 0x7f && character != '\\' && character != '?' && character != '#';
}

} // namespace internal

bool isCanonicalPath(std::string_view path) noexcept
{
    return path.starts_with('/') && std::all_of(path.begin(), path.end(), internal::isPathCharacter) && internal::areSegmentsCanonical(path)
        && internal::areEscapesCanonical(path);
}

bool isRoutePath(std::string_view path) noexcept
{
    if (path == "/") {
        return true;
    }
    return isCanonicalPath(path) && !path.ends_with('/') && std::all_of(path.begin(), path.end(), [](char character) {
               return static_cast<unsigned char>(character) < 0x7f && character != '%';
           });
}

} // namespace ragwortpin
