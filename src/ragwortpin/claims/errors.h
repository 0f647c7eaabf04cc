#ifndef RAGWORTPIN_CLAIMS_ERRORS_H
#define RAGWORTPIN_CLAIMS_ERRORS_H

#include "ragwortpin/claims/fwd.h"

#include <system_error>
#include <type_traits>

namespace ragwortpin {

/** Errors of claims for requests to once-routes. */
enum class claims_errc {
    RecordMalformed = 1,
    StoreUnavailable,
    ClaimLost,
};

/** Returns the error category of claims_errc. */
[[nodiscard]] const std::error_category &claimsCategory() noexcept;

/** Creates an error code in the category of claims_errc; found by argument-dependent lookup. */
[[nodiscard]] std::error_code make_error_code(claims_errc error) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::claims_errc> : std::true_type
{ };

#endif
