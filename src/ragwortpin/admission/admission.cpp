#include "ragwortpin/admission/admission.h"

#include "ragwortpin/admission/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragwortpin {

namespace internal {

namespace {

/** Work assumed before the first completion, in microseconds. */
constexpr double AssumedWork{10000.0};

/** Weight of one completion in the average work of the target. */
constexpr double AverageGain{0.05};

/** Part of the average work that a request must have time for. */
constexpr double NeededFraction{0.5};

/** Part of the limit up to which requests start however little time they seem to have, so that the average is kept current. */
constexpr double ProbingFraction{0.125};

/** Fewest places in the queue. */
constexpr std::size_t ShortestQueue{4};

/** Part of the capacity that is promised up the chain while the queue delay stands. */
constexpr double StandingUtilisation{0.95};

/** Time for which a depth counts after the last arrival from it. */
constexpr duration DepthMemory{milliseconds{1000}};

/** Largest part of the limit that is kept for deeper requests. */
constexpr double MostReserved{0.5};

constexpr duration ShortestRetryAfter{milliseconds{1000}};
constexpr duration LongestRetryAfter{milliseconds{10000}};

[[nodiscard]] double averageWorkOf(const admission_state &state) noexcept
{
    return state.averageWork > 0.0 ? state.averageWork : AssumedWork;
}

[[nodiscard]] double workOf(admission_state &state, const admission_request &request)
{
    if (request.expectedWork > duration{0}) {
        return static_cast<double>(request.expectedWork.count());
    }
    const work_account &account{accountOf(state, request.rank, request.workspace)};
    return account.relativeWork * averageWorkOf(state);
}

[[nodiscard]] time_point latestStart(const admission_state &state, const admission_request &request) noexcept
{
    const double work{request.expectedWork > duration{0} ? static_cast<double>(request.expectedWork.count()) : averageWorkOf(state)};
    return request.deadline - duration{static_cast<duration::rep>(NeededFraction * work)};
}

[[nodiscard]] bool isTooLate(const admission_state &state, const admission_request &request, time_point now) noexcept
{
    if (now >= request.deadline) {
        return true;
    }
    const bool probing{static_cast<double>(state.running.size()) < ProbingFraction * currentLimit(state.limit)};
    return !probing && now > latestStart(state, request);
}

[[nodiscard]] std::size_t queueCapacity(const admission_state &state) noexcept
{
    const double limit{static_cast<double>(currentLimit(state.limit))};
    const double turnovers{static_cast<double>(state.options.longestDelay.count()) / averageWorkOf(state)};
    return std::max(ShortestQueue, static_cast<std::size_t>(limit * std::min(state.options.queueFactor, turnovers)));
}

void noteDepth(admission_state &state, unsigned depth, time_point now)
{
    std::erase_if(state.depths, [&](const auto &seen) {
        return seen.depth == depth || now - seen.seenAt > DepthMemory;
    });
    state.depths.push_back(seen_depth{depth, now});
}

/** Returns the slots that requests of a depth leave to deeper ones, which others may hold slots for. */
[[nodiscard]] std::size_t reserveFrom(const admission_state &state, unsigned depth, time_point now) noexcept
{
    const auto deeper = std::count_if(state.depths.begin(), state.depths.end(), [&](const auto &seen) {
        return seen.depth > depth && now - seen.seenAt <= DepthMemory;
    });
    const double limit{static_cast<double>(currentLimit(state.limit))};
    const double kept{std::ceil(state.options.deepReserve * limit) * static_cast<double>(deeper)};
    return static_cast<std::size_t>(std::min(kept, std::floor(MostReserved * limit)));
}

/** Returns the least depth that may have a slot now; nothing when all slots are taken. */
[[nodiscard]] std::optional<unsigned> leastDepthToStart(const admission_state &state, time_point now) noexcept
{
    const std::size_t limit{currentLimit(state.limit)};
    std::optional<unsigned> least;
    for (const auto &queued : state.queue) {
        const unsigned depth{queued.request.depth};
        const bool fits{state.running.size() + reserveFrom(state, depth, now) < limit};
        if (fits && (!least || depth < *least)) {
            least = depth;
        }
    }
    return least;
}

[[nodiscard]] bool isStanding(const admission_state &state, time_point now) noexcept
{
    return state.delayedSince && now - *state.delayedSince >= state.options.standingInterval;
}

void start(admission_state &state, const admission_request &request, double work, time_point now)
{
    chargeStarted(state, request.rank, request.workspace, request.weight, work);
    state.running.emplace(request.id, running_request{request.rank, request.workspace, request.weight, now, work});
    state.counters.started += 1;
}

void noteDelay(admission_state &state, duration delay, time_point now) noexcept
{
    if (delay < state.options.standingDelay) {
        state.delayedSince.reset();
    } else if (!state.delayedSince) {
        state.delayedSince = now;
    }
}

/** Finds the queued request that may have a free slot. A less important one never passes by a more important one. */
[[nodiscard]] std::optional<std::size_t> nextStart(const admission_state &state, time_point now) noexcept
{
    if (state.queue.empty() || state.running.size() >= currentLimit(state.limit)) {
        return std::nullopt;
    }
    const auto leastDepth = leastDepthToStart(state, now);
    if (!leastDepth) {
        return std::nullopt;
    }
    const bool standing{isStanding(state, now)};
    const auto fitting = nextInTurn(state, standing, *leastDepth);
    return fitting ? fitting : nextInTurn(state, standing, 0);
}

void startQueued(admission_state &state, admission_changes &changes, time_point now)
{
    for (auto position = nextStart(state, now); position; position = nextStart(state, now)) {
        const queued_request queued{popQueued(state, *position)};
        noteDelay(state, now - queued.queuedAt, now);
        start(state, queued.request, queued.work, now);
        changes.started.push_back(queued.request.id);
    }
    if (state.queue.empty()) {
        state.delayedSince.reset();
    }
}

void dropLate(admission_state &state, admission_changes &changes, time_point now)
{
    for (std::size_t position{state.queue.size()}; position > 0; --position) {
        if (isTooLate(state, state.queue[position - 1].request, now)) {
            changes.expired.push_back(popQueued(state, position - 1).request.id);
            state.counters.expired += 1;
        }
    }
}

[[nodiscard]] admission_changes advance(admission_state &state, time_point now)
{
    admission_changes changes;
    dropLate(state, changes, now);
    startQueued(state, changes, now);
    return changes;
}

[[nodiscard]] double promisedCapacity(const admission_state &state, time_point now) noexcept
{
    const double utilisation{isStanding(state, now) ? StandingUtilisation : state.options.targetUtilisation};
    return utilisation * currentLimit(state.limit);
}

void displaceSurplus(admission_state &state, std::vector<request_id> &displaced, time_point now)
{
    while (state.queue.size() > queueCapacity(state)) {
        const auto last = lastInTurn(state, isStanding(state, now));
        displaced.push_back(popQueued(state, *last).request.id);
    }
}

[[nodiscard]] admission_decision refuse(admission_state &state, refusal_kind refusal)
{
    auto &counter = refusal == refusal_kind::Overloaded ? state.counters.refusedOverloaded : state.counters.refusedDeadline;
    counter += 1;
    return admission_decision{admission_verdict::Refused, refusal, {}, {}};
}

/** Removes the id from the list; true if it was there. */
[[nodiscard]] bool takeOut(std::vector<request_id> &ids, request_id id)
{
    return std::erase(ids, id) > 0;
}

[[nodiscard]] admission_decision queueOrStart(admission_state &state, const admission_request &request, double work, time_point now)
{
    admission_decision decision;
    pushQueued(state, request, work, now);
    decision.changes = advance(state, now);
    if (takeOut(decision.changes.started, request.id)) {
        decision.verdict = admission_verdict::Started;
        return decision;
    }
    displaceSurplus(state, decision.displaced, now);
    if (takeOut(decision.displaced, request.id)) {
        state.counters.refusedOverloaded += 1;
        decision.verdict = admission_verdict::Refused;
    } else {
        decision.verdict = admission_verdict::Queued;
    }
    state.counters.displaced += decision.displaced.size();
    return decision;
}

void recordCompletion(admission_state &state, const running_request &request, const completion &finished, time_point now)
{
    const double slotTime{static_cast<double>((now - request.startedAt).count())};
    correctCharge(state, request, slotTime, averageWorkOf(state));
    state.averageWork = state.averageWork <= 0.0 ? slotTime : state.averageWork + AverageGain * (slotTime - state.averageWork);
    if (finished.timedOut) {
        return;
    }
    const duration ownTime{std::max(duration{0}, now - request.startedAt - finished.downstreamTime)};
    const auto running = static_cast<std::uint32_t>(state.running.size());
    observeServiceTime(state.limit, ownTime, running, finished.rejected, now);
}

} // namespace

} // namespace internal

admission_state makeAdmission(const admission_options &options, std::uint32_t slots, std::uint32_t connections, bool cold, time_point now)
{
    admission_state state;
    state.options = options;
    state.limit.options = options.limit;
    state.limit.windowStart = now;
    state.demand.intervalStart = now;
    setBound(state.limit, slots, connections);
    if (cold) {
        startCold(state.limit, now);
    } else {
        state.limit.limit = state.limit.bound;
        state.limit.slowStart = false;
    }
    return state;
}

admission_changes setCapacity(admission_state &state, std::uint32_t slots, std::uint32_t connections, time_point now)
{
    setBound(state.limit, slots, connections);
    return internal::advance(state, now);
}

admission_decision offer(admission_state &state, const admission_request &request, time_point now)
{
    const double work{internal::workOf(state, request)};
    observeDemand(state.demand, request.workspace, request.rank, request.weight, work / 1e6, request.admitProbability);
    updateDemand(state.demand, internal::promisedCapacity(state, now), now);
    internal::noteDepth(state, request.depth, now);
    if (state.limit.bound == 0 && state.queue.empty()) {
        return internal::refuse(state, refusal_kind::Overloaded);
    }
    if (internal::isTooLate(state, request, now)) {
        return internal::refuse(state, refusal_kind::DeadlineExceeded);
    }
    const std::size_t reserve{internal::reserveFrom(state, request.depth, now)};
    if (state.queue.empty() && state.running.size() + reserve < currentLimit(state.limit)) {
        internal::start(state, request, work, now);
        return admission_decision{admission_verdict::Started, refusal_kind::Overloaded, {}, {}};
    }
    return internal::queueOrStart(state, request, work, now);
}

admission_changes complete(admission_state &state, const completion &finished, time_point now)
{
    const auto found = state.running.find(finished.id);
    if (found == state.running.end()) {
        return {};
    }
    internal::recordCompletion(state, found->second, finished, now);
    state.running.erase(found);
    state.counters.completed += 1;
    internal::pruneAccounts(state);
    return internal::advance(state, now);
}

admission_changes cancel(admission_state &state, request_id id, time_point now)
{
    const auto found = state.running.find(id);
    if (found != state.running.end()) {
        internal::correctCharge(
            state, found->second, static_cast<double>((now - found->second.startedAt).count()), internal::averageWorkOf(state));
        state.running.erase(found);
        state.counters.cancelled += 1;
        return internal::advance(state, now);
    }
    const auto queued = std::find_if(state.queue.begin(), state.queue.end(), [&](const auto &entry) {
        return entry.request.id == id;
    });
    if (queued != state.queue.end()) {
        static_cast<void>(internal::popQueued(state, static_cast<std::size_t>(queued - state.queue.begin())));
        state.counters.cancelled += 1;
    }
    return internal::advance(state, now);
}

admission_changes expire(admission_state &state, time_point now)
{
    return internal::advance(state, now);
}

std::optional<time_point> nextExpiry(const admission_state &state) noexcept
{
    std::optional<time_point> next;
    for (const auto &queued : state.queue) {
        const time_point latest{internal::latestStart(state, queued.request)};
        next = next ? std::min(*next, latest) : latest;
    }
    return next;
}

shed_level shedLevel(admission_state &state, std::string_view workspace, time_point now)
{
    updateDemand(state.demand, internal::promisedCapacity(state, now), now);
    return levelOf(state.demand, workspace);
}

double utilisation(const admission_state &state) noexcept
{
    const std::uint32_t limit{currentLimit(state.limit)};
    const std::size_t requests{state.running.size() + state.queue.size()};
    return limit == 0 ? 1.0 : static_cast<double>(requests) / limit;
}

duration retryAfter(const admission_state &state) noexcept
{
    const duration drain{static_cast<duration::rep>(internal::averageWorkOf(state) * utilisation(state))};
    return std::clamp(drain, internal::ShortestRetryAfter, internal::LongestRetryAfter);
}

} // namespace ragwortpin
