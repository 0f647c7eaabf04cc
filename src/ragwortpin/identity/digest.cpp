#include "ragwortpin/identity/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <stdexcept>

namespace ragwortpin {

namespace {

constexpr std::size_t Base64GroupCharacters{4};
constexpr std::size_t Base64GroupBytes{3};

const unsigned char *asBytes(std::string_view text) noexcept
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

std::size_t countBase64Padding(std::string_view text) noexcept
{
    if (text.ends_with("==")) {
        return 2;
    }
    return text.ends_with('=') ? 1 : 0;
}

} // namespace

std::string hmacSha256(std::string_view secret, std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> result{};
    unsigned int size{0};
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), asBytes(data), data.size(), result.data(), &size);
    return {reinterpret_cast<const char *>(result.data()), size};
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view Digits{"0123456789abcdef"};
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(Digits[value >> 4U]);
        text.push_back(Digits[value & 0x0FU]);
    }
    return text;
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> result{};
    SHA256(asBytes(data), data.size(), result.data());
    return toHex({reinterpret_cast<const char *>(result.data()), result.size()});
}

bool constantTimeEqual(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string base64Encode(std::string_view bytes)
{
    std::string text((bytes.size() + Base64GroupBytes - 1) / Base64GroupBytes * Base64GroupCharacters + 1, '\0');
    const auto size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), asBytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> base64Decode(std::string_view text)
{
    if (text.size() % Base64GroupCharacters != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / Base64GroupCharacters * Base64GroupBytes, '\0');
    const auto size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), asBytes(text), static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size) - countBase64Padding(text));
    return bytes;
}

std::string randomHex(std::size_t bytes)
{
    std::string buffer(bytes, '\0');
    auto *data = reinterpret_cast<unsigned char *>(buffer.data());
    if (RAND_bytes(data, static_cast<int>(bytes)) != 1) {
        throw std::runtime_error{"OpenSSL could not generate random bytes; check the entropy source of the operating system"};
    }
    return toHex(buffer);
}

} // namespace ragwortpin
