#ifndef RAGWORTPIN_RIGHTS_LOANS_H
#define RAGWORTPIN_RIGHTS_LOANS_H

#include "ragwortpin/rights/fwd.h"
#include "ragwortpin/rights/rights.h"

namespace ragwortpin {

// Owners of slots lend their rights to the pool of each workspace, the node that collects them and grants tokens to other nodes. The
// slot owner is the lender, the pool is the borrower.

/** Lender: offers rights that are not lent yet to the pools of their workspaces. */
void offerLoans(rights_state &state, time_point now);

/** Borrower: requests a loan for each offered workspace whose pool is this node, unless a request to that lender is pending. */
void onLoanOffer(rights_state &state, const rights_message &message, const loan_offer &offer, time_point now);

/** Lender: makes or extends loans. */
void onLoanRequest(rights_state &state, const rights_message &message, const loan_request &request, time_point now);

/** Borrower: starts to use new loans, extends renewed ones, and returns those that the lender did not extend. */
void onLoanGrant(rights_state &state, const rights_message &message, const loan_grant &grant, time_point now);

/** Lender: ends loans that a borrower returned and takes back their tokens. */
void onLoanReturn(rights_state &state, const rights_message &message, const loan_return &returned, time_point now);

/** Borrower: returns all loans of the lender for the given workspaces. */
void onLoanRecall(rights_state &state, const rights_message &message, const loan_recall &recall, time_point now);

/** Borrower: requests extensions, repeats pending requests, and returns the loans of workspaces whose pool is now another node. */
void renewLoans(rights_state &state, time_point now);

/** Lender: recalls all loans. */
void recallLoans(rights_state &state, time_point now);

/** Returns whether this node is the pool that rights of the workspace are lent to, by its current view of the membership. */
[[nodiscard]] bool isPool(const rights_state &state, const workspace_rights &rights) noexcept;

} // namespace ragwortpin

#endif
