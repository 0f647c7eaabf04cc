#include "ragwortpin/peers/signature.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace ragwortpin {

namespace {

bool isSignedWith(std::string_view body, std::string_view signature, std::string_view secret)
{
    if (secret.empty()) {
        return false;
    }
    const auto expected = signatureOf(body, secret);
    return expected.size() == signature.size() && CRYPTO_memcmp(expected.data(), signature.data(), expected.size()) == 0;
}

} // namespace

std::string signatureOf(std::string_view body, std::string_view secret)
{
    constexpr std::string_view Digits{"0123456789abcdef"};
    constexpr unsigned NibbleBits{4};
    constexpr unsigned NibbleMask{0xf};
    std::array<unsigned char, EVP_MAX_MD_SIZE> tag{};
    unsigned size{0};
    const auto *bytes = reinterpret_cast<const unsigned char *>(body.data());
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes, body.size(), tag.data(), &size);
    std::string result;
    for (unsigned index{0}; index < size; ++index) {
        result.push_back(Digits[tag[index] >> NibbleBits]);
        result.push_back(Digits[tag[index] & NibbleMask]);
    }
    return result;
}

bool isSigned(std::string_view body, std::string_view signature, const datagram_secrets &secrets)
{
    return isSignedWith(body, signature, secrets.current) || isSignedWith(body, signature, secrets.previous);
}

} // namespace ragwortpin
