#ifndef RAGWORTPIN_RETRIES_ALLOWANCE_H
#define RAGWORTPIN_RETRIES_ALLOWANCE_H

#include "ragwortpin/retries/fwd.h"

namespace ragwortpin {

/** Retries that the first hop mints for a whole request tree. */
inline constexpr unsigned DefaultRetryAllowance{3};

/**
 * Part of the tree's retry allowance that one hop holds for one request. A retry is in exactly one place: available
 * here, granted to a callee, or spent. Changed through the functions below only.
 */
struct retry_escrow
{
    unsigned available{0};
    /** Granted to callees that did not answer yet. */
    unsigned granted{0};
    unsigned spent{0};

    bool operator==(const retry_escrow &) const = default;
};

/** Makes the escrow of a request: at the first hop with the mint, deeper with what came with the request. */
[[nodiscard]] constexpr retry_escrow makeEscrow(unsigned allowance) noexcept
{
    return retry_escrow{allowance, 0, 0};
}

/** Grants a callee all that is available; the number travels with the call. */
[[nodiscard]] unsigned grantToCallee(retry_escrow &escrow) noexcept;

/** Grants a callee at most so many, for calls that go out in parallel. */
[[nodiscard]] unsigned grantToCallee(retry_escrow &escrow, unsigned most) noexcept;

/**
 * Returns what a hop grants to a callee. On a route whose lost answers may be retried the hop keeps one retry, since a lost
 * answer takes its whole grant with it; on others it grants all, so that the hop next to the failure can use it.
 */
[[nodiscard]] constexpr unsigned grantFor(const retry_escrow &escrow, bool retryable) noexcept
{
    return retryable && escrow.available > 1 ? escrow.available - 1 : escrow.available;
}

/** Takes back what a callee's answer says was left of its grant; more than was granted counts as the grant. */
void settleGrant(retry_escrow &escrow, unsigned grant, unsigned unused) noexcept;

/** Spends the grant of a callee whose answer was lost: it may have used all of it. */
void loseGrant(retry_escrow &escrow, unsigned grant) noexcept;

/** Spends one retry here; false when none is available. */
[[nodiscard]] bool spendRetry(retry_escrow &escrow) noexcept;

/** Returns what the answer up the chain gives back. Grants still open stay spent. */
[[nodiscard]] constexpr unsigned unusedAllowance(const retry_escrow &escrow) noexcept
{
    return escrow.available;
}

} // namespace ragwortpin

#endif
