#ifndef RAGWORTPIN_RIGHTS_BATCHES_H
#define RAGWORTPIN_RIGHTS_BATCHES_H

#include "ragwortpin/rights/fwd.h"
#include "ragwortpin/rights/rights.h"

#include <string_view>

namespace ragwortpin {

// A node that has too few tokens of a workspace requests a batch of tokens from the pool of the workspace, which grants them out of its
// own bucket.

/** Maximum number of tokens in one grant. */
inline constexpr std::uint32_t MaxBatchTokens{256};

/** Pool: accounts for the tokens that the requesting node reports as kept or returned, and grants further ones if it has any. */
void onBatchRequest(rights_state &state, const rights_message &message, const batch_request &request, time_point now);

/** Requesting node: stores granted tokens, or backs off from a pool that granted fewer than needed and tries the next one. */
void onBatchGrant(rights_state &state, const rights_message &message, const batch_grant &grant, time_point now);

/** Requesting node: spends a token of the batch that expires first. Returns false if there is no token. */
[[nodiscard]] bool takeFromBatches(rights_state &state, std::string_view name, workspace_rights &rights, time_point now);

/**
 * Requesting node: sends a request to the first pool that is not in backoff, if the demand exceeds the tokens held. Sends nothing
 * if a reply is still awaited from a pool before it in the list.
 */
void requestFromPools(rights_state &state, std::string_view name, workspace_rights &rights, time_point now);

/** Requesting node: reports spent tokens, returns idle ones, handles request timeouts and requests tokens when few are left. */
void tickBatches(rights_state &state, std::string_view name, workspace_rights &rights, time_point now);

/** Requesting node: returns the earliest time at which a pending request times out, or no value if none is pending. */
[[nodiscard]] std::optional<time_point> replyDueAt(const rights_state &state, const workspace_rights &rights) noexcept;

} // namespace ragwortpin

#endif
