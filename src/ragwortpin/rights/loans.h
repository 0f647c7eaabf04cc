#ifndef RAGWORTPIN_RIGHTS_LOANS_H
#define RAGWORTPIN_RIGHTS_LOANS_H

#include "ragwortpin/rights/fwd.h"
#include "ragwortpin/rights/rights.h"

namespace ragwortpin {

/** Lender: offers rights that are not lent to the pools of their workspaces. */
void offerLoans(rights_state &state, time_point now);

/** Borrower: answers an offer by asking for a loan, if this node is the workspace's pool. */
void onLoanOffer(rights_state &state, const rights_message &message, const loan_offer &offer, time_point now);

/** Lender: makes or prolongs loans. */
void onLoanAsk(rights_state &state, const rights_message &message, const loan_ask &ask, time_point now);

/** Borrower: takes over what was lent, or gives back what is not prolonged. */
void onLoanGrant(rights_state &state, const rights_message &message, const loan_grant &grant, time_point now);

/** Lender: takes back what a borrower returned. */
void onLoanReturn(rights_state &state, const rights_message &message, const loan_return &returned, time_point now);

/** Borrower: gives back all loans of the lender. */
void onLoanRecall(rights_state &state, const rights_message &message, const loan_recall &recall, time_point now);

/** Borrower: asks for more time, and gives back loans of workspaces whose pool is another node now. */
void renewLoans(rights_state &state, time_point now);

/** Lender: asks for all loans back. */
void recallLoans(rights_state &state, time_point now);

/** Whether this node is the pool of a workspace in its availability zone, as far as it knows. */
[[nodiscard]] bool isPool(const rights_state &state, const workspace_rights &rights) noexcept;

} // namespace ragwortpin

#endif
