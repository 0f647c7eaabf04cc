#include "ragwortpin/admission/fair_queue.h"

#include <algorithm>
#include <limits>

namespace ragwortpin::internal {

namespace {

/** Accounts that are kept before idle ones are forgotten. */
constexpr std::size_t AccountsKept{256};

/** Weight of one completion in the relative work of an account. */
constexpr double RelativeGain{0.05};

[[nodiscard]] rank_clock &clockOf(admission_state &state, unsigned rank)
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

[[nodiscard]] unsigned bestRank(const admission_state &state) noexcept
{
    unsigned rank{std::numeric_limits<unsigned>::max()};
    for (const auto &queued : state.queue) {
        rank = std::min(rank, queued.request.rank);
    }
    return rank;
}

[[nodiscard]] unsigned worstRank(const admission_state &state) noexcept
{
    unsigned rank{0};
    for (const auto &queued : state.queue) {
        rank = std::max(rank, queued.request.rank);
    }
    return rank;
}

[[nodiscard]] double hadWork(const admission_state &state, const admission_request &request) noexcept
{
    const work_account *account{findAccount(state, request.rank, request.workspace)};
    return account != nullptr ? account->virtualTime : 0.0;
}

[[nodiscard]] double hadAndWaitingWork(const admission_state &state, const admission_request &request) noexcept
{
    const work_account *account{findAccount(state, request.rank, request.workspace)};
    return account != nullptr ? account->virtualTime + account->queuedWork / request.weight : 0.0;
}

/** A queued request with the keys that decide on its turn, for one scan of the queue. */
struct turn
{
    std::size_t position{0};
    double work{0.0};
    unsigned depth{0};
};

[[nodiscard]] bool isBefore(const turn &left, const turn &right, bool newestFirst) noexcept
{
    if (left.depth != right.depth) {
        return left.depth > right.depth;
    }
    if (left.work != right.work) {
        return left.work < right.work;
    }
    return newestFirst ? left.position > right.position : left.position < right.position;
}

} // namespace

work_account &accountOf(admission_state &state, unsigned rank, std::string_view workspace)
{
    const auto found = std::find_if(state.accounts.begin(), state.accounts.end(), [&](const auto &account) {
        return account.rank == rank && account.workspace == workspace;
    });
    if (found != state.accounts.end()) {
        return *found;
    }
    const double virtualTime{clockOf(state, rank).virtualTime};
    return state.accounts.emplace_back(work_account{rank, std::string{workspace}, virtualTime, 0.0, 0, 1.0});
}

void pushQueued(admission_state &state, const admission_request &request, double work, time_point now)
{
    work_account &account{accountOf(state, request.rank, request.workspace)};
    if (account.queued == 0) {
        account.virtualTime = std::max(account.virtualTime, clockOf(state, request.rank).virtualTime);
    }
    account.queued += 1;
    account.queuedWork += work;
    state.queue.push_back(queued_request{request, now, work});
}

queued_request popQueued(admission_state &state, std::size_t position)
{
    const auto place = state.queue.begin() + static_cast<std::ptrdiff_t>(position);
    queued_request queued{std::move(*place)};
    state.queue.erase(place);
    work_account &account{accountOf(state, queued.request.rank, queued.request.workspace)};
    account.queued -= 1;
    account.queuedWork = account.queued == 0 ? 0.0 : account.queuedWork - queued.work;
    return queued;
}

void chargeStarted(admission_state &state, unsigned rank, std::string_view workspace, double weight, double work)
{
    work_account &account{accountOf(state, rank, workspace)};
    rank_clock &clock{clockOf(state, rank)};
    account.virtualTime = std::max(account.virtualTime, account.queued == 0 ? clock.virtualTime : account.virtualTime);
    clock.virtualTime = std::max(clock.virtualTime, account.virtualTime);
    account.virtualTime += work / weight;
}

void correctCharge(admission_state &state, const running_request &request, double work, double averageWork)
{
    work_account &account{accountOf(state, request.rank, request.workspace)};
    account.virtualTime += (work - request.charged) / request.weight;
    account.relativeWork += RelativeGain * (work / averageWork - account.relativeWork);
}

std::optional<std::size_t> nextInTurn(const admission_state &state, bool newestFirst, unsigned leastDepth) noexcept
{
    const unsigned rank{bestRank(state)};
    std::optional<turn> best;
    for (std::size_t position{0}; position < state.queue.size(); ++position) {
        const admission_request &request{state.queue[position].request};
        if (request.rank != rank || request.depth < leastDepth) {
            continue;
        }
        const turn candidate{position, hadWork(state, request), request.depth};
        if (!best || isBefore(candidate, *best, newestFirst)) {
            best = candidate;
        }
    }
    return best ? std::optional{best->position} : std::nullopt;
}

std::optional<std::size_t> lastInTurn(const admission_state &state, bool newestFirst) noexcept
{
    const unsigned rank{worstRank(state)};
    std::optional<turn> last;
    for (std::size_t position{0}; position < state.queue.size(); ++position) {
        const admission_request &request{state.queue[position].request};
        if (request.rank != rank) {
            continue;
        }
        const turn candidate{position, hadAndWaitingWork(state, request), request.depth};
        if (!last || isBefore(*last, candidate, newestFirst)) {
            last = candidate;
        }
    }
    return last ? std::optional{last->position} : std::nullopt;
}

void pruneAccounts(admission_state &state)
{
    if (state.accounts.size() <= AccountsKept) {
        return;
    }
    std::erase_if(state.accounts, [&](const auto &account) {
        return account.queued == 0 && account.virtualTime <= clockOf(state, account.rank).virtualTime;
    });
}

} // namespace ragwortpin::internal
