#ifndef RAGWORTPIN_CLAIMS_CLAIMS_H
#define RAGWORTPIN_CLAIMS_CLAIMS_H

#include "ragwortpin/claims/breaker.h"
#include "ragwortpin/claims/fwd.h"
#include "ragwortpin/claims/record.h"
#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/store/store.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortpin {

/** Returns the current time of the monotonic clock. Can be replaced in tests. */
using claim_clock = std::function<time_point()>;

/** Settings for the claims of requests to once-routes, which run at most once per Idempotency-Key. */
struct claim_settings
{
    /** Name of this instance, stored in the record as information for operators. */
    std::string instance;
    /**
     * Maximum size in bytes of an answer's body that is recorded for repeated requests. Of a larger one only the status and the
     * content type are recorded.
     */
    std::size_t maxRecordedBodyBytes{4096};
    /** Number of attempts to create a claim and to record an outcome when store replies are lost. */
    int attempts{3};
    /** Time after which a run without a recorded outcome cannot be in progress any more. Must exceed the deadline of every route. */
    seconds maxRunTime{60};
    /** Time after the claim for which a record is kept. */
    seconds retention{std::chrono::hours{24}};

    bool operator==(const claim_settings &) const = default;
};

/** A request to a once-route that needs a claim before it may run. */
struct claim_request
{
    std::string workspace;
    std::string idempotencyKey;
    /** Digest of method, path with query, and body, from fingerprintRequest(). */
    std::string fingerprint;
    /** Random number that identifies this attempt. */
    std::uint64_t attempt{0};
    /** Wall clock time since the Unix epoch. Used for the age of records only. */
    microseconds wallClock{0};

    bool operator==(const claim_request &) const = default;
};

/** Claim of an attempt. Returned with claim_verdict::Run, it proves that only this attempt may run the request. */
struct claim_handle
{
    std::string key;
    std::int64_t modRevision{0};
    claim_record record;

    bool operator==(const claim_handle &) const = default;
};

/** What to do with a request to a once-route. */
enum class claim_verdict : unsigned char {
    /** Run the request, then record its outcome with the handle. */
    Run,
    /** Reply with the recorded answer of the earlier run. */
    Replay,
    /** Reply with the refusal. */
    Refuse,
};

/** Result of claim(). */
struct claim_result
{
    claim_verdict verdict{claim_verdict::Refuse};
    /** Set if the verdict is Run. */
    std::optional<claim_handle> handle;
    /** Set if the verdict is Replay. */
    std::optional<recorded_answer> answer;
    /** Meaningful only if the verdict is Refuse. */
    refusal_kind refusal{refusal_kind::StoreUnavailable};
    /** Outcome to report to the caller. NotRun refers to this attempt, Ran and Unknown to the request with this Idempotency-Key. */
    outcome reportedOutcome{outcome::NotRun};
    duration retryAfter{0};
    /** Set if the store may hold a claim of this attempt although it will not run. Must be passed to removeLeftoverClaim() later. */
    std::optional<claim_handle> leftoverClaim;

    bool operator==(const claim_result &) const = default;
};

/** Returns a digest of method, path with query, and body. Requests with equal digests count as the same request. */
[[nodiscard]] std::string fingerprintRequest(std::string_view method, std::string_view target, std::string_view body);

/**
 * Claims a request. Blocks until the store calls are done, at most claim_settings::attempts of them. Of all attempts with the same
 * workspace and Idempotency-Key, at any node, at most one gets Run, until the record is pruned after the retention period or released
 * because the request certainly did not run.
 */
[[nodiscard]] claim_result claim(
    const claim_settings &settings, const store_call &call, store_breaker &breaker, const claim_request &request, const claim_clock &clock);

/**
 * Records that the request ran, with its answer. After an error, later requests with the same Idempotency-Key may be refused with an
 * unknown outcome.
 */
[[nodiscard]] std::error_code
recordCompleted(const claim_settings &settings, const store_call &call, const claim_handle &handle, recorded_answer answer);

/** Records that the request may have run: its answer was lost or the run was interrupted. */
[[nodiscard]] std::error_code recordUnknownOutcome(const claim_settings &settings, const store_call &call, const claim_handle &handle);

/** Removes the claim of a request that certainly did not and will not run, so that the request may be sent again. */
[[nodiscard]] std::error_code releaseClaim(const claim_settings &settings, const store_call &call, const claim_handle &handle);

/**
 * Removes the claim that an attempt may have left in the store although no store reply arrived. Must be repeated while it returns
 * StoreUnavailable. If the store creates the claim only after this call, the claim remains, and requests with its Idempotency-Key are
 * refused with an unknown outcome.
 */
[[nodiscard]] std::error_code removeLeftoverClaim(const store_call &call, const claim_handle &handle);

/** Position up to which old records have been pruned. */
struct prune_cursor
{
    /** Key at which to continue; empty to start at the first record. */
    std::string from;

    bool operator==(const prune_cursor &) const = default;
};

/** Result of one call of pruneClaims(). */
struct prune_result
{
    /** Cursor for the next call. */
    prune_cursor next;
    /** Number of records that were read. */
    std::size_t read{0};
    /** Number of records that were removed. */
    std::size_t removed{0};
    std::error_code error;
};

/** Reads one batch of records and removes those older than the retention period in one transaction. Makes at most two store calls. */
[[nodiscard]] prune_result
pruneClaims(const claim_settings &settings, const store_call &call, const prune_cursor &cursor, microseconds wallClock);

} // namespace ragwortpin

#endif
