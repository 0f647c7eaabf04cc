#include "ragwortpin/claims/claims.h"

#include "ragwortpin/claims/digest.h"

#include <algorithm>
#include <utility>

namespace ragwortpin {

namespace {

constexpr duration RunningRetryAfter{seconds{1}};
constexpr std::int64_t PruneBatchSize{100};

[[nodiscard]] claim_result refusalResult(refusal_kind kind, outcome reportedOutcome, duration retry = duration::zero())
{
    claim_result result;
    result.refusal = kind;
    result.reportedOutcome = reportedOutcome;
    result.retryAfter = retry;
    return result;
}

[[nodiscard]] claim_result runResult(claim_handle handle)
{
    claim_result result;
    result.verdict = claim_verdict::Run;
    result.handle = std::move(handle);
    return result;
}

[[nodiscard]] claim_result replayResult(recorded_answer answer)
{
    claim_result result;
    result.verdict = claim_verdict::Replay;
    result.answer = std::move(answer);
    result.reportedOutcome = outcome::Ran;
    return result;
}

[[nodiscard]] store_transaction makeCreateTransaction(const claim_handle &handle)
{
    return {{{handle.key, 0}}, {{handle.key, encodeClaimRecord(handle.record), 0}}, {handle.key}};
}

/**
 * Returns whether a claim by another attempt is so old that its run cannot be in progress any more: its node ended, or the outcome could
 * not be recorded.
 */
[[nodiscard]] bool hasExceededRunTime(const claim_settings &settings, const claim_record &record, microseconds wallClock)
{
    return wallClock.count() - record.claimedAt > microseconds{settings.maxRunTime}.count();
}

/** Returns the result for a request whose Idempotency-Key was claimed by another attempt. */
[[nodiscard]] claim_result resultFromRecord(const claim_settings &settings, const claim_request &request, const claim_record &record)
{
    if (record.fingerprint != request.fingerprint) {
        return refusalResult(refusal_kind::IdempotencyKeyReused, outcome::NotRun);
    }
    switch (record.progress) {
    case claim_progress::Ran:
        return record.answer.hasBody ? replayResult(record.answer) : refusalResult(refusal_kind::DuplicateRan, outcome::Ran);
    case claim_progress::Claimed:
        if (!hasExceededRunTime(settings, record, request.wallClock)) {
            return refusalResult(refusal_kind::DuplicateRunning, outcome::Unknown, RunningRetryAfter);
        }
        break;
    case claim_progress::Unknown:
        break;
    }
    return refusalResult(refusal_kind::DuplicateUnknown, outcome::Unknown);
}

/** Returns the result for a request whose claim already exists in the store; it may be this attempt's own claim. */
[[nodiscard]] claim_result
resultFromEntry(const claim_settings &settings, const claim_request &request, claim_handle handle, const store_entry &entry)
{
    std::error_code error;
    const auto record = decodeClaimRecord(entry.value, error);
    if (error) {
        return refusalResult(refusal_kind::DuplicateUnknown, outcome::Unknown);
    }
    if (record.attempt == request.attempt && record.progress == claim_progress::Claimed) {
        handle.modRevision = entry.modRevision;
        return runResult(std::move(handle));
    }
    return resultFromRecord(settings, request, record);
}

/**
 * Tries to create the claim. Returns no value if the store reply was lost. The call may then be repeated, because the transaction
 * succeeds only if the key is absent and otherwise returns the existing claim, which shows whose it is.
 */
[[nodiscard]] std::optional<claim_result>
tryCreate(const claim_settings &settings, const store_call &call, const claim_request &request, claim_handle handle)
{
    const auto reply = call(makeCreateTransaction(handle));
    if (reply.error) {
        return std::nullopt;
    }
    if (reply.succeeded) {
        handle.modRevision = reply.revision;
        return runResult(std::move(handle));
    }
    if (reply.entries.empty()) {
        return refusalResult(refusal_kind::StoreUnavailable, outcome::NotRun, RunningRetryAfter);
    }
    return resultFromEntry(settings, request, std::move(handle), reply.entries.front());
}

/**
 * Replaces the record of the claim, or removes it if there is no value. After a lost store reply the write is repeated; if the record
 * already has the new value, the earlier write took effect.
 */
[[nodiscard]] std::error_code
overwriteClaim(const claim_settings &settings, const store_call &call, const claim_handle &handle, const std::optional<std::string> &value)
{
    const store_transaction write{{{handle.key, handle.modRevision}}, {{handle.key, value, 0}}, {handle.key}};
    for (int attempt{0}; attempt < settings.attempts; ++attempt) {
        const auto reply = call(write);
        if (reply.error) {
            continue;
        }
        const auto written = reply.succeeded || (reply.entries.empty() ? !value : reply.entries.front().value == value);
        return written ? std::error_code{} : make_error_code(claims_errc::ClaimLost);
    }
    return claims_errc::StoreUnavailable;
}

[[nodiscard]] bool isExpired(const claim_settings &settings, const store_entry &entry, microseconds wallClock)
{
    std::error_code error;
    const auto record = decodeClaimRecord(entry.value, error);
    return !error && record.claimedAt + microseconds{settings.retention}.count() < wallClock.count();
}

[[nodiscard]] store_transaction makeRemoval(const claim_settings &settings, const std::vector<store_entry> &entries, microseconds wallClock)
{
    store_transaction removal;
    for (const auto &entry : entries) {
        if (isExpired(settings, entry, wallClock)) {
            removal.compares.push_back({entry.key, entry.modRevision});
            removal.writes.push_back({entry.key, std::nullopt, 0});
        }
    }
    return removal;
}

} // namespace

std::string fingerprintRequest(std::string_view method, std::string_view target, std::string_view body)
{
    return internal::digestHex({method, target, body});
}

claim_result claim(
    const claim_settings &settings, const store_call &call, store_breaker &breaker, const claim_request &request, const claim_clock &clock)
{
    claim_handle handle;
    handle.key = claimKey(request.workspace, request.idempotencyKey);
    handle.record = {request.attempt, settings.instance, request.fingerprint, claim_progress::Claimed, request.wallClock.count(), {}};
    bool hasLostReply{false};
    for (int attempt{0}; attempt < settings.attempts; ++attempt) {
        if (!allowCall(breaker, clock())) {
            break;
        }
        auto result = tryCreate(settings, call, request, handle);
        recordCallResult(breaker, result.has_value(), clock());
        if (result) {
            return *std::move(result);
        }
        hasLostReply = true;
    }
    auto refusal = refusalResult(refusal_kind::StoreUnavailable, outcome::NotRun, retryAfter(breaker, clock()));
    if (hasLostReply) {
        refusal.leftoverClaim = std::move(handle);
    }
    return refusal;
}

std::error_code recordCompleted(const claim_settings &settings, const store_call &call, const claim_handle &handle, recorded_answer answer)
{
    auto record = handle.record;
    record.progress = claim_progress::Ran;
    answer.hasBody = answer.body.size() <= settings.maxRecordedBodyBytes;
    if (!answer.hasBody) {
        answer.body.clear();
    }
    record.answer = std::move(answer);
    return overwriteClaim(settings, call, handle, encodeClaimRecord(record));
}

std::error_code recordUnknownOutcome(const claim_settings &settings, const store_call &call, const claim_handle &handle)
{
    auto record = handle.record;
    record.progress = claim_progress::Unknown;
    return overwriteClaim(settings, call, handle, encodeClaimRecord(record));
}

std::error_code releaseClaim(const claim_settings &settings, const store_call &call, const claim_handle &handle)
{
    return overwriteClaim(settings, call, handle, std::nullopt);
}

std::error_code removeLeftoverClaim(const store_call &call, const claim_handle &handle)
{
    const auto read = call(store_range{handle.key, {}, 0});
    if (read.error) {
        return claims_errc::StoreUnavailable;
    }
    if (read.entries.empty()) {
        return {};
    }
    const auto &entry = read.entries.front();
    std::error_code error;
    const auto record = decodeClaimRecord(entry.value, error);
    if (error || record.attempt != handle.record.attempt) {
        return {};
    }
    const auto removed = call(store_transaction{{{entry.key, entry.modRevision}}, {{entry.key, std::nullopt, 0}}, {}});
    return removed.error ? make_error_code(claims_errc::StoreUnavailable) : std::error_code{};
}

prune_result pruneClaims(const claim_settings &settings, const store_call &call, const prune_cursor &cursor, microseconds wallClock)
{
    prune_result result{cursor, 0, 0, {}};
    std::string end{ClaimKeyPrefix};
    ++end.back();
    const auto reply = call(store_range{cursor.from.empty() ? std::string{ClaimKeyPrefix} : cursor.from, end, PruneBatchSize});
    if (reply.error) {
        result.error = reply.error;
        return result;
    }
    result.read = reply.entries.size();
    const auto last = reply.entries.size() < static_cast<std::size_t>(PruneBatchSize);
    result.next.from = last ? std::string{} : reply.entries.back().key + '\0';
    const auto removal = makeRemoval(settings, reply.entries, wallClock);
    if (removal.writes.empty()) {
        return result;
    }
    const auto removed = call(removal);
    result.error = removed.error;
    result.removed = removed.succeeded && !removed.error ? removal.writes.size() : 0;
    return result;
}

} // namespace ragwortpin
