#include "ragwortpin/identity/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <memory>
#include <stdexcept>
#include <vector>

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

struct free_mac_context
{
    void operator()(EVP_MAC_CTX *context) const noexcept
    {
        EVP_MAC_CTX_free(context);
    }
};

/** HMAC context that a secret was set in. Setting it costs more than signing a short message. */
struct keyed_mac
{
    std::string secret;
    std::unique_ptr<EVP_MAC_CTX, free_mac_context> context;
};

/** Returns a context with the secret, or nullptr if OpenSSL cannot create one. */
std::unique_ptr<EVP_MAC_CTX, free_mac_context> makeMacContext(std::string_view secret)
{
    static EVP_MAC *const algorithm{EVP_MAC_fetch(nullptr, "HMAC", nullptr)};
    std::unique_ptr<EVP_MAC_CTX, free_mac_context> context{EVP_MAC_CTX_new(algorithm)};
    std::string digest{"SHA256"};
    const std::array parameters{OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0), OSSL_PARAM_construct_end()};
    const bool isReady{context && EVP_MAC_init(context.get(), asBytes(secret), secret.size(), parameters.data()) == 1};
    return isReady ? std::move(context) : nullptr;
}

/** Returns the context of a secret from those that this thread used last; nullptr if it cannot be created. */
EVP_MAC_CTX *macContextOf(std::string_view secret)
{
    // The current and the previous secret of contexts and datagrams.
    constexpr std::size_t MaxContexts{4};
    thread_local std::vector<keyed_mac> contexts;
    const auto found = std::find_if(contexts.begin(), contexts.end(), [secret](const keyed_mac &item) {
        return item.secret == secret;
    });
    if (found != contexts.end()) {
        return found->context.get();
    }
    if (contexts.size() == MaxContexts) {
        contexts.erase(contexts.begin());
    }
    contexts.push_back({std::string{secret}, makeMacContext(secret)});
    return contexts.back().context.get();
}

} // namespace

std::string hmacSha256(std::string_view secret, std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> result{};
    auto *context = secret.empty() ? nullptr : macContextOf(secret);
    std::size_t written{0};
    const bool isSigned{context != nullptr && EVP_MAC_init(context, nullptr, 0, nullptr) == 1
                        && EVP_MAC_update(context, asBytes(data), data.size()) == 1
                        && EVP_MAC_final(context, result.data(), &written, result.size()) == 1};
    if (isSigned) {
        return {reinterpret_cast<const char *>(result.data()), written};
    }
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
    // Bytes are drawn for many calls at once. Those that were returned are erased.
    constexpr std::size_t ReserveBytes{512};
    thread_local std::string reserve;
    if (reserve.size() < bytes) {
        reserve.resize(std::max(ReserveBytes, bytes));
        if (RAND_bytes(reinterpret_cast<unsigned char *>(reserve.data()), static_cast<int>(reserve.size())) != 1) {
            reserve.clear();
            throw std::runtime_error{"OpenSSL could not generate random bytes; check the entropy source of the operating system"};
        }
    }
    const auto first = reserve.size() - bytes;
    auto text = toHex(std::string_view{reserve}.substr(first));
    OPENSSL_cleanse(reserve.data() + first, bytes);
    reserve.resize(first);
    return text;
}

} // namespace ragwortpin
