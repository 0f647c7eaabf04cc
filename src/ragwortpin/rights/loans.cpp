#include "ragwortpin/rights/loans.h"

#include "ragwortpin/rights/send.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace ragwortpin {

namespace {

constexpr duration OfferInterval{milliseconds{500}};
constexpr std::uint32_t MaxLoanAttempts{4};
/** Smallest rate worth a loan, in tokens a second. */
constexpr double SmallestRate{1e-6};

struct lendable
{
    double rate{0.0};
    std::uint32_t cap{0};

    [[nodiscard]] bool any() const noexcept
    {
        return rate > SmallestRate || cap > 0;
    }
};

[[nodiscard]] time_point abstainUntil(const rights_settings &settings, time_point now) noexcept
{
    return now + settings.loanTerm + settings.margin;
}

[[nodiscard]] lendable ownUntil(const token_bucket &bucket, time_point until)
{
    lendable sum;
    for (const auto &right : bucket.rights) {
        if (right.lender.empty() && right.usableUntil >= until) {
            sum.rate += right.rate;
            sum.cap += right.cap;
        }
    }
    return sum;
}

[[nodiscard]] lendable lentOf(const token_bucket &bucket)
{
    lendable sum;
    for (const auto &loan : bucket.loans) {
        sum.rate += loan.rate;
        sum.cap += loan.cap;
    }
    return sum;
}

[[nodiscard]] lendable lendableUntil(const token_bucket &bucket, time_point until)
{
    const auto own = ownUntil(bucket, until);
    const auto out = capOut(bucket);
    return {std::max(own.rate - lentOf(bucket).rate, 0.0), own.cap > out ? own.cap - out : 0};
}

[[nodiscard]] bool mayProlong(const token_bucket &bucket, time_point until)
{
    const auto own = ownUntil(bucket, until);
    const auto lent = lentOf(bucket);
    return lent.rate <= own.rate + SmallestRate && lent.cap <= own.cap;
}

[[nodiscard]] loan_grant_item describeLoan(const std::string &workspace, const given_loan &loan)
{
    return {workspace, loan.number, true, loan.rate, loan.cap, loan.balance};
}

[[nodiscard]] loan_grant_item refusal(const loan_ask_item &item)
{
    return {item.workspace, item.number, false, 0.0, 0, 0.0};
}

[[nodiscard]] bool isStale(const workspace_rights &rights, const rights_message &message, std::uint64_t number)
{
    const auto last = rights.lastLoanNumbers.find(message.from);
    return last != rights.lastLoanNumbers.end() && last->second.first == message.incarnation && number <= last->second.second;
}

[[nodiscard]] given_loan
makeLoan(token_bucket &bucket, const rights_message &message, std::uint64_t number, const lendable &amount, time_point until)
{
    const auto balance = std::min(bucket.level, static_cast<double>(amount.cap));
    bucket.level -= balance;
    given_loan loan{message.from, message.incarnation, number, amount.rate, amount.cap, balance, until};
    bucket.loans.push_back(loan);
    return loan;
}

[[nodiscard]] std::optional<loan_grant_item>
answerAsk(rights_state &state, const rights_message &message, const loan_ask_item &item, time_point now)
{
    const auto found = state.workspaces.find(item.workspace);
    if (found == state.workspaces.end()) {
        return refusal(item);
    }
    auto &rights = found->second;
    auto &bucket = rights.bucket;
    updateBucket(bucket, now);
    const auto until = abstainUntil(state.settings, now);
    const auto loan = std::find_if(bucket.loans.begin(), bucket.loans.end(), [&](const given_loan &candidate) {
        return candidate.borrower == message.from && candidate.borrowerIncarnation == message.incarnation
            && candidate.number == item.number;
    });
    if (loan != bucket.loans.end()) {
        if (state.leaving || !mayProlong(bucket, until)) {
            return refusal(item);
        }
        loan->abstainUntil = std::max(loan->abstainUntil, until);
        return describeLoan(item.workspace, *loan);
    }
    if (item.held || state.leaving) {
        return refusal(item);
    }
    if (isStale(rights, message, item.number)) {
        return std::nullopt;
    }
    const auto amount = lendableUntil(bucket, until);
    if (!amount.any()) {
        return refusal(item);
    }
    rights.lastLoanNumbers[message.from] = {message.incarnation, item.number};
    ++state.counters.loansGranted;
    return describeLoan(item.workspace, makeLoan(bucket, message, item.number, amount, until));
}

/** Removes a borrowed right and describes what goes back with it. */
[[nodiscard]] loan_return_item
giveBack(const rights_state &state, const std::string &workspace, token_bucket &bucket, const held_right &right, time_point now)
{
    const auto returned = right;
    std::erase(bucket.rights, returned);
    const auto covered = capUntil(bucket, now + state.settings.batchLife + state.settings.margin);
    const auto out = capOut(bucket);
    const auto uncovered = std::min(out > covered ? out - covered : 0, returned.cap);
    const auto balance = std::min(bucket.level, static_cast<double>(returned.cap - uncovered));
    bucket.level -= balance;
    updateBucket(bucket, now);
    return {workspace, returned.number, balance, uncovered};
}

void acceptLoan(rights_state &state,
                workspace_rights &rights,
                const rights_message &message,
                const loan_grant &grant,
                const loan_grant_item &item,
                time_point now)
{
    rights.pendingLoans.erase(item.number);
    if (!item.granted) {
        return;
    }
    const auto usableUntil = grant.sentAt + state.settings.loanTerm - state.settings.margin;
    if (usableUntil <= now || !isPool(state, rights)) {
        internal::send(state, message.from, loan_return{{{item.workspace, item.number, item.balance, 0}}});
        return;
    }
    rights.bucket.rights.push_back({message.from, message.incarnation, item.number, item.rate, item.cap, usableUntil});
    rights.bucket.level += item.balance;
}

void onGrantItem(rights_state &state, const rights_message &message, const loan_grant &grant, const loan_grant_item &item, time_point now)
{
    const auto found = state.workspaces.find(item.workspace);
    if (found == state.workspaces.end()) {
        return;
    }
    auto &rights = found->second;
    state.counters.loansExpired += updateBucket(rights.bucket, now);
    const auto pending = rights.pendingLoans.find(item.number);
    if (pending != rights.pendingLoans.end() && pending->second.lender == message.from) {
        acceptLoan(state, rights, message, grant, item, now);
        return;
    }
    const auto held = std::find_if(rights.bucket.rights.begin(), rights.bucket.rights.end(), [&](const held_right &right) {
        return right.lender == message.from && right.lenderIncarnation == message.incarnation && right.number == item.number;
    });
    if (held == rights.bucket.rights.end()) {
        ++state.counters.messagesIgnored;
        return;
    }
    if (item.granted) {
        held->usableUntil = std::max(held->usableUntil, grant.sentAt + state.settings.loanTerm - state.settings.margin);
        return;
    }
    internal::send(state, message.from, loan_return{{giveBack(state, item.workspace, rights.bucket, *held, now)}});
}

using asks_by_lender = std::map<std::string, std::vector<loan_ask_item>>;
using returns_by_lender = std::map<std::string, std::vector<loan_return_item>>;

void collectReturns(rights_state &state, const std::string &name, workspace_rights &rights, returns_by_lender &returns, time_point now)
{
    const auto held = rights.bucket.rights;
    for (const auto &right : held) {
        if (!right.lender.empty()) {
            returns[right.lender].push_back(giveBack(state, name, rights.bucket, right, now));
        }
    }
    rights.pendingLoans.clear();
}

void collectRenewals(const std::string &name, workspace_rights &rights, asks_by_lender &asks)
{
    for (const auto &right : rights.bucket.rights) {
        if (!right.lender.empty()) {
            asks[right.lender].push_back({name, right.number, true});
        }
    }
    std::erase_if(rights.pendingLoans, [](const auto &pending) {
        return pending.second.attempts >= MaxLoanAttempts;
    });
    for (auto &[number, pending] : rights.pendingLoans) {
        ++pending.attempts;
        asks[pending.lender].push_back({name, number, false});
    }
}

void sendReturns(rights_state &state, const returns_by_lender &returns)
{
    internal::sendInParts(state, returns, [](std::vector<loan_return_item> items) {
        return loan_return{std::move(items)};
    });
}

void sendAsks(rights_state &state, const asks_by_lender &asks, time_point now)
{
    internal::sendInParts(state, asks, [now](std::vector<loan_ask_item> items) {
        return loan_ask{now, std::move(items)};
    });
}

} // namespace

bool isPool(const rights_state &state, const workspace_rights &rights) noexcept
{
    return !state.leaving && rights.configured && !rights.pools.empty() && rights.pools.front() == state.self.name;
}

void offerLoans(rights_state &state, time_point now)
{
    std::map<std::string, std::vector<std::string>> offers;
    const auto until = abstainUntil(state.settings, now);
    for (auto &[name, rights] : state.workspaces) {
        const auto due = rights.configured && !rights.pools.empty() && now >= rights.offeredAt + OfferInterval;
        if (!due || rights.pools.front() == state.self.name || rights.pools.front().empty()) {
            continue;
        }
        updateBucket(rights.bucket, now);
        if (lendableUntil(rights.bucket, until).any()) {
            rights.offeredAt = now;
            offers[rights.pools.front()].push_back(name);
        }
    }
    internal::sendInParts(state, offers, [](std::vector<std::string> names) {
        return loan_offer{std::move(names)};
    });
}

void onLoanOffer(rights_state &state, const rights_message &message, const loan_offer &offer, time_point now)
{
    asks_by_lender asks;
    for (const auto &name : offer.workspaces) {
        const auto found = state.workspaces.find(name);
        if (found == state.workspaces.end() || !isPool(state, found->second)) {
            continue;
        }
        auto &pendingLoans = found->second.pendingLoans;
        const auto asked = std::any_of(pendingLoans.begin(), pendingLoans.end(), [&](const auto &pending) {
            return pending.second.lender == message.from;
        });
        if (!asked) {
            const auto number = state.nextNumber++;
            pendingLoans.emplace(number, pending_loan{message.from, 1});
            asks[message.from].push_back({name, number, false});
        }
    }
    sendAsks(state, asks, now);
}

void onLoanAsk(rights_state &state, const rights_message &message, const loan_ask &ask, time_point now)
{
    loan_grant grant{ask.sentAt, message.incarnation, {}};
    for (const auto &item : ask.items) {
        if (auto answer = answerAsk(state, message, item, now)) {
            grant.items.push_back(std::move(*answer));
        }
    }
    if (!grant.items.empty()) {
        internal::send(state, message.from, std::move(grant));
    }
}

void onLoanGrant(rights_state &state, const rights_message &message, const loan_grant &grant, time_point now)
{
    if (grant.askerIncarnation != state.self.incarnation) {
        ++state.counters.messagesIgnored;
        return;
    }
    for (const auto &item : grant.items) {
        onGrantItem(state, message, grant, item, now);
    }
}

void onLoanReturn(rights_state &state, const rights_message &message, const loan_return &returned, time_point now)
{
    for (const auto &item : returned.items) {
        const auto found = state.workspaces.find(item.workspace);
        if (found == state.workspaces.end()) {
            continue;
        }
        auto &bucket = found->second.bucket;
        updateBucket(bucket, now);
        const auto loan = std::find_if(bucket.loans.begin(), bucket.loans.end(), [&](const given_loan &candidate) {
            return candidate.borrower == message.from && candidate.borrowerIncarnation == message.incarnation
                && candidate.number == item.number;
        });
        if (loan == bucket.loans.end()) {
            ++state.counters.messagesIgnored;
            continue;
        }
        const auto outstanding = std::min(item.outstanding, loan->cap);
        bucket.level += std::min(item.balance, static_cast<double>(loan->cap - outstanding));
        bucket.loans.erase(loan);
        if (outstanding > 0) {
            const auto until = now + state.settings.batchLife + 2 * state.settings.margin;
            bucket.batches.push_back({{}, 0, 0, 0, outstanding, until});
        }
        found->second.offeredAt = {};
    }
}

void onLoanRecall(rights_state &state, const rights_message &message, const loan_recall &recall, time_point now)
{
    returns_by_lender returns;
    for (const auto &name : recall.workspaces) {
        const auto found = state.workspaces.find(name);
        if (found == state.workspaces.end()) {
            continue;
        }
        auto &bucket = found->second.bucket;
        state.counters.loansExpired += updateBucket(bucket, now);
        const auto held = bucket.rights;
        for (const auto &right : held) {
            if (right.lender == message.from) {
                returns[right.lender].push_back(giveBack(state, name, bucket, right, now));
            }
        }
    }
    sendReturns(state, returns);
}

void renewLoans(rights_state &state, time_point now)
{
    asks_by_lender asks;
    returns_by_lender returns;
    for (auto &[name, rights] : state.workspaces) {
        state.counters.loansExpired += updateBucket(rights.bucket, now);
        if (isPool(state, rights)) {
            collectRenewals(name, rights, asks);
        } else {
            collectReturns(state, name, rights, returns, now);
        }
    }
    sendReturns(state, returns);
    sendAsks(state, asks, now);
}

void recallLoans(rights_state &state, time_point now)
{
    std::map<std::string, std::vector<std::string>> recalls;
    for (auto &[name, rights] : state.workspaces) {
        updateBucket(rights.bucket, now);
        for (const auto &loan : rights.bucket.loans) {
            recalls[loan.borrower].push_back(name);
        }
    }
    internal::sendInParts(state, recalls, [](std::vector<std::string> names) {
        return loan_recall{std::move(names)};
    });
}

} // namespace ragwortpin
