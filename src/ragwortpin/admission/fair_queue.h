#ifndef RAGWORTPIN_ADMISSION_FAIR_QUEUE_H
#define RAGWORTPIN_ADMISSION_FAIR_QUEUE_H

#include "ragwortpin/admission/admission.h"

#include <cstddef>
#include <optional>

namespace ragwortpin::internal {

/** Finds the account of a workspace in a rank, making it if need be. */
[[nodiscard]] work_account &accountOf(admission_state &state, unsigned rank, std::string_view workspace);

/** Puts a request in the queue and charges its account with the waiting work. */
void pushQueued(admission_state &state, const admission_request &request, double work, time_point now);

/** Takes the request at a position out of the queue. */
queued_request popQueued(admission_state &state, std::size_t position);

/** Charges the account of a request that starts, and advances the clock of its rank. */
void chargeStarted(admission_state &state, unsigned rank, std::string_view workspace, double weight, double work);

/** Corrects the charge of a request whose work is known now, and learns from it how the account's work compares to the average. */
void correctCharge(admission_state &state, const running_request &request, double work, double averageWork);

/**
 * Finds the queued request that is next in turn: most important rank, workspace with the least work had for its weight,
 * deepest, then oldest, or newest if newestFirst. Of the most important waiting rank, only requests of at least the given
 * depth count.
 */
[[nodiscard]] std::optional<std::size_t> nextInTurn(const admission_state &state, bool newestFirst, unsigned leastDepth) noexcept;

/** Finds the queued request that is given up first: the reverse of the order of turns, counting waiting work as had. */
[[nodiscard]] std::optional<std::size_t> lastInTurn(const admission_state &state, bool newestFirst) noexcept;

/** Forgets accounts that are behind the clock of their rank and have nothing waiting. */
void pruneAccounts(admission_state &state);

} // namespace ragwortpin::internal

#endif
