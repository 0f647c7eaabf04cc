#ifndef RAGWORTPIN_CONFIG_ERROR_H
#define RAGWORTPIN_CONFIG_ERROR_H

#include <system_error>

namespace ragwortpin {

/** Errors of decoding stored configurations and of publishing them. */
enum class config_errc {
    /** The stored bytes cannot be decoded, or only one of the head and the history exists. */
    Malformed = 1,
    /** The format version is not known to this release. */
    UnknownFormat,
    /** The encoding exceeds limits::EncodedBytes. */
    TooLarge,
    /** The change is not based on the current revision or an earlier one. */
    WrongBase,
    /** No configuration has been published. */
    NotPublished,
    /** The store has no snapshot or change of the revision. */
    Pruned,
    /** Other operators published first in every attempt of a publication. */
    Contended,
};

/** Returns the error category of config_errc. */
[[nodiscard]] const std::error_category &configCategory() noexcept;

/** Returns the error code for a configuration error. */
[[nodiscard]] std::error_code make_error_code(config_errc kind) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::config_errc> : std::true_type
{ };

#endif
