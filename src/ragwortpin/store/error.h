#ifndef RAGWORTPIN_STORE_ERROR_H
#define RAGWORTPIN_STORE_ERROR_H

#include <system_error>

namespace ragwortpin {

/** Errors of calls to the platform's store. */
enum class store_errc {
    /** No endpoint could be reached: no byte of the call was sent. */
    Unreachable = 1,
    /** The call was sent, and no response was received within the timeout. */
    TimedOut,
    /** The call was sent, and the connection ended before a complete response was received. */
    AnswerLost,
    /** The response does not conform to the protocol. */
    MalformedResponse,
    /** The store rejected the call as invalid; it had no effect. */
    Refused,
    /** The store responded that it cannot serve the call now. */
    Unavailable,
    /** The store no longer keeps the changes after the revision of a watch. */
    HistoryCompacted,
    /** The protocol of the store has no such kind of call. */
    NotSupported,
};

/** Returns the error category of store_errc. */
[[nodiscard]] const std::error_category &storeCategory() noexcept;

/** Returns the std::error_code of a store error. */
[[nodiscard]] std::error_code make_error_code(store_errc kind) noexcept;

/** Returns whether a call that failed with this error may have changed the store; false only if it certainly did not. */
[[nodiscard]] bool mayHaveTakenEffect(const std::error_code &error) noexcept;

} // namespace ragwortpin

template<>
struct std::is_error_code_enum<ragwortpin::store_errc> : std::true_type
{ };

#endif
