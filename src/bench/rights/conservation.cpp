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

/** What a node may use by itself: its rights less those lent, and at least the tokens that it has or has given out. */
[[nodiscard]] usable_rights usableNow(token_bucket bucket, time_point now)
{
    updateBucket(bucket, now);
    usable_rights usable;
    double named{0.0};
    for (const auto &right : bucket.rights) {
        usable.rate += right.rate;
        usable.cap += right.cap;
    }
    for (const auto &loan : bucket.loans) {
        usable.rate -= loan.rate;
        usable.cap -= loan.cap;
    }
    for (const auto &batch : bucket.batches) {
        (batch.holder.empty() ? usable.cap : named) += batch.holder.empty() ? -static_cast<double>(batch.outstanding) : batch.outstanding;
    }
    return {std::max(usable.rate, 0.0), std::max(usable.cap, named + bucket.level)};
}

[[nodiscard]] const workspace_rights *rightsOf(const virtual_fleet &fleet, const std::string &node, const std::string &workspace)
{
    const auto index = fleet.indices.find(node);
    if (index == fleet.indices.end() || !fleet.nodes[index->second].alive) {
        return nullptr;
    }
    const auto &state = *fleet.nodes[index->second].rights;
    const auto found = state.workspaces.find(workspace);
    return found == state.workspaces.end() ? nullptr : &found->second;
}

/** Whether a lender that is still the same process abstains from what a borrower uses. */
[[nodiscard]] bool
lenderAbstains(const virtual_fleet &fleet, const virtual_node &borrower, const std::string &workspace, const held_right &right)
{
    const auto index = fleet.indices.find(right.lender);
    if (index == fleet.indices.end()) {
        return true;
    }
    const auto &lender = fleet.nodes[index->second];
    if (!lender.alive || lender.incarnation != right.lenderIncarnation) {
        return true;
    }
    const auto *rights = rightsOf(fleet, right.lender, workspace);
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
        return !right.lender.empty() && right.usableUntil > now && !lenderAbstains(fleet, node, workspace, right);
    }));
}

[[nodiscard]] bool
poolCounts(const virtual_fleet &fleet, const virtual_node &holder, const std::string &workspace, const pool_account &account)
{
    const auto *rights = rightsOf(fleet, account.pool, workspace);
    if (rights == nullptr) {
        return true;
    }
    const auto &pool = fleet.nodes[fleet.indices.at(account.pool)];
    const auto longAgo = fleet.now > pool.startedAt + 2 * fleet.options.settings.batchTerm;
    if (!longAgo) {
        return true;
    }
    const auto now = localTime(fleet, pool);
    return std::any_of(rights->bucket.batches.begin(), rights->bucket.batches.end(), [&](const granted_batch &batch) {
        const auto same = batch.holder == holder.name && batch.holderIncarnation == holder.incarnation;
        return same && batch.reservedUntil > now && batch.outstanding >= account.tokens;
    });
}

[[nodiscard]] std::uint64_t
countUnmatchedBatches(const virtual_fleet &fleet, const virtual_node &node, const std::string &workspace, const workspace_rights &rights)
{
    const auto now = localTime(fleet, node);
    return static_cast<std::uint64_t>(std::count_if(rights.accounts.begin(), rights.accounts.end(), [&](const pool_account &account) {
        return account.tokens > 0 && account.expiresAt > now && !poolCounts(fleet, node, workspace, account);
    }));
}

} // namespace

conservation_excess checkConservation(const virtual_fleet &fleet)
{
    conservation_excess excess;
    for (const auto &[name, audit] : fleet.audits) {
        usable_rights sum;
        for (const auto &node : fleet.nodes) {
            const auto *rights = node.alive ? rightsOf(fleet, node.name, name) : nullptr;
            if (rights == nullptr) {
                continue;
            }
            const auto usable = usableNow(rights->bucket, localTime(fleet, node));
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
