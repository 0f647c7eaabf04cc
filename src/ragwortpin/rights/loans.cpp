#include "ragwortpin/rights/loans.h"

#include "ragwortpin/rights/send.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace ragwortpin {

namespace {

constexpr duration OfferInterval{milliseconds{500}};
constexpr std::uint32_t MaxLoanAttempts{4};
/** Rates up to this one, in tokens per second, are not lent. Also the tolerance when summed rates are compared. */
constexpr double MinLoanRate{1e-6};

/** Rate and cap of rights. */
struct lendable_amount
{
    double rate{0.0};
    std::uint32_t cap{0};

    [[nodiscard]] bool isLendable() const noexcept
    {
        return rate > MinLoanRate || cap > 0;
    }
};

/** Returns the time until which a lender must not use rights that it lends or extends now. */
[[nodiscard]] time_point loanReservedUntil(const rights_settings &settings, time_point now) noexcept
{
    return now + settings.loanTerm + settings.clockMargin;
}

/** Returns the sum of the rights from this node's own slots that remain usable until the given time. */
[[nodiscard]] lendable_amount ownRightsUsableUntil(const token_bucket &bucket, time_point until)
{
    lendable_amount sum;
    for (const auto &right : bucket.rights) {
        if (right.lender.empty() && right.usableUntil >= until) {
            sum.rate += right.rate;
            sum.cap += right.cap;
        }
    }
    return sum;
}

[[nodiscard]] lendable_amount lentAmount(const token_bucket &bucket)
{
    lendable_amount sum;
    for (const auto &loan : bucket.loans) {
        sum.rate += loan.rate;
        sum.cap += loan.cap;
    }
    return sum;
}

[[nodiscard]] lendable_amount lendableAmountUntil(const token_bucket &bucket, time_point until)
{
    const auto own = ownRightsUsableUntil(bucket, until);
    const auto committed = committedCap(bucket);
    return {std::max(own.rate - lentAmount(bucket).rate, 0.0), own.cap > committed ? own.cap - committed : 0};
}

/** Returns whether this node's own rights cover its loans until the given time. */
[[nodiscard]] bool canExtendLoans(const token_bucket &bucket, time_point until)
{
    const auto own = ownRightsUsableUntil(bucket, until);
    const auto lent = lentAmount(bucket);
    return lent.rate <= own.rate + MinLoanRate && lent.cap <= own.cap;
}

[[nodiscard]] loan_grant_item makeGrantItem(const std::string &workspace, const granted_loan &loan)
{
    return {workspace, loan.number, true, loan.rate, loan.cap, loan.balance};
}

[[nodiscard]] loan_grant_item makeRefusalItem(const loan_request_item &item)
{
    return {item.workspace, item.number, false, 0.0, 0, 0.0};
}

/** Returns whether the number is not newer than that of the last loan to the same incarnation of the borrower. */
[[nodiscard]] bool isStaleRequest(const workspace_rights &rights, const rights_message &message, std::uint64_t number)
{
    const auto last = rights.lastLoanNumbers.find(message.from);
    return last != rights.lastLoanNumbers.end() && last->second.first == message.incarnation && number <= last->second.second;
}

[[nodiscard]] granted_loan
addLoan(token_bucket &bucket, const rights_message &message, std::uint64_t number, const lendable_amount &amount, time_point until)
{
    const auto balance = std::min(bucket.level, static_cast<double>(amount.cap));
    bucket.level -= balance;
    granted_loan loan{message.from, message.incarnation, number, amount.rate, amount.cap, balance, until};
    bucket.loans.push_back(loan);
    return loan;
}

/** Extends or makes the requested loan. Returns the reply, or no value for an outdated request, which is not answered. */
[[nodiscard]] std::optional<loan_grant_item>
answerLoanRequest(rights_state &state, const rights_message &message, const loan_request_item &item, time_point now)
{
    const auto found = state.workspaces.find(item.workspace);
    if (found == state.workspaces.end()) {
        return makeRefusalItem(item);
    }
    auto &rights = found->second;
    auto &bucket = rights.bucket;
    updateBucket(bucket, now);
    const auto until = loanReservedUntil(state.settings, now);
    const auto loan = std::find_if(bucket.loans.begin(), bucket.loans.end(), [&](const granted_loan &candidate) {
        return candidate.borrower == message.from && candidate.borrowerIncarnation == message.incarnation
            && candidate.number == item.number;
    });
    if (loan != bucket.loans.end()) {
        if (state.leaving || !canExtendLoans(bucket, until)) {
            return makeRefusalItem(item);
        }
        loan->reservedUntil = std::max(loan->reservedUntil, until);
        return makeGrantItem(item.workspace, *loan);
    }
    if (item.isRenewal || state.leaving) {
        return makeRefusalItem(item);
    }
    if (isStaleRequest(rights, message, item.number)) {
        return std::nullopt;
    }
    const auto amount = lendableAmountUntil(bucket, until);
    if (!amount.isLendable()) {
        return makeRefusalItem(item);
    }
    rights.lastLoanNumbers[message.from] = {message.incarnation, item.number};
    ++state.counters.loansGranted;
    return makeGrantItem(item.workspace, addLoan(bucket, message, item.number, amount, until));
}

/**
 * Removes a borrowed right from the bucket and returns the message item that gives it back to the lender, with the tokens that belong
 * to it and with the granted tokens that the remaining rights do not cover.
 */
[[nodiscard]] loan_return_item
returnLoan(const rights_state &state, const std::string &workspace, token_bucket &bucket, const held_right &right, time_point now)
{
    const auto returned = right;
    std::erase(bucket.rights, returned);
    const auto covered = capUsableUntil(bucket, now + state.settings.batchTerm + state.settings.clockMargin);
    const auto committed = committedCap(bucket);
    const auto uncovered = std::min(committed > covered ? committed - covered : 0, returned.cap);
    const auto balance = std::min(bucket.level, static_cast<double>(returned.cap - uncovered));
    bucket.level -= balance;
    updateBucket(bucket, now);
    return {workspace, returned.number, balance, uncovered};
}

/** Starts to use a loan. Returns it to the lender if its term is over or if this node is no longer the pool of the workspace. */
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
    const auto usableUntil = grant.sentAt + state.settings.loanTerm - state.settings.clockMargin;
    if (usableUntil <= now || !isPool(state, rights)) {
        internal::send(state, message.from, loan_return{{{item.workspace, item.number, item.balance, 0}}});
        return;
    }
    rights.bucket.rights.push_back({message.from, message.incarnation, item.number, item.rate, item.cap, usableUntil});
    rights.bucket.level += item.balance;
}

void handleGrantItem(
    rights_state &state, const rights_message &message, const loan_grant &grant, const loan_grant_item &item, time_point now)
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
        held->usableUntil = std::max(held->usableUntil, grant.sentAt + state.settings.loanTerm - state.settings.clockMargin);
        return;
    }
    internal::send(state, message.from, loan_return{{returnLoan(state, item.workspace, rights.bucket, *held, now)}});
}

using requests_by_lender = std::map<std::string, std::vector<loan_request_item>>;
using returns_by_lender = std::map<std::string, std::vector<loan_return_item>>;

void collectReturns(rights_state &state, const std::string &name, workspace_rights &rights, returns_by_lender &returns, time_point now)
{
    const auto held = rights.bucket.rights;
    for (const auto &right : held) {
        if (!right.lender.empty()) {
            returns[right.lender].push_back(returnLoan(state, name, rights.bucket, right, now));
        }
    }
    rights.pendingLoans.clear();
}

void collectRenewals(const std::string &name, workspace_rights &rights, requests_by_lender &requests)
{
    for (const auto &right : rights.bucket.rights) {
        if (!right.lender.empty()) {
            requests[right.lender].push_back({name, right.number, true});
        }
    }
    std::erase_if(rights.pendingLoans, [](const auto &pending) {
        return pending.second.attempts >= MaxLoanAttempts;
    });
    for (auto &[number, pending] : rights.pendingLoans) {
        ++pending.attempts;
        requests[pending.lender].push_back({name, number, false});
    }
}

void sendLoanReturns(rights_state &state, const returns_by_lender &returns)
{
    internal::sendInParts(state, returns, [](std::vector<loan_return_item> items) {
        return loan_return{std::move(items)};
    });
}

void sendLoanRequests(rights_state &state, const requests_by_lender &requests, time_point now)
{
    internal::sendInParts(state, requests, [now](std::vector<loan_request_item> items) {
        return loan_request{now, std::move(items)};
    });
}

} // namespace

bool isPool(const rights_state &state, const workspace_rights &rights) noexcept
{
    return !state.leaving && rights.configured && !rights.poolNodes.empty() && rights.poolNodes.front() == state.self.name;
}

void offerLoans(rights_state &state, time_point now)
{
    std::map<std::string, std::vector<std::string>> offers;
    const auto until = loanReservedUntil(state.settings, now);
    for (auto &[name, rights] : state.workspaces) {
        const auto due = rights.configured && !rights.poolNodes.empty() && now >= rights.lastOfferAt + OfferInterval;
        if (!due || rights.poolNodes.front() == state.self.name || rights.poolNodes.front().empty()) {
            continue;
        }
        updateBucket(rights.bucket, now);
        if (lendableAmountUntil(rights.bucket, until).isLendable()) {
            rights.lastOfferAt = now;
            offers[rights.poolNodes.front()].push_back(name);
        }
    }
    internal::sendInParts(state, offers, [](std::vector<std::string> names) {
        return loan_offer{std::move(names)};
    });
}

void onLoanOffer(rights_state &state, const rights_message &message, const loan_offer &offer, time_point now)
{
    requests_by_lender requests;
    for (const auto &name : offer.workspaces) {
        const auto found = state.workspaces.find(name);
        if (found == state.workspaces.end() || !isPool(state, found->second)) {
            continue;
        }
        auto &pendingLoans = found->second.pendingLoans;
        const auto isPending = std::any_of(pendingLoans.begin(), pendingLoans.end(), [&](const auto &pending) {
            return pending.second.lender == message.from;
        });
        if (!isPending) {
            const auto number = state.nextNumber++;
            pendingLoans.emplace(number, pending_loan{message.from, 1});
            requests[message.from].push_back({name, number, false});
        }
    }
    sendLoanRequests(state, requests, now);
}

void onLoanRequest(rights_state &state, const rights_message &message, const loan_request &request, time_point now)
{
    loan_grant grant{request.sentAt, message.incarnation, {}};
    for (const auto &item : request.items) {
        if (auto reply = answerLoanRequest(state, message, item, now)) {
            grant.items.push_back(std::move(*reply));
        }
    }
    if (!grant.items.empty()) {
        internal::send(state, message.from, std::move(grant));
    }
}

void onLoanGrant(rights_state &state, const rights_message &message, const loan_grant &grant, time_point now)
{
    if (grant.requesterIncarnation != state.self.incarnation) {
        ++state.counters.messagesIgnored;
        return;
    }
    for (const auto &item : grant.items) {
        handleGrantItem(state, message, grant, item, now);
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
        const auto loan = std::find_if(bucket.loans.begin(), bucket.loans.end(), [&](const granted_loan &candidate) {
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
            const auto until = now + state.settings.batchTerm + 2 * state.settings.clockMargin;
            bucket.batches.push_back({{}, 0, 0, 0, outstanding, until});
        }
        found->second.lastOfferAt = {};
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
                returns[right.lender].push_back(returnLoan(state, name, bucket, right, now));
            }
        }
    }
    sendLoanReturns(state, returns);
}

void renewLoans(rights_state &state, time_point now)
{
    requests_by_lender requests;
    returns_by_lender returns;
    for (auto &[name, rights] : state.workspaces) {
        state.counters.loansExpired += updateBucket(rights.bucket, now);
        if (isPool(state, rights)) {
            collectRenewals(name, rights, requests);
        } else {
            collectReturns(state, name, rights, returns, now);
        }
    }
    sendLoanReturns(state, returns);
    sendLoanRequests(state, requests, now);
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
