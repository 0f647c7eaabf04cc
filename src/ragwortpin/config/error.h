#ifndef RAGWORTPIN_CONFIG_ERROR_H
#define RAGWORTPIN_CONFIG_ERROR_H

#include <system_error>

namespace ragwortpin {

/** Errors of encoded configurations and of their publication. */
enum class config_errc {
    Malformed = 1,
    UnknownFormat,
    TooLarge,
    WrongBase,
    NotPublished,
    Pruned,
    Contended,
};

/** Returns the category of config_errc. */
[[nodiscard]] const std::error_category &configCategory() noexcept;

/** Makes an error code of a configuration error. */
[[nodiscard]] std::error_code make_error_code(config_errc kind) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::config_errc> : std::true_type
{ };

#endif
