#ifndef RAGWORTPIN_RIGHTS_BUCKET_H
#define RAGWORTPIN_RIGHTS_BUCKET_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/rights/fwd.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortpin {

/** A part of a workspace's rate and burst that this node may use until a given time of its own clock. */
struct held_right
{
    /** Instance that lent the right; empty for a slot of this node. */
    std::string lender;
    std::uint64_t lenderIncarnation{0};
    /** Number of the loan, or index of the slot. */
    std::uint64_t number{0};
    double rate{0.0};
    std::uint32_t cap{0};
    time_point usableUntil;

    bool operator==(const held_right &) const = default;
};

/** A part of this node's own rights that it must not use because it is lent to a pool. */
struct granted_loan
{
    std::string borrower;
    std::uint64_t borrowerIncarnation{0};
    std::uint64_t number{0};
    double rate{0.0};
    std::uint32_t cap{0};
    /** Tokens that were transferred with the loan. Kept so that a repeated request gets the same reply. */
    double balance{0.0};
    time_point reservedUntil;

    bool operator==(const granted_loan &) const = default;
};

/** Tokens granted to another node, which may still hold them. */
struct granted_batch
{
    std::string holder;
    std::uint64_t holderIncarnation{0};
    /** Number of the holder's latest request. */
    std::uint64_t number{0};
    /** Tokens granted for the latest request. They return to the bucket if the next request shows that the holder did not accept them. */
    std::uint32_t granted{0};
    /** Tokens that the holder may still spend, including the latest grant. */
    std::uint32_t outstanding{0};
    time_point reservedUntil;

    bool operator==(const granted_batch &) const = default;
};

/**
 * Token bucket of a workspace at one node. Two invariants hold: the tokens in the bucket, the tokens granted in batches and the
 * caps lent never exceed the sum of the caps of the rights held; and the bucket is refilled at most at the sum of the rates held
 * less the rates lent. The rights of a workspace over all nodes sum to its rate and burst, so the fleet exceeds neither of them
 * whatever the order of events.
 */
struct token_bucket
{
    std::vector<held_right> rights;
    std::vector<granted_loan> loans;
    std::vector<granted_batch> batches;
    /** Tokens in the bucket. */
    double level{0.0};
    time_point updatedAt;
};

/**
 * Refills the bucket for the time since the last update, removes expired rights, loans and batches, and applies the cap. Returns the
 * number of expired rights.
 */
std::size_t updateBucket(token_bucket &bucket, time_point now);

/** Updates the bucket and takes one token. Returns false if there is no whole token. */
[[nodiscard]] bool takeFromBucket(token_bucket &bucket, time_point now);

/** Returns the sum of the caps of the rights that remain usable until the given time. */
[[nodiscard]] std::uint32_t capUsableUntil(const token_bucket &bucket, time_point until);

/** Returns the sum of the caps lent and of the tokens granted in batches. */
[[nodiscard]] std::uint32_t committedCap(const token_bucket &bucket);

/** Returns the current refill rate in tokens per second, after loans and the correction for clock drift. */
[[nodiscard]] double refillRate(const token_bucket &bucket);

/** Returns the number of whole tokens that may be granted to another node for use until the given time. */
[[nodiscard]] std::uint32_t grantableTokens(const token_bucket &bucket, time_point until);

/** Returns the time until the bucket holds a whole token at its current rate, or no value if its rate or cap is zero. */
[[nodiscard]] std::optional<duration> timeUntilToken(const token_bucket &bucket);

} // namespace ragwortpin

#endif
