#ifndef RAGWORTPIN_RETRIES_ALLOWANCE_H
#define RAGWORTPIN_RETRIES_ALLOWANCE_H

#include "ragwortpin/retries/fwd.h"

namespace ragwortpin {

/** Number of retries that the first hop allows for a whole request tree. */
inline constexpr unsigned DefaultRetryAllowance{3};

/**
 * Part of the request tree's retry allowance that one hop holds for one request. Each retry is in exactly one state: available at this
 * hop, granted to a callee, or spent. Must only be modified through the functions below.
 */
struct retry_allowance
{
    unsigned available{0};
    /** Granted to callees that have not answered yet. */
    unsigned granted{0};
    unsigned spent{0};

    bool operator==(const retry_allowance &) const = default;
};

/** Creates the escrow of a request from the allowance of the whole tree at the first hop, and from the received grant at later hops. */
[[nodiscard]] constexpr retry_allowance makeAllowance(unsigned allowance) noexcept
{
    return retry_allowance{allowance, 0, 0};
}

/** Grants a callee all available retries. Returns their number, which is sent with the call. */
[[nodiscard]] unsigned grantToCallee(retry_allowance &escrow) noexcept;

/** Grants a callee at most the given number of retries; for calls that are made in parallel. Returns the number granted. */
[[nodiscard]] unsigned grantToCallee(retry_allowance &escrow, unsigned most) noexcept;

/**
 * Returns the number of retries to grant to a callee. On a route whose lost answers may be retried, the hop keeps one retry if it has
 * more than one, since the whole grant counts as spent if the answer is lost. On other routes it grants all retries, so that the hop
 * next to the failure can use them.
 */
[[nodiscard]] constexpr unsigned grantFor(const retry_allowance &escrow, bool retryable) noexcept
{
    return retryable && escrow.available > 1 ? escrow.available - 1 : escrow.available;
}

/** Returns the unused part of a grant to the escrow, as reported in the callee's answer. A number above the grant counts as the grant. */
void settleGrant(retry_allowance &escrow, unsigned grant, unsigned unused) noexcept;

/** Marks the grant of a callee whose answer was lost as spent, since the callee may have used all of it. */
void forfeitGrant(retry_allowance &escrow, unsigned grant) noexcept;

/** Spends one retry at this hop. Returns false if none is available. */
[[nodiscard]] bool spendRetry(retry_allowance &escrow) noexcept;

/** Returns the unused retries that this hop's answer gives back to its caller. Grants that are not settled count as spent. */
[[nodiscard]] constexpr unsigned unusedAllowance(const retry_allowance &escrow) noexcept
{
    return escrow.available;
}

} // namespace ragwortpin

#endif
