#include "ragwortpin/claims/digest.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <memory>
#include <stdexcept>

namespace ragwortpin::internal {

namespace {

struct context_deleter
{
    void operator()(EVP_MD_CTX *context) const noexcept
    {
        EVP_MD_CTX_free(context);
    }
};

using context_pointer = std::unique_ptr<EVP_MD_CTX, context_deleter>;

[[nodiscard]] std::string toHex(const unsigned char *bytes, std::size_t size)
{
    constexpr std::string_view Digits{"0123456789abcdef"};
    std::string text;
    text.reserve(2 * size);
    for (std::size_t index{0}; index < size; ++index) {
        text += Digits[bytes[index] >> 4U];
        text += Digits[bytes[index] & 15U];
    }
    return text;
}

} // namespace

std::string digestHex(std::initializer_list<std::string_view> parts)
{
    const context_pointer context{EVP_MD_CTX_new()};
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size{0};
    auto succeeded = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (const auto part : parts) {
        const auto length = static_cast<std::uint64_t>(part.size());
        succeeded = succeeded && EVP_DigestUpdate(context.get(), &length, sizeof(length)) == 1;
        succeeded = succeeded && EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1;
    }
    if (!succeeded || EVP_DigestFinal_ex(context.get(), digest.data(), &size) != 1) {
        throw std::runtime_error{"SHA-256 is not available; check the OpenSSL installation"};
    }
    return toHex(digest.data(), size);
}

} // namespace ragwortpin::internal
