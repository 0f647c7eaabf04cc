#include "ragwortpin/identity/error.h"

#include "ragwortpin/core/error_category.h"

namespace ragwortpin {

namespace {

using text = error_text<identity_errc>;

constexpr std::array Texts{
    text{identity_errc::Malformed, "the signed request context cannot be decoded; send calls through a node"},
    text{identity_errc::WrongSignature,
         "the request context is not signed with an accepted secret; configure the same secret file on all nodes"},
    text{identity_errc::WrongAudience, "the request context was signed for another instance; check that instance names are unique"},
    text{identity_errc::Expired, "the request context has expired or was signed in the future; synchronise the clocks of the instances"},
    text{identity_errc::SecretTooShort, "the secret is shorter than 32 bytes; create one with 'openssl rand -hex 32'"},
};

const error_category<identity_errc, Texts.size()> Category{"identity", Texts};

} // namespace

const std::error_category &identityCategory() noexcept
{
    return Category;
}

std::error_code make_error_code(identity_errc value) noexcept
{
    return {static_cast<int>(value), identityCategory()};
}

} // namespace ragwortpin
