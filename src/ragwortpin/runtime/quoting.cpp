#include "ragwortpin/runtime/quoting.h"

namespace ragwortpin {

void appendQuoted(std::string &line, std::string_view value)
{
    constexpr std::string_view Digits{"0123456789abcdef"};
    constexpr unsigned NibbleBits{4};
    constexpr unsigned NibbleMask{0xf};
    line.push_back('"');
    for (const auto character : value) {
        const auto code = static_cast<unsigned char>(character);
        if (code < ' ' || code > '~') {
            line.append("\\x");
            line.push_back(Digits[code >> NibbleBits]);
            line.push_back(Digits[code & NibbleMask]);
            continue;
        }
        if (character == '"' || character == '\\') {
            line.push_back('\\');
        }
        line.push_back(character);
    }
    line.push_back('"');
}

} // namespace ragwortpin
