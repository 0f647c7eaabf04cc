#include "bench/rights/conservation.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin::bench {

namespace {

struct usable_rights
{
    double rate{0.0};
    double cap{0.0};
};

/**
 * Returns the rate and the cap that a node may use: its rights less the rights lent and less the outstanding tokens of batches without a
 * named holder. The cap is never below the tokens in the bucket plus those granted to named holders.
 */
[[nodiscard]] usable_rights computeUsableRights(token_bucket bucket, time_point now)
{
    updateBucket(bucket, now);
    usable_rights usable;
    double namedHolderTokens{0.0};
    for (const auto &right : bucket.rights) {
        usable.rate += right.rate;
        usable.cap += right.cap;
    }
    for (const auto &loan : bucket.loans) {
        usable.rate -= loan.rate;
        usable.cap -= loan.cap;
    }
    for (const auto &batch : bucket.batches) {
        (batch.holder.empty() ? usable.cap : namedHolderTokens)
            += batch.holder.empty() ? -static_cast<double>(batch.outstanding) : batch.outstanding;
    }
    return {std::max(usable.rate, 0.0), std::max(usable.cap, namedHolderTokens + bucket.level)};
}

[[nodiscard]] const workspace_rights *findRights(const virtual_fleet &fleet, const std::string &node, const std::string &workspace)
{
    const auto index = fleet.indexByName.find(node);
    if (index == fleet.indexByName.end() || !fleet.nodes[index->second].alive) {
        return nullptr;
    }
    const auto &state = *fleet.nodes[index->second].rights;
    const auto found = state.workspaces.find(workspace);
    return found == state.workspaces.end() ? nullptr : &found->second;
}

/**
 * Returns whether the lender of a right excludes it from its own use. Returns true if the lender has ended, restarted
 * or been replaced, since the process that lent the right no longer uses it.
 */
[[nodiscard]] bool
isLoanExcludedByLender(const virtual_fleet &fleet, const virtual_node &borrower, const std::string &workspace, const held_right &right)
{
    const auto index = fleet.indexByName.find(right.lender);
    if (index == fleet.indexByName.end()) {
        return true;
    }
    const auto &lender = fleet.nodes[index->second];
    if (!lender.alive || lender.incarnation != right.lenderIncarnation) {
        return true;
    }
    const auto *rights = findRights(fleet, right.lender, workspace);
    const auto now = localTime(fleet, lender);
    return rights != nullptr && std::any_of(rights->bucket.loans.begin(), rights->bucket.loans.end(), [&](const granted_loan &loan) {
               return loan.borrower == borrower.name && loan.number == right.number && loan.reservedUntil > now;
           });
}

[[nodiscard]] std::uint64_t
countUnmatchedLoans(const virtual_fleet &fleet, const virtual_node &node, const std::string &workspace, const token_bucket &bucket)
{
    const auto now = localTime(fleet, node);
    return static_cast<std::uint64_t>(std::count_if(bucket.rights.begin(), bucket.rights.end(), [&](const held_right &right) {
        return !right.lender.empty() && right.usableUntil > now && !isLoanExcludedByLender(fleet, node, workspace, right);
    }));
}

/**
 * Returns whether the pool of an account counts all tokens of the account as outstanding. Returns true if the pool is down or
 * has no rights for the workspace, and if it started less than two batch lives ago, since it does not know the batches of its
 * former process.
 */
[[nodiscard]] bool
isBatchCountedByPool(const virtual_fleet &fleet, const virtual_node &holder, const std::string &workspace, const pool_account &account)
{
    const auto *rights = findRights(fleet, account.pool, workspace);
    if (rights == nullptr) {
        return true;
    }
    const auto &pool = fleet.nodes[fleet.indexByName.at(account.pool)];
    const auto isPastStartup = fleet.now > pool.startedAt + 2 * fleet.options.settings.batchTerm;
    if (!isPastStartup) {
        return true;
    }
    const auto now = localTime(fleet, pool);
    return std::any_of(rights->bucket.batches.begin(), rights->bucket.batches.end(), [&](const granted_batch &batch) {
        const auto isSameHolder = batch.holder == holder.name && batch.holderIncarnation == holder.incarnation;
        return isSameHolder && batch.reservedUntil > now && batch.outstanding >= account.tokens;
    });
}

[[nodiscard]] std::uint64_t
countUnmatchedBatches(const virtual_fleet &fleet, const virtual_node &node, const std::string &workspace, const workspace_rights &rights)
{
    const auto now = localTime(fleet, node);
    return static_cast<std::uint64_t>(std::count_if(rights.accounts.begin(), rights.accounts.end(), [&](const pool_account &account) {
        return account.tokens > 0 && account.expiresAt > now && !isBatchCountedByPool(fleet, node, workspace, account);
    }));
}

} // namespace

conservation_excess checkConservation(const virtual_fleet &fleet)
{
    conservation_excess excess;
    for (const auto &[name, audit] : fleet.audits) {
        usable_rights sum;
        for (const auto &node : fleet.nodes) {
            const auto *rights = node.alive ? findRights(fleet, node.name, name) : nullptr;
            if (rights == nullptr) {
                continue;
            }
            const auto usable = computeUsableRights(rights->bucket, localTime(fleet, node));
            sum.rate += usable.rate;
            sum.cap += usable.cap;
            excess.unmatchedLoans += countUnmatchedLoans(fleet, node, name, rights->bucket);
            excess.unmatchedBatches += countUnmatchedBatches(fleet, node, name, *rights);
        }
        excess.rate = std::max(excess.rate, sum.rate - audit.rate);
        excess.cap = std::max(excess.cap, sum.cap - audit.burst);
    }
    return excess;
}

} // namespace ragwortpin::bench
