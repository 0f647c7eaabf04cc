#include "ragwortpin/config/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <cstddef>
#include <stdexcept>

namespace ragwortpin {

namespace internal {

constexpr std::string_view HexDigits{"0123456789abcdef"};

} // namespace internal

sha256_digest sha256Of(std::string_view text)
{
    sha256_digest digest{};
    if (EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error{"SHA-256 is not available; install OpenSSL with its default provider"};
    }
    return digest;
}

std::string toHex(const sha256_digest &digest)
{
    std::string text;
    text.reserve(digest.size() * 2);
    for (const auto byte : digest) {
        text += internal::HexDigits[byte >> 4U];
        text += internal::HexDigits[byte & 0x0fU];
    }
    return text;
}

std::optional<sha256_digest> parseDigest(std::string_view text) noexcept
{
    sha256_digest digest{};
    if (text.size() != digest.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t index{0}; index < digest.size(); ++index) {
        const auto high = internal::HexDigits.find(text[index * 2]);
        const auto low = internal::HexDigits.find(text[index * 2 + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest[index] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

bool equalsInConstantTime(const sha256_digest &left, const sha256_digest &right) noexcept
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace ragwortpin
