#ifndef RAGWORTPIN_STORE_ERROR_H
#define RAGWORTPIN_STORE_ERROR_H

#include <system_error>

namespace ragwortpin {

/** Errors of calls to the platform's store. */
enum class store_errc {
    /** No endpoint took the call: no byte of it was sent. */
    Unreachable = 1,
    /** The call was sent and no answer came in time. */
    TimedOut,
    /** The call was sent and the connection ended before a whole answer came. */
    AnswerLost,
    /** The answer is not one of the protocol. */
    MalformedAnswer,
    /** The store refused the call as wrong; it had no effect. */
    Refused,
    /** The store answered that it cannot serve the call now. */
    Unavailable,
    /** The changes after the revision of a watch are not kept any more. */
    HistoryLost,
    /** The store does not know this kind of call. */
    NotSupported,
};

/** Returns the category of store_errc. */
[[nodiscard]] const std::error_category &storeCategory() noexcept;

/** Makes an error code of a store error. */
[[nodiscard]] std::error_code make_error_code(store_errc kind) noexcept;

/** Whether a call that ended with this error may have changed the store. False only where that is certain. */
[[nodiscard]] bool mayHaveTakenEffect(const std::error_code &error) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::store_errc> : std::true_type
{ };

#endif
