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

/** A part of a workspace's rate and burst that this node may use until a time of its own clock. */
struct held_right
{
    /** Instance that lent the right; empty for a slot of this node. */
    std::string lender;
    std::uint64_t lenderIncarnation{0};
    /** Number of the loan, or of the slot. */
    std::uint64_t number{0};
    double rate{0.0};
    std::uint32_t cap{0};
    time_point usableUntil;

    bool operator==(const held_right &) const = default;
};

/** A part of this node's own rights that it abstains from because a pool may use it. */
struct given_loan
{
    std::string borrower;
    std::uint64_t borrowerIncarnation{0};
    std::uint64_t number{0};
    double rate{0.0};
    std::uint32_t cap{0};
    /** Balance that went with the loan, repeated in answers to repeated requests. */
    double balance{0.0};
    time_point abstainUntil;

    bool operator==(const given_loan &) const = default;
};

/** Tokens that another node may hold. */
struct given_batch
{
    std::string holder;
    std::uint64_t holderIncarnation{0};
    /** Number of the latest request. */
    std::uint64_t number{0};
    /** Tokens granted by the latest request, taken back if the holder never accepts them. */
    std::uint32_t granted{0};
    /** Tokens that may still be spent by the holder, the latest grant included. */
    std::uint32_t outstanding{0};
    time_point abstainUntil;

    bool operator==(const given_batch &) const = default;
};

/**
 * A workspace's tokens at one node. The tokens held, those in batches and the caps lent never exceed the sum of the caps of
 * the rights held; and tokens are added only at the sum of the rates held less the rates lent. Over all nodes the rights
 * of a workspace sum to its rate and burst, so neither bound can be exceeded by any interleaving.
 */
struct token_bucket
{
    std::vector<held_right> rights;
    std::vector<given_loan> loans;
    std::vector<given_batch> batches;
    double level{0.0};
    time_point updatedAt;
};

/** Adds the tokens due since the last update, drops what has expired and applies the cap. Returns how many rights expired. */
std::size_t updateBucket(token_bucket &bucket, time_point now);

/** Takes one token; false when there is none. The bucket is updated first. */
[[nodiscard]] bool takeFromBucket(token_bucket &bucket, time_point now);

/** Sum of the caps of rights that are usable until the given time. */
[[nodiscard]] std::uint32_t capUntil(const token_bucket &bucket, time_point until);

/** Sum of the caps lent and of the tokens in batches. */
[[nodiscard]] std::uint32_t capOut(const token_bucket &bucket);

/** Tokens a second that the bucket gains now. */
[[nodiscard]] double netRate(const token_bucket &bucket);

/** Whole tokens that may be granted to another node until the given time. */
[[nodiscard]] std::uint32_t grantableTokens(const token_bucket &bucket, time_point until);

/** Time until the bucket holds a whole token at its present rate; nothing when it never will. */
[[nodiscard]] std::optional<duration> timeToToken(const token_bucket &bucket);

} // namespace ragwortpin

#endif
