#ifndef RAGWORTPIN_CLAIMS_RECORD_H
#define RAGWORTPIN_CLAIMS_RECORD_H

#include "ragwortpin/claims/errors.h"
#include "ragwortpin/claims/fwd.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortpin {

/** Prefix of the claims in the store; a claim's key is the prefix, the workspace, '/' and the digest of the Idempotency-Key. */
inline constexpr std::string_view ClaimKeyPrefix{"ragwortpin/claims/"};

/** Answer of a request that ran, kept so that a repeated request gets it again. */
struct recorded_answer
{
    std::uint32_t status{0};
    std::string contentType;
    std::string body;
    /** Whether the body was small enough to be kept. */
    bool bodyKept{false};

    bool operator==(const recorded_answer &) const = default;
};

/** Progress of a claimed request. */
enum class claim_progress : std::uint8_t {
    /** Claimed; the run may be under way, or its node may have ended. */
    Claimed,
    Ran,
    Unknown,
};

/** Value of a claim's key. */
struct claim_record
{
    std::uint64_t attempt{0};
    /** Instance that claimed. */
    std::string instance;
    std::string fingerprint;
    claim_progress progress{claim_progress::Claimed};
    /** Wall clock of the claim in microseconds since the Unix epoch. */
    std::int64_t claimedAt{0};
    recorded_answer answer;

    bool operator==(const claim_record &) const = default;
};

/** Key of a claim. */
[[nodiscard]] std::string claimKey(std::string_view workspace, std::string_view idempotencyKey);

/** Encodes a record with MessagePack. */
[[nodiscard]] std::string encodeClaimRecord(const claim_record &record);

/** Decodes a record; sets the error on malformed input. */
[[nodiscard]] claim_record decodeClaimRecord(std::string_view bytes, std::error_code &error);

} // namespace ragwortpin

#endif
