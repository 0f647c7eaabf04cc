#ifndef RAGWORTPIN_RIGHTS_BATCHES_H
#define RAGWORTPIN_RIGHTS_BATCHES_H

#include "ragwortpin/rights/fwd.h"
#include "ragwortpin/rights/rights.h"

#include <string_view>

namespace ragwortpin {

/** Most tokens of one grant. */
inline constexpr std::uint32_t MaxBatchTokens{256};

/** Pool: settles what the asker reports and grants what it can. */
void onBatchAsk(rights_state &state, const rights_message &message, const batch_ask &ask, time_point now);

/** Asker: takes over granted tokens. */
void onBatchGrant(rights_state &state, const rights_message &message, const batch_grant &grant, time_point now);

/** Asker: takes a token from a batch; false when none is left. */
[[nodiscard]] bool takeFromBatches(rights_state &state, std::string_view name, workspace_rights &rights, time_point now);

/** Asker: asks the next pool that may have tokens, if the demand calls for it. */
void askPools(rights_state &state, std::string_view name, workspace_rights &rights, time_point now);

/** Asker: reports spent tokens, returns idle ones and gives up on pools that do not answer. */
void tickBatches(rights_state &state, std::string_view name, workspace_rights &rights, time_point now);

/** Asker: when an answer from a pool is due at the latest; nothing when no request is out. */
[[nodiscard]] std::optional<time_point> answerDueAt(const rights_state &state, const workspace_rights &rights) noexcept;

} // namespace ragwortpin

#endif
