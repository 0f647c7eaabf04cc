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

/** Reads the monotonic clock; tests pass their own. */
using claim_clock = std::function<time_point()>;

/** Settings of the claims of once-routes. */
struct claim_settings
{
    /** Name of this instance, kept in the record for operators. */
    std::string instance;
    /** Largest body of an answer that is kept for repeated requests; of a larger one only the status is kept. */
    std::size_t keptBodyBytes{4096};
    /** Attempts to settle a lost answer by reading, and to record an outcome. */
    int attempts{3};
    /** Time after which a run without a recorded outcome is no longer under way; longer than every route's deadline. */
    seconds longestRun{60};
    /** Time for which records are kept after the request. */
    seconds retention{std::chrono::hours{24}};

    bool operator==(const claim_settings &) const = default;
};

/** A request of a once-route that asks to run. */
struct claim_request
{
    std::string workspace;
    std::string idempotencyKey;
    /** Digest of method, path and body, from fingerprintRequest(). */
    std::string fingerprint;
    /** Random number that no other attempt uses. */
    std::uint64_t attempt{0};
    /** Wall clock, for retention only. */
    microseconds wallClock{0};

    bool operator==(const claim_request &) const = default;
};

/** Proof that this attempt alone may run the request. */
struct claim_handle
{
    std::string key;
    std::int64_t modRevision{0};
    claim_record record;

    bool operator==(const claim_handle &) const = default;
};

/** What to do with a request of a once-route. */
enum class claim_verdict : unsigned char {
    /** Run it, then record its outcome with the handle. */
    Run,
    /** Answer with the recorded answer of the run. */
    Replay,
    /** Answer with the refusal. */
    Refuse,
};

/** Answer to claim(). */
struct claim_result
{
    claim_verdict verdict{claim_verdict::Refuse};
    /** Set for Run. */
    std::optional<claim_handle> handle;
    /** Set for Replay. */
    std::optional<recorded_answer> answer;
    /** Set for Refuse. */
    refusal_kind refusal{refusal_kind::StoreUnavailable};
    /** Outcome to tell: NotRun speaks of this attempt, Ran and Unknown of the request with this Idempotency-Key. */
    outcome known{outcome::NotRun};
    duration retryAfter{0};
    /** Set when a claim of this attempt may be left in the store although it will not run; to be given to dropAbandoned() later. */
    std::optional<claim_handle> abandoned;

    bool operator==(const claim_result &) const = default;
};

/** Digest of what makes two requests the same: method, path with query, and body. */
[[nodiscard]] std::string fingerprintRequest(std::string_view method, std::string_view target, std::string_view body);

/**
 * Claims a request. Blocks for as many store calls as it takes, at most two and the attempts to settle a lost answer. Of
 * all attempts with the same workspace and Idempotency-Key, at whatever node, at most one ever gets Run, until the record
 * is pruned after retention or released because the request certainly did not run.
 */
[[nodiscard]] claim_result claim(
    const claim_settings &settings, const store_call &call, store_breaker &breaker, const claim_request &request, const claim_clock &clock);

/**
 * Records that the request ran, with its answer. An error means that later requests with the key are told that the
 * outcome is unknown.
 */
[[nodiscard]] std::error_code
recordRan(const claim_settings &settings, const store_call &call, const claim_handle &handle, recorded_answer answer);

/** Records that the request may have run: the answer was lost or the run was cut off. */
[[nodiscard]] std::error_code recordUnknown(const claim_settings &settings, const store_call &call, const claim_handle &handle);

/** Releases the claim of a request that certainly did not run and will not, so that it may be sent again. */
[[nodiscard]] std::error_code releaseClaim(const claim_settings &settings, const store_call &call, const claim_handle &handle);

/**
 * Removes the claim that an attempt may have left when no answer of the store came back. To be repeated while it returns
 * StoreUnavailable. A claim that takes effect even later stays and answers that the outcome is unknown.
 */
[[nodiscard]] std::error_code dropAbandoned(const store_call &call, const claim_handle &handle);

/** Position of the pruning of old records. */
struct prune_cursor
{
    /** Key to go on from; empty for the first. */
    std::string from;

    bool operator==(const prune_cursor &) const = default;
};

/** Result of one step of pruning. */
struct prune_result
{
    prune_cursor next;
    std::size_t read{0};
    std::size_t removed{0};
    std::error_code error;
};

/** Reads one batch of records and removes those older than the retention in one transaction: two store calls at most. */
[[nodiscard]] prune_result
pruneClaims(const claim_settings &settings, const store_call &call, const prune_cursor &cursor, microseconds wallClock);

} // namespace ragwortpin

#endif
