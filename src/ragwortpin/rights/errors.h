#ifndef RAGWORTPIN_RIGHTS_ERRORS_H
#define RAGWORTPIN_RIGHTS_ERRORS_H

#include "ragwortpin/rights/fwd.h"

#include <system_error>
#include <type_traits>

namespace ragwortpin {

/** Errors in the messages and slot records of the distributed rate limiter. */
enum class rights_errc {
    MessageTooLong = 1,
    MessageMalformed,
    RecordMalformed,
};

/** Returns the error category of rights_errc. */
[[nodiscard]] const std::error_category &rightsCategory() noexcept;

/** Creates an error code in the category of rights_errc; found by argument-dependent lookup. */
[[nodiscard]] std::error_code make_error_code(rights_errc error) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::rights_errc> : std::true_type
{ };

#endif
