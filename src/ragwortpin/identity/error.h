#ifndef RAGWORTPIN_IDENTITY_ERROR_H
#define RAGWORTPIN_IDENTITY_ERROR_H

#include "ragwortpin/identity/fwd.h"

#include <system_error>

namespace ragwortpin {

/** Errors of signed request contexts and of the secrets that sign them. */
enum class identity_errc {
    /** The value is not a signed context, or its payload cannot be decoded. */
    Malformed = 1,
    /** No accepted secret produces the signature. */
    WrongSignature,
    /** The context was signed for another instance. */
    WrongAudience,
    /** The time of signing differs from the wall clock by more than ContextValidityWindow. */
    Expired,
    /** The secret is shorter than 32 bytes. */
    SecretTooShort,
};

[[nodiscard]] const std::error_category &identityCategory() noexcept;
[[nodiscard]] std::error_code make_error_code(identity_errc value) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::identity_errc> : std::true_type
{ };

#endif
