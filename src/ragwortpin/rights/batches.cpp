#include "ragwortpin/rights/batches.h"

#include "ragwortpin/rights/loans.h"
#include "ragwortpin/rights/send.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace ragwortpin {

namespace {

constexpr duration MinBackoff{milliseconds{20}};
constexpr duration MaxBackoff{seconds{1}};
/** Fraction of a pool's cap that is refilled between two requests while the pool has no tokens to spare. */
constexpr double PacingRefillFraction{0.07};
/** At most 1 / PrefetchDivisor of the tokens left after urgent demand are granted for requests that have not arrived yet. */
constexpr std::uint32_t PrefetchDivisor{2};
constexpr std::uint32_t MaxBackoffDoublings{6};
/** Holders are asked to report spent tokens once 1 / ReportThresholdDivisor of a pool's cap is lent or granted. */
constexpr std::uint32_t ReportThresholdDivisor{4};
/** Minimum time between the last request to a pool and a periodic report that all its tokens are spent. */
constexpr duration ReportDelay{milliseconds{20}};
/** Number of consecutive timeouts after which a pool gets no requests for the duration of poolBackoff. */
constexpr std::uint32_t MaxConsecutiveTimeouts{2};

[[nodiscard]] granted_batch &findOrAddBatch(token_bucket &bucket, const rights_message &message)
{
    const auto found = std::find_if(bucket.batches.begin(), bucket.batches.end(), [&](const granted_batch &batch) {
        return batch.holder == message.from && batch.holderIncarnation == message.incarnation;
    });
    if (found != bucket.batches.end()) {
        return *found;
    }
    return bucket.batches.emplace_back(granted_batch{message.from, message.incarnation, 0, 0, 0, bucket.updatedAt});
}

/**
 * Adds the tokens that the holder reports as returned, and the latest grant if the holder did not accept it, back to the bucket.
 * Tokens that are neither kept nor returned have been spent.
 */
void settleBatch(token_bucket &bucket, granted_batch &batch, const batch_request &request)
{
    const auto neverAccepted = request.acceptedNumber == batch.number ? 0 : batch.granted;
    const auto held = batch.outstanding - neverAccepted;
    const auto kept = std::min(request.kept, held);
    const auto returned = std::min(request.returned, held - kept);
    bucket.level += neverAccepted + returned;
    batch.outstanding = kept;
    batch.granted = 0;
    batch.number = request.number;
}

/** Grants as many of the wanted tokens as the bucket allows and counts them as outstanding until the batch has expired. */
void grantTokens(rights_state &state, token_bucket &bucket, granted_batch &batch, const batch_request &request, time_point now)
{
    const auto until = now + state.settings.batchTerm + state.settings.clockMargin;
    const auto available = grantableTokens(bucket, until);
    const auto prefetch = available > request.urgent ? (available - request.urgent) / PrefetchDivisor : 0;
    const auto tokens = std::min({request.wanted, MaxBatchTokens, available, request.urgent + prefetch});
    if (tokens == 0) {
        return;
    }
    bucket.level -= tokens;
    batch.granted = tokens;
    batch.outstanding += tokens;
    batch.reservedUntil = until;
    ++state.counters.batchesGranted;
}

/**
 * Returns the time until the pool is expected to have a token again, or zero if at least one token was granted and the urgent
 * demand was met.
 */
[[nodiscard]] duration retryAfter(const token_bucket &bucket, std::uint32_t granted, std::uint32_t urgent)
{
    if (granted > 0 && granted >= urgent) {
        return duration::zero();
    }
    return std::clamp(timeUntilToken(bucket).value_or(MaxBackoff), MinBackoff, MaxBackoff);
}

/**
 * Returns the interval at which each holder should send requests so that the pool refills PacingRefillFraction of its cap between
 * any two requests.
 */
[[nodiscard]] duration pacedRequestInterval(const token_bucket &bucket)
{
    const auto cap = capUsableUntil(bucket, bucket.updatedAt);
    const auto rate = refillRate(bucket);
    if (rate <= 0.0) {
        return MaxBackoff;
    }
    const auto refillTime = std::max(1.0, PacingRefillFraction * cap) / rate;
    const auto interval = fromSeconds(std::min(refillTime * static_cast<double>(bucket.batches.size()), toSeconds(MaxBackoff)));
    return std::max(interval, MinBackoff);
}

/** Drops the tokens of an expired batch and counts them. */
void dropExpiredTokens(rights_state &state, pool_account &account, time_point now)
{
    if (account.tokens > 0 && account.expiresAt <= now) {
        state.counters.tokensExpired += account.tokens;
        account.tokens = 0;
    }
}

[[nodiscard]] pool_account &findOrAddAccount(workspace_rights &rights, std::string_view pool)
{
    const auto found = std::find_if(rights.accounts.begin(), rights.accounts.end(), [pool](const pool_account &account) {
        return account.pool == pool;
    });
    if (found != rights.accounts.end()) {
        return *found;
    }
    pool_account account;
    account.pool = pool;
    return rights.accounts.emplace_back(std::move(account));
}

/** Tokens to request from a pool, and the number of them that waiting requests need. */
struct token_need
{
    std::uint32_t wanted{0};
    std::uint32_t urgent{0};
};

void sendBatchRequest(
    rights_state &state, std::string_view name, pool_account &account, std::uint32_t returned, const token_need &need, time_point now)
{
    account.tokens -= returned;
    account.number = state.nextNumber++;
    account.requestedAt = now;
    account.awaitingReply = need.wanted > 0;
    account.reportedTokens = account.tokens;
    internal::send(
        state,
        account.pool,
        batch_request{std::string{name}, account.number, account.acceptedNumber, account.tokens, returned, need.wanted, need.urgent, now});
}

[[nodiscard]] std::uint32_t tokensHeld(const workspace_rights &rights)
{
    auto sum = static_cast<std::uint32_t>(std::max(rights.bucket.level, 0.0));
    for (const auto &account : rights.accounts) {
        sum += account.tokens;
    }
    return sum;
}

/**
 * Returns the tokens to request: enough for the waiting requests and for the demand expected within batchHorizon, less the tokens
 * that this node holds.
 */
[[nodiscard]] token_need computeTokenNeed(const rights_state &state, const workspace_rights &rights)
{
    const auto expectedDemand = static_cast<std::uint32_t>(rights.demand * toSeconds(state.settings.batchHorizon));
    const auto held = tokensHeld(rights);
    const auto total = rights.waitingRequests + expectedDemand;
    const auto wanted = total > held ? total - held : 0;
    const auto urgent = rights.waitingRequests > held ? rights.waitingRequests - held : 0;
    return {std::min(wanted, MaxBatchTokens), std::min(urgent, MaxBatchTokens)};
}

/** Ends a request that had no reply within the timeout. After several consecutive timeouts, backs off from the pool. */
void checkRequestTimeout(const rights_settings &settings, pool_account &account, time_point now)
{
    if (!account.awaitingReply || now < account.requestedAt + settings.requestTimeout) {
        return;
    }
    account.awaitingReply = false;
    if (++account.consecutiveTimeouts >= MaxConsecutiveTimeouts) {
        account.backoffUntil = now + settings.poolBackoff;
    }
}

/** Returns whether so much of the cap is lent or granted that holders should report spent tokens early. */
[[nodiscard]] bool needsSpendReports(const token_bucket &bucket)
{
    return committedCap(bucket) * ReportThresholdDivisor >= capUsableUntil(bucket, bucket.updatedAt) || bucket.level < 1.0;
}

} // namespace

void onBatchRequest(rights_state &state, const rights_message &message, const batch_request &request, time_point now)
{
    const auto found = state.workspaces.find(request.workspace);
    if (found == state.workspaces.end()) {
        ++state.counters.messagesIgnored;
        return;
    }
    auto &bucket = found->second.bucket;
    updateBucket(bucket, now);
    auto &batch = findOrAddBatch(bucket, message);
    if (request.number < batch.number) {
        ++state.counters.messagesIgnored;
        return;
    }
    if (request.number > batch.number) {
        settleBatch(bucket, batch, request);
        if (!state.leaving) {
            grantTokens(state, bucket, batch, request, now);
        }
    }
    if (request.wanted > 0) {
        const auto kept = batch.outstanding - batch.granted;
        const auto retry = retryAfter(bucket, batch.granted, request.urgent);
        internal::send(state,
                       message.from,
                       batch_grant{request.workspace,
                                   request.number,
                                   message.incarnation,
                                   kept,
                                   batch.granted,
                                   request.sentAt,
                                   retry,
                                   pacedRequestInterval(bucket),
                                   needsSpendReports(bucket)});
    }
}

void onBatchGrant(rights_state &state, const rights_message &message, const batch_grant &grant, time_point now)
{
    const auto found = state.workspaces.find(grant.workspace);
    if (found == state.workspaces.end() || grant.requesterIncarnation != state.self.incarnation) {
        ++state.counters.messagesIgnored;
        return;
    }
    auto &rights = found->second;
    auto &account = findOrAddAccount(rights, message.from);
    if (!account.awaitingReply || account.number != grant.number) {
        ++state.counters.messagesIgnored;
        return;
    }
    account.awaitingReply = false;
    account.consecutiveTimeouts = 0;
    account.reportRequested = grant.wantsReport;
    dropExpiredTokens(state, account, now);
    const auto expiresAt = grant.sentAt + state.settings.batchTerm - state.settings.clockMargin;
    if (grant.tokens > 0 && expiresAt > now) {
        account.acceptedNumber = grant.number;
        account.tokens = std::min(account.tokens, grant.kept) + grant.tokens;
        account.reportedTokens = grant.kept + grant.tokens;
        account.expiresAt = expiresAt;
        account.lastUsedAt = now;
    }
    if (grant.retryAfter == duration::zero()) {
        account.consecutiveShortfalls = 0;
    } else {
        const auto backoff = grant.retryAfter * (1U << std::min(account.consecutiveShortfalls, MaxBackoffDoublings));
        account.backoffUntil = now + std::min(backoff, std::max(grant.requestInterval, grant.retryAfter));
        ++account.consecutiveShortfalls;
        requestFromPools(state, grant.workspace, rights, now);
    }
}

bool takeFromBatches(rights_state &state, std::string_view name, workspace_rights &rights, time_point now)
{
    pool_account *soonest{nullptr};
    for (auto &account : rights.accounts) {
        dropExpiredTokens(state, account, now);
        if (account.tokens > 0 && (soonest == nullptr || account.expiresAt < soonest->expiresAt)) {
            soonest = &account;
        }
    }
    if (soonest == nullptr) {
        return false;
    }
    --soonest->tokens;
    soonest->lastUsedAt = now;
    if (soonest->tokens == 0 && soonest->consecutiveShortfalls > 0 && !soonest->awaitingReply) {
        sendBatchRequest(state, name, *soonest, 0, {}, now);
    }
    return true;
}

void requestFromPools(rights_state &state, std::string_view name, workspace_rights &rights, time_point now)
{
    const auto need = computeTokenNeed(state, rights);
    if (need.wanted == 0 || state.leaving) {
        return;
    }
    for (const auto &pool : rights.poolNodes) {
        if (pool.empty() || pool == state.self.name) {
            continue;
        }
        auto &account = findOrAddAccount(rights, pool);
        checkRequestTimeout(state.settings, account, now);
        if (account.awaitingReply) {
            return;
        }
        if (now >= account.backoffUntil) {
            sendBatchRequest(state, name, account, 0, need, now);
            return;
        }
    }
}

void tickBatches(rights_state &state, std::string_view name, workspace_rights &rights, time_point now)
{
    for (auto &account : rights.accounts) {
        dropExpiredTokens(state, account, now);
        checkRequestTimeout(state.settings, account, now);
        if (account.awaitingReply) {
            continue;
        }
        const auto idle = state.leaving || now >= account.lastUsedAt + state.settings.idleReturnDelay;
        const auto returned = idle ? account.tokens : 0;
        const auto spent
            = account.reportRequested && account.tokens == 0 && account.reportedTokens > 0 && now >= account.requestedAt + ReportDelay;
        if (returned > 0 || spent) {
            sendBatchRequest(state, name, account, returned, {}, now);
        }
    }
    std::erase_if(rights.accounts, [&](const pool_account &account) {
        const auto current = std::find(rights.poolNodes.begin(), rights.poolNodes.end(), account.pool) != rights.poolNodes.end();
        return !current && account.tokens == 0 && !account.awaitingReply;
    });
    if (now > rights.lastWaitAt + state.settings.maxWait) {
        rights.waitingRequests = 0;
    }
    const auto low = tokensHeld(rights) < rights.demand * toSeconds(state.settings.batchHorizon) / 2.0;
    if (low && rights.waitingRequests == 0) {
        requestFromPools(state, name, rights, now);
    }
}

std::optional<time_point> replyDueAt(const rights_state &state, const workspace_rights &rights) noexcept
{
    std::optional<time_point> due;
    for (const auto &account : rights.accounts) {
        const auto replyDeadline = account.requestedAt + state.settings.requestTimeout;
        if (account.awaitingReply && (!due || replyDeadline < *due)) {
            due = replyDeadline;
        }
    }
    return due;
}

} // namespace ragwortpin
