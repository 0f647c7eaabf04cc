#ifndef RAGWORTPIN_ADMISSION_FAIR_QUEUE_H
#define RAGWORTPIN_ADMISSION_FAIR_QUEUE_H

#include "ragwortpin/admission/admission.h"

#include <cstddef>
#include <optional>

namespace ragwortpin::internal {

/** Returns the account of a workspace at a rank. Creates it, at the virtual time of the rank's clock, if it does not exist. */
[[nodiscard]] work_account &findOrCreateAccount(admission_state &state, unsigned rank, std::string_view workspace);

/** Appends a request to the queue and adds its work to the queued work of its account. */
void enqueue(admission_state &state, const admission_request &request, double work, time_point now);

/** Removes the request at a position from the queue and returns it. */
queued_request removeQueued(admission_state &state, std::size_t position);

/** Charges the work of a starting request to its account and advances the virtual clock of its rank. */
void chargeStartedWork(admission_state &state, unsigned rank, std::string_view workspace, double weight, double work);

/** Replaces the estimated charge of a request by its measured work and updates the relative work of its account. */
void correctCharge(admission_state &state, const running_request &request, double work, double averageWork);

/**
 * Returns the position of the queued request that is served next, or nothing if none qualifies. Only requests of the most
 * important queued rank with at least the given depth qualify. Of these, the deepest comes first, then the workspace with the
 * smallest virtual time, then the oldest request, or the newest if newestFirst is set.
 */
[[nodiscard]] std::optional<std::size_t> findNextInServiceOrder(const admission_state &state, bool newestFirst, unsigned minDepth) noexcept;

/**
 * Returns the position of the queued request that is displaced first, or nothing if the queue is empty. It is the last one of the
 * least important queued rank in service order, where the queued work of a workspace counts as already served.
 */
[[nodiscard]] std::optional<std::size_t> findLastInServiceOrder(const admission_state &state, bool newestFirst) noexcept;

/** Removes accounts that have no queued requests and are not ahead of the clock of their rank, once there are many accounts. */
void pruneAccounts(admission_state &state);

} // namespace ragwortpin::internal

#endif
