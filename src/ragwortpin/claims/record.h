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

/** Prefix of the keys of claims in the store. It is followed by the workspace, '/' and the digest of the Idempotency-Key. */
inline constexpr std::string_view ClaimKeyPrefix{"ragwortpin/claims/"};

/** Answer to a request that ran, recorded so that repeated requests get the same answer. */
struct recorded_answer
{
    std::uint32_t status{0};
    std::string contentType;
    std::string body;
    /** Whether the body was small enough to be recorded. */
    bool hasBody{false};

    bool operator==(const recorded_answer &) const = default;
};

/** Progress of a claimed request. */
enum class claim_progress : std::uint8_t {
    /** No outcome is recorded: the request may be running, or its node may have ended. */
    Claimed,
    /** The request ran; the record holds its answer. */
    Ran,
    /** The request may have run. */
    Unknown,
};

/** Record of a claim in the store. */
struct claim_record
{
    /** Number that identifies the attempt that holds the claim. */
    std::uint64_t attempt{0};
    /** Name of the instance that created the claim. */
    std::string instance;
    /** Digest of the request, from fingerprintRequest(). */
    std::string fingerprint;
    claim_progress progress{claim_progress::Claimed};
    /** Wall clock time of the claim in microseconds since the Unix epoch. */
    std::int64_t claimedAt{0};
    recorded_answer answer;

    bool operator==(const claim_record &) const = default;
};

/** Returns the key of a claim in the store. */
[[nodiscard]] std::string claimKey(std::string_view workspace, std::string_view idempotencyKey);

/** Encodes a record with MessagePack. */
[[nodiscard]] std::string encodeClaimRecord(const claim_record &record);

/** Decodes a record. Sets the error and returns an empty record if the input is malformed. */
[[nodiscard]] claim_record decodeClaimRecord(std::string_view bytes, std::error_code &error);

} // namespace ragwortpin

#endif
