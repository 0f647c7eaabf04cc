#include "ragwortpin/core/names.h"

#include <array>
#include <cstdint>

namespace ragwortpin {

namespace {

/** Lead bytes of one length of an encoded code point, and the smallest code point that needs this length. */
struct sequence_form
{
    unsigned char mask;
    unsigned char lead;
    std::size_t length;
    std::uint32_t smallest;
};

constexpr std::array SequenceForms{sequence_form{0x80, 0x00, 1, 0x0},
                                   sequence_form{0xe0, 0xc0, 2, 0x80},
                                   sequence_form{0xf0, 0xe0, 3, 0x800},
                                   sequence_form{0xf8, 0xf0, 4, 0x10000}};
constexpr unsigned ContinuationMask{0xc0};
constexpr unsigned ContinuationLead{0x80};
constexpr unsigned ContinuationBits{6};
constexpr std::uint32_t LargestCodePoint{0x10ffff};

constexpr bool isSurrogate(std::uint32_t codePoint) noexcept
{
    return codePoint >= 0xd800 && codePoint <= 0xdfff;
}

constexpr bool isControl(std::uint32_t codePoint) noexcept
{
    return codePoint < 0x20 || (codePoint >= 0x7f && codePoint < 0xa0);
}

/** Removes the first code point from the text. Returns false if the text does not begin with one that is valid in a name. */
bool takeCodePoint(std::string_view &text) noexcept
{
    const auto first = static_cast<unsigned char>(text.front());
    for (const auto &form : SequenceForms) {
        if ((first & form.mask) != form.lead) {
            continue;
        }
        if (text.size() < form.length) {
            return false;
        }
        auto codePoint = static_cast<std::uint32_t>(first & static_cast<unsigned char>(~form.mask));
        for (const auto character : text.substr(1, form.length - 1)) {
            const auto next = static_cast<unsigned char>(character);
            if ((next & ContinuationMask) != ContinuationLead) {
                return false;
            }
            codePoint = (codePoint << ContinuationBits) | (next & ~ContinuationMask);
        }
        text.remove_prefix(form.length);
        return codePoint >= form.smallest && codePoint <= LargestCodePoint && !isSurrogate(codePoint) && !isControl(codePoint);
    }
    return false;
}

} // namespace

bool isName(std::string_view text) noexcept
{
    if (text.empty() || text.size() > MaxNameBytes || text.front() == ' ' || text.back() == ' ') {
        return false;
    }
    while (!text.empty()) {
        if (!takeCodePoint(text)) {
            return false;
        }
    }
    return true;
}

} // namespace ragwortpin
