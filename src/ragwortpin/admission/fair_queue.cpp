#include "ragwortpin/admission/fair_queue.h"

#include <algorithm>
#include <limits>

namespace ragwortpin::internal {

namespace {

/** Number of accounts above which idle ones are removed. */
constexpr std::size_t AccountPruningThreshold{256};

/** Smoothing gain of one completion in the relative work of an account. */
constexpr double RelativeWorkGain{0.05};

[[nodiscard]] rank_clock &findOrCreateClock(admission_state &state, unsigned rank)
{
    const auto found = std::find_if(state.clocks.begin(), state.clocks.end(), [&](const auto &clock) {
        return clock.rank == rank;
    });
    return found != state.clocks.end() ? *found : state.clocks.emplace_back(rank_clock{rank, 0.0});
}

[[nodiscard]] const work_account *findAccount(const admission_state &state, unsigned rank, std::string_view workspace) noexcept
{
    const auto found = std::find_if(state.accounts.begin(), state.accounts.end(), [&](const auto &account) {
        return account.rank == rank && account.workspace == workspace;
    });
    return found != state.accounts.end() ? &*found : nullptr;
}

[[nodiscard]] unsigned mostImportantRank(const admission_state &state) noexcept
{
    unsigned rank{std::numeric_limits<unsigned>::max()};
    for (const auto &queued : state.queue) {
        rank = std::min(rank, queued.request.rank);
    }
    return rank;
}

[[nodiscard]] unsigned leastImportantRank(const admission_state &state) noexcept
{
    unsigned rank{0};
    for (const auto &queued : state.queue) {
        rank = std::max(rank, queued.request.rank);
    }
    return rank;
}

[[nodiscard]] double virtualTimeOf(const admission_state &state, const admission_request &request) noexcept
{
    const work_account *account{findAccount(state, request.rank, request.workspace)};
    return account != nullptr ? account->virtualTime : 0.0;
}

[[nodiscard]] double virtualTimeWithQueuedWork(const admission_state &state, const admission_request &request) noexcept
{
    const work_account *account{findAccount(state, request.rank, request.workspace)};
    return account != nullptr ? account->virtualTime + account->queuedWork / request.weight : 0.0;
}

/** Position and sort keys of a queued request, for one scan of the queue. */
struct service_order_key
{
    std::size_t position{0};
    double accountTime{0.0};
    unsigned depth{0};
};

[[nodiscard]] bool isServedBefore(const service_order_key &left, const service_order_key &right, bool newestFirst) noexcept
{
    if (left.depth != right.depth) {
        return left.depth > right.depth;
    }
    if (left.accountTime != right.accountTime) {
        return left.accountTime < right.accountTime;
    }
    return newestFirst ? left.position > right.position : left.position < right.position;
}

} // namespace

work_account &findOrCreateAccount(admission_state &state, unsigned rank, std::string_view workspace)
{
    const auto found = std::find_if(state.accounts.begin(), state.accounts.end(), [&](const auto &account) {
        return account.rank == rank && account.workspace == workspace;
    });
    if (found != state.accounts.end()) {
        return *found;
    }
    const double virtualTime{findOrCreateClock(state, rank).virtualTime};
    return state.accounts.emplace_back(work_account{rank, std::string{workspace}, virtualTime, 0.0, 0, 1.0});
}

void enqueue(admission_state &state, const admission_request &request, double work, time_point now)
{
    work_account &account{findOrCreateAccount(state, request.rank, request.workspace)};
    if (account.queued == 0) {
        account.virtualTime = std::max(account.virtualTime, findOrCreateClock(state, request.rank).virtualTime);
    }
    account.queued += 1;
    account.queuedWork += work;
    state.queue.push_back(queued_request{request, now, work});
}

queued_request removeQueued(admission_state &state, std::size_t position)
{
    const auto place = state.queue.begin() + static_cast<std::ptrdiff_t>(position);
    queued_request queued{std::move(*place)};
    state.queue.erase(place);
    work_account &account{findOrCreateAccount(state, queued.request.rank, queued.request.workspace)};
    account.queued -= 1;
    account.queuedWork = account.queued == 0 ? 0.0 : account.queuedWork - queued.work;
    return queued;
}

void chargeStartedWork(admission_state &state, unsigned rank, std::string_view workspace, double weight, double work)
{
    work_account &account{findOrCreateAccount(state, rank, workspace)};
    rank_clock &clock{findOrCreateClock(state, rank)};
    account.virtualTime = std::max(account.virtualTime, account.queued == 0 ? clock.virtualTime : account.virtualTime);
    clock.virtualTime = std::max(clock.virtualTime, account.virtualTime);
    account.virtualTime += work / weight;
}

void correctCharge(admission_state &state, const running_request &request, double work, double averageWork)
{
    work_account &account{findOrCreateAccount(state, request.rank, request.workspace)};
    account.virtualTime += (work - request.chargedWork) / request.weight;
    account.relativeWork += RelativeWorkGain * (work / averageWork - account.relativeWork);
}

std::optional<std::size_t> findNextInServiceOrder(const admission_state &state, bool newestFirst, unsigned minDepth) noexcept
{
    const unsigned rank{mostImportantRank(state)};
    std::optional<service_order_key> best;
    for (std::size_t position{0}; position < state.queue.size(); ++position) {
        const admission_request &request{state.queue[position].request};
        if (request.rank != rank || request.depth < minDepth) {
            continue;
        }
        const service_order_key candidate{position, virtualTimeOf(state, request), request.depth};
        if (!best || isServedBefore(candidate, *best, newestFirst)) {
            best = candidate;
        }
    }
    return best ? std::optional{best->position} : std::nullopt;
}

std::optional<std::size_t> findLastInServiceOrder(const admission_state &state, bool newestFirst) noexcept
{
    const unsigned rank{leastImportantRank(state)};
    std::optional<service_order_key> last;
    for (std::size_t position{0}; position < state.queue.size(); ++position) {
        const admission_request &request{state.queue[position].request};
        if (request.rank != rank) {
            continue;
        }
        const service_order_key candidate{position, virtualTimeWithQueuedWork(state, request), request.depth};
        if (!last || isServedBefore(*last, candidate, newestFirst)) {
            last = candidate;
        }
    }
    return last ? std::optional{last->position} : std::nullopt;
}

void pruneAccounts(admission_state &state)
{
    if (state.accounts.size() <= AccountPruningThreshold) {
        return;
    }
    std::erase_if(state.accounts, [&](const auto &account) {
        return account.queued == 0 && account.virtualTime <= findOrCreateClock(state, account.rank).virtualTime;
    });
}

} // namespace ragwortpin::internal
