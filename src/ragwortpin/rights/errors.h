#ifndef RAGWORTPIN_RIGHTS_ERRORS_H
#define RAGWORTPIN_RIGHTS_ERRORS_H

#include "ragwortpin/rights/fwd.h"

#include <system_error>
#include <type_traits>

namespace ragwortpin {

/** Errors of the rate limiter's protocol. */
enum class rights_errc {
    MessageTooLong = 1,
    MessageMalformed,
    RecordMalformed,
};

/** Category of rights_errc. */
[[nodiscard]] const std::error_category &rightsCategory() noexcept;

/** Makes an error code of an error kind; found by argument-dependent lookup. */
[[nodiscard]] std::error_code make_error_code(rights_errc error) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::rights_errc> : std::true_type
{ };

#endif
