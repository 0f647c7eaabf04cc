#include "ragwortpin/rights/batches.h"

#include "ragwortpin/rights/loans.h"
#include "ragwortpin/rights/send.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace ragwortpin {

namespace {

constexpr duration ShortestQuiet{milliseconds{20}};
constexpr duration LongestQuiet{seconds{1}};
/** Part of a pool's cap that should gather between two requests while the pool is dry. */
constexpr double PaceFraction{0.07};
/** Largest part of a pool's tokens that goes to demand that has not arrived yet. */
constexpr std::uint32_t AheadDivisor{2};
constexpr std::uint32_t MaxDoublings{6};
/** Part of a pool's cap that may be out before holders report what they spent. */
constexpr std::uint32_t ReportDivisor{4};
constexpr duration ReportDelay{milliseconds{20}};
constexpr std::uint32_t MaxUnanswered{2};

[[nodiscard]] given_batch &batchOf(token_bucket &bucket, const rights_message &message)
{
    const auto found = std::find_if(bucket.batches.begin(), bucket.batches.end(), [&](const given_batch &batch) {
        return batch.holder == message.from && batch.holderIncarnation == message.incarnation;
    });
    if (found != bucket.batches.end()) {
        return *found;
    }
    return bucket.batches.emplace_back(given_batch{message.from, message.incarnation, 0, 0, 0, bucket.updatedAt});
}

/** Takes back what the holder reports as returned or can never accept. The rest it has spent. */
void settle(token_bucket &bucket, given_batch &batch, const batch_ask &ask)
{
    const auto neverAccepted = ask.accepted == batch.number ? 0 : batch.granted;
    const auto held = batch.outstanding - neverAccepted;
    const auto kept = std::min(ask.kept, held);
    const auto returned = std::min(ask.returned, held - kept);
    bucket.level += neverAccepted + returned;
    batch.outstanding = kept;
    batch.granted = 0;
    batch.number = ask.number;
}

void grantMore(rights_state &state, token_bucket &bucket, given_batch &batch, const batch_ask &ask, time_point now)
{
    const auto until = now + state.settings.batchLife + state.settings.margin;
    const auto available = grantableTokens(bucket, until);
    const auto ahead = available > ask.urgent ? (available - ask.urgent) / AheadDivisor : 0;
    const auto tokens = std::min({ask.wanted, MaxBatchTokens, available, ask.urgent + ahead});
    if (tokens == 0) {
        return;
    }
    bucket.level -= tokens;
    batch.granted = tokens;
    batch.outstanding += tokens;
    batch.abstainUntil = until;
    ++state.counters.batchesGranted;
}

/** Zero when the urgent demand was met. */
[[nodiscard]] duration retryAfter(const token_bucket &bucket, std::uint32_t granted, std::uint32_t urgent)
{
    if (granted > 0 && granted >= urgent) {
        return duration::zero();
    }
    return std::clamp(timeToToken(bucket).value_or(LongestQuiet), ShortestQuiet, LongestQuiet);
}

/** Interval between the requests of each holder with which the pool gathers part of its cap between any two. */
[[nodiscard]] duration pace(const token_bucket &bucket)
{
    const auto cap = capUntil(bucket, bucket.updatedAt);
    const auto rate = netRate(bucket);
    if (rate <= 0.0) {
        return LongestQuiet;
    }
    const auto gather = std::max(1.0, PaceFraction * cap) / rate;
    const auto interval = fromSeconds(std::min(gather * static_cast<double>(bucket.batches.size()), toSeconds(LongestQuiet)));
    return std::max(interval, ShortestQuiet);
}

void dropExpired(rights_state &state, pool_account &account, time_point now)
{
    if (account.tokens > 0 && account.expiresAt <= now) {
        state.counters.tokensExpired += account.tokens;
        account.tokens = 0;
    }
}

[[nodiscard]] pool_account &accountOf(workspace_rights &rights, std::string_view pool)
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

/** Tokens that are asked for, and those of them that requests wait for. */
struct token_need
{
    std::uint32_t wanted{0};
    std::uint32_t urgent{0};
};

void sendAsk(
    rights_state &state, std::string_view name, pool_account &account, std::uint32_t returned, const token_need &need, time_point now)
{
    account.tokens -= returned;
    account.number = state.nextNumber++;
    account.askedAt = now;
    account.waiting = need.wanted > 0;
    account.reported = account.tokens;
    internal::send(state,
                   account.pool,
                   batch_ask{std::string{name}, account.number, account.accepted, account.tokens, returned, need.wanted, need.urgent, now});
}

[[nodiscard]] std::uint32_t tokensHeld(const workspace_rights &rights)
{
    auto sum = static_cast<std::uint32_t>(std::max(rights.bucket.level, 0.0));
    for (const auto &account : rights.accounts) {
        sum += account.tokens;
    }
    return sum;
}

/** Tokens to ask for: those that requests wait for, and the coming demand less what is held. */
[[nodiscard]] token_need tokensWanted(const rights_state &state, const workspace_rights &rights)
{
    const auto coming = static_cast<std::uint32_t>(rights.demand * toSeconds(state.settings.batchHorizon));
    const auto held = tokensHeld(rights);
    const auto total = rights.waiting + coming;
    const auto wanted = total > held ? total - held : 0;
    const auto urgent = rights.waiting > held ? rights.waiting - held : 0;
    return {std::min(wanted, MaxBatchTokens), std::min(urgent, MaxBatchTokens)};
}

/** Gives up on an unanswered request; after several, leaves the pool alone for a while. */
void checkAnswer(const rights_settings &settings, pool_account &account, time_point now)
{
    if (!account.waiting || now < account.askedAt + settings.askTimeout) {
        return;
    }
    account.waiting = false;
    if (++account.unanswered >= MaxUnanswered) {
        account.quietUntil = now + settings.poolBackoff;
    }
}

/** Whether so much of the cap is out that holders should report what they spent. */
[[nodiscard]] bool wantsReports(const token_bucket &bucket)
{
    return capOut(bucket) * ReportDivisor >= capUntil(bucket, bucket.updatedAt) || bucket.level < 1.0;
}

} // namespace

void onBatchAsk(rights_state &state, const rights_message &message, const batch_ask &ask, time_point now)
{
    const auto found = state.workspaces.find(ask.workspace);
    if (found == state.workspaces.end()) {
        ++state.counters.messagesIgnored;
        return;
    }
    auto &bucket = found->second.bucket;
    updateBucket(bucket, now);
    auto &batch = batchOf(bucket, message);
    if (ask.number < batch.number) {
        ++state.counters.messagesIgnored;
        return;
    }
    if (ask.number > batch.number) {
        settle(bucket, batch, ask);
        if (!state.leaving) {
            grantMore(state, bucket, batch, ask, now);
        }
    }
    if (ask.wanted > 0) {
        const auto kept = batch.outstanding - batch.granted;
        const auto retry = retryAfter(bucket, batch.granted, ask.urgent);
        internal::send(state,
                       message.from,
                       batch_grant{ask.workspace,
                                   ask.number,
                                   message.incarnation,
                                   kept,
                                   batch.granted,
                                   ask.sentAt,
                                   retry,
                                   pace(bucket),
                                   wantsReports(bucket)});
    }
}

void onBatchGrant(rights_state &state, const rights_message &message, const batch_grant &grant, time_point now)
{
    const auto found = state.workspaces.find(grant.workspace);
    if (found == state.workspaces.end() || grant.askerIncarnation != state.self.incarnation) {
        ++state.counters.messagesIgnored;
        return;
    }
    auto &rights = found->second;
    auto &account = accountOf(rights, message.from);
    if (!account.waiting || account.number != grant.number) {
        ++state.counters.messagesIgnored;
        return;
    }
    account.waiting = false;
    account.unanswered = 0;
    account.reports = grant.report;
    dropExpired(state, account, now);
    const auto expiresAt = grant.sentAt + state.settings.batchLife - state.settings.margin;
    if (grant.tokens > 0 && expiresAt > now) {
        account.accepted = grant.number;
        account.tokens = std::min(account.tokens, grant.kept) + grant.tokens;
        account.reported = grant.kept + grant.tokens;
        account.expiresAt = expiresAt;
        account.usedAt = now;
    }
    if (grant.retryAfter == duration::zero()) {
        account.dryStreak = 0;
    } else {
        const auto quiet = grant.retryAfter * (1U << std::min(account.dryStreak, MaxDoublings));
        account.quietUntil = now + std::min(quiet, std::max(grant.pace, grant.retryAfter));
        ++account.dryStreak;
        askPools(state, grant.workspace, rights, now);
    }
}

bool takeFromBatches(rights_state &state, std::string_view name, workspace_rights &rights, time_point now)
{
    pool_account *soonest{nullptr};
    for (auto &account : rights.accounts) {
        dropExpired(state, account, now);
        if (account.tokens > 0 && (soonest == nullptr || account.expiresAt < soonest->expiresAt)) {
            soonest = &account;
        }
    }
    if (soonest == nullptr) {
        return false;
    }
    --soonest->tokens;
    soonest->usedAt = now;
    if (soonest->tokens == 0 && soonest->dryStreak > 0 && !soonest->waiting) {
        sendAsk(state, name, *soonest, 0, {}, now);
    }
    return true;
}

void askPools(rights_state &state, std::string_view name, workspace_rights &rights, time_point now)
{
    const auto need = tokensWanted(state, rights);
    if (need.wanted == 0 || state.leaving) {
        return;
    }
    for (const auto &pool : rights.pools) {
        if (pool.empty() || pool == state.self.name) {
            continue;
        }
        auto &account = accountOf(rights, pool);
        checkAnswer(state.settings, account, now);
        if (account.waiting) {
            return;
        }
        if (now >= account.quietUntil) {
            sendAsk(state, name, account, 0, need, now);
            return;
        }
    }
}

void tickBatches(rights_state &state, std::string_view name, workspace_rights &rights, time_point now)
{
    for (auto &account : rights.accounts) {
        dropExpired(state, account, now);
        checkAnswer(state.settings, account, now);
        if (account.waiting) {
            continue;
        }
        const auto idle = state.leaving || now >= account.usedAt + state.settings.idleReturn;
        const auto returned = idle ? account.tokens : 0;
        const auto spent = account.reports && account.tokens == 0 && account.reported > 0 && now >= account.askedAt + ReportDelay;
        if (returned > 0 || spent) {
            sendAsk(state, name, account, returned, {}, now);
        }
    }
    std::erase_if(rights.accounts, [&](const pool_account &account) {
        const auto current = std::find(rights.pools.begin(), rights.pools.end(), account.pool) != rights.pools.end();
        return !current && account.tokens == 0 && !account.waiting;
    });
    if (now > rights.waitedAt + state.settings.maximumWait) {
        rights.waiting = 0;
    }
    const auto low = tokensHeld(rights) < rights.demand * toSeconds(state.settings.batchHorizon) / 2.0;
    if (low && rights.waiting == 0) {
        askPools(state, name, rights, now);
    }
}

std::optional<time_point> answerDueAt(const rights_state &state, const workspace_rights &rights) noexcept
{
    std::optional<time_point> due;
    for (const auto &account : rights.accounts) {
        const auto answerAt = account.askedAt + state.settings.askTimeout;
        if (account.waiting && (!due || answerAt < *due)) {
            due = answerAt;
        }
    }
    return due;
}

} // namespace ragwortpin
