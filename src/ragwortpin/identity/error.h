#ifndef RAGWORTPIN_IDENTITY_ERROR_H
#define RAGWORTPIN_IDENTITY_ERROR_H

#include "ragwortpin/identity/fwd.h"

#include <system_error>

namespace ragwortpin {

/** Why a signed request context was not accepted. */
enum class identity_errc {
    Malformed = 1,
    WrongSignature,
    WrongAudience,
    Expired,
    SecretTooShort,
};

[[nodiscard]] const std::error_category &identityCategory() noexcept;
[[nodiscard]] std::error_code make_error_code(identity_errc value) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::identity_errc> : std::true_type
{ };

#endif
