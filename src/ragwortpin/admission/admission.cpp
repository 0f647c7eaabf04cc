#include "ragwortpin/admission/admission.h"

#include "ragwortpin/admission/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragwortpin {

namespace internal {

namespace {

/** Estimated work of a request before the first completion, in microseconds. */
constexpr double InitialWorkEstimate{10000.0};

/** Smoothing gain of one completion in the target's average work. */
constexpr double AverageWorkGain{0.05};

/** Fraction of its estimated work for which a request must have time left before its deadline. */
constexpr double RequiredWorkFraction{0.5};

/**
 * Fraction of the limit below which requests are admitted even if the time left before their deadline seems too short, so that
 * completions keep the average work current.
 */
constexpr double ProbingFraction{0.125};

/** Minimum queue capacity in requests. */
constexpr std::size_t MinQueueCapacity{4};

/** Fraction of the limit that is advertised to upstream nodes while there is a standing queue. */
constexpr double StandingQueueUtilisation{0.95};

/** Time after the last arrival from a depth during which slots are reserved for it. */
constexpr duration DepthRetention{milliseconds{1000}};

/** Maximum fraction of the limit that is reserved for deeper requests. */
constexpr double MaxReservedFraction{0.5};

constexpr duration MinRetryAfter{milliseconds{1000}};
constexpr duration MaxRetryAfter{milliseconds{10000}};

[[nodiscard]] double averageWorkOf(const admission_state &state) noexcept
{
    return state.averageWork > 0.0 ? state.averageWork : InitialWorkEstimate;
}

[[nodiscard]] double estimateWork(admission_state &state, const admission_request &request)
{
    if (request.expectedWork > duration{0}) {
        return static_cast<double>(request.expectedWork.count());
    }
    const work_account &account{findOrCreateAccount(state, request.rank, request.workspace)};
    return account.relativeWork * averageWorkOf(state);
}

[[nodiscard]] time_point latestStart(const admission_state &state, const admission_request &request) noexcept
{
    const double work{request.expectedWork > duration{0} ? static_cast<double>(request.expectedWork.count()) : averageWorkOf(state)};
    return request.deadline - duration{static_cast<duration::rep>(RequiredWorkFraction * work)};
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
    const double turnovers{static_cast<double>(state.options.maxQueueDrainTime.count()) / averageWorkOf(state)};
    return std::max(MinQueueCapacity, static_cast<std::size_t>(limit * std::min(state.options.queueFactor, turnovers)));
}

void recordDepth(admission_state &state, unsigned depth, time_point now)
{
    std::erase_if(state.recentDepths, [&](const auto &observed) {
        return observed.depth == depth || now - observed.lastSeenAt > DepthRetention;
    });
    state.recentDepths.push_back(observed_depth{depth, now});
}

/** Returns the number of slots that requests of the given depth must leave free for deeper requests. */
[[nodiscard]] std::size_t slotsReservedForDeeper(const admission_state &state, unsigned depth, time_point now) noexcept
{
    const auto deeper = std::count_if(state.recentDepths.begin(), state.recentDepths.end(), [&](const auto &observed) {
        return observed.depth > depth && now - observed.lastSeenAt <= DepthRetention;
    });
    const double limit{static_cast<double>(currentLimit(state.limit))};
    const double reserved{std::ceil(state.options.deeperReserveFraction * limit) * static_cast<double>(deeper)};
    return static_cast<std::size_t>(std::min(reserved, std::floor(MaxReservedFraction * limit)));
}

/** Returns the smallest depth in the queue from which a request may start now, or nothing if none may. */
[[nodiscard]] std::optional<unsigned> minDepthToStart(const admission_state &state, time_point now) noexcept
{
    const std::size_t limit{currentLimit(state.limit)};
    std::optional<unsigned> least;
    for (const auto &queued : state.queue) {
        const unsigned depth{queued.request.depth};
        const bool fits{state.running.size() + slotsReservedForDeeper(state, depth, now) < limit};
        if (fits && (!least || depth < *least)) {
            least = depth;
        }
    }
    return least;
}

[[nodiscard]] bool hasStandingQueue(const admission_state &state, time_point now) noexcept
{
    return state.delayedSince && now - *state.delayedSince >= state.options.standingInterval;
}

void startRequest(admission_state &state, const admission_request &request, double work, time_point now)
{
    chargeStartedWork(state, request.rank, request.workspace, request.weight, work);
    state.running.emplace(request.id, running_request{request.rank, request.workspace, request.weight, now, work});
    state.counters.started += 1;
}

void recordQueueDelay(admission_state &state, duration delay, time_point now) noexcept
{
    if (delay < state.options.standingDelay) {
        state.delayedSince.reset();
    } else if (!state.delayedSince) {
        state.delayedSince = now;
    }
}

/** Returns the position of the queued request that starts next. A less important request never overtakes a more important one. */
[[nodiscard]] std::optional<std::size_t> findNextToStart(const admission_state &state, time_point now) noexcept
{
    if (state.queue.empty() || state.running.size() >= currentLimit(state.limit)) {
        return std::nullopt;
    }
    const auto minDepth = minDepthToStart(state, now);
    if (!minDepth) {
        return std::nullopt;
    }
    const bool newestFirst{hasStandingQueue(state, now)};
    const auto fitting = findNextInServiceOrder(state, newestFirst, *minDepth);
    return fitting ? fitting : findNextInServiceOrder(state, newestFirst, 0);
}

void startQueued(admission_state &state, admission_changes &changes, time_point now)
{
    for (auto position = findNextToStart(state, now); position; position = findNextToStart(state, now)) {
        const queued_request queued{removeQueued(state, *position)};
        recordQueueDelay(state, now - queued.queuedAt, now);
        startRequest(state, queued.request, queued.work, now);
        changes.started.push_back(queued.request.id);
    }
    if (state.queue.empty()) {
        state.delayedSince.reset();
    }
}

void removeExpired(admission_state &state, admission_changes &changes, time_point now)
{
    for (std::size_t position{state.queue.size()}; position > 0; --position) {
        if (isTooLate(state, state.queue[position - 1].request, now)) {
            changes.expired.push_back(removeQueued(state, position - 1).request.id);
            state.counters.expired += 1;
        }
    }
}

[[nodiscard]] admission_changes processQueue(admission_state &state, time_point now)
{
    admission_changes changes;
    removeExpired(state, changes, now);
    startQueued(state, changes, now);
    return changes;
}

[[nodiscard]] double advertisedCapacity(const admission_state &state, time_point now) noexcept
{
    const double utilisation{hasStandingQueue(state, now) ? StandingQueueUtilisation : state.options.advertisedUtilisation};
    return utilisation * currentLimit(state.limit);
}

void displaceExcess(admission_state &state, std::vector<request_id> &displaced, time_point now)
{
    while (state.queue.size() > queueCapacity(state)) {
        const auto last = findLastInServiceOrder(state, hasStandingQueue(state, now));
        displaced.push_back(removeQueued(state, *last).request.id);
    }
}

[[nodiscard]] admission_decision refuse(admission_state &state, refusal_kind refusal)
{
    auto &counter = refusal == refusal_kind::Overloaded ? state.counters.refusedOverloaded : state.counters.refusedDeadline;
    counter += 1;
    return admission_decision{admission_verdict::Refused, refusal, {}, {}};
}

/** Removes the id from the list. Returns whether the list contained it. */
[[nodiscard]] bool removeId(std::vector<request_id> &ids, request_id id)
{
    return std::erase(ids, id) > 0;
}

[[nodiscard]] admission_decision queueOrStart(admission_state &state, const admission_request &request, double work, time_point now)
{
    admission_decision decision;
    enqueue(state, request, work, now);
    decision.changes = processQueue(state, now);
    if (removeId(decision.changes.started, request.id)) {
        decision.verdict = admission_verdict::Started;
        return decision;
    }
    displaceExcess(state, decision.displaced, now);
    if (removeId(decision.displaced, request.id)) {
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
    state.averageWork = state.averageWork <= 0.0 ? slotTime : state.averageWork + AverageWorkGain * (slotTime - state.averageWork);
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
        beginSlowStart(state.limit, now);
    } else {
        state.limit.limit = state.limit.bound;
        state.limit.slowStart = false;
    }
    return state;
}

admission_changes setCapacity(admission_state &state, std::uint32_t slots, std::uint32_t connections, time_point now)
{
    setBound(state.limit, slots, connections);
    return internal::processQueue(state, now);
}

admission_decision offer(admission_state &state, const admission_request &request, time_point now)
{
    const double work{internal::estimateWork(state, request)};
    observeDemand(state.demand, request.workspace, request.rank, request.weight, work / 1e6, request.admitProbability);
    updateDemand(state.demand, internal::advertisedCapacity(state, now), now);
    internal::recordDepth(state, request.depth, now);
    if (state.limit.bound == 0 && state.queue.empty()) {
        return internal::refuse(state, refusal_kind::Overloaded);
    }
    if (internal::isTooLate(state, request, now)) {
        return internal::refuse(state, refusal_kind::DeadlineExceeded);
    }
    const std::size_t reserve{internal::slotsReservedForDeeper(state, request.depth, now)};
    if (state.queue.empty() && state.running.size() + reserve < currentLimit(state.limit)) {
        internal::startRequest(state, request, work, now);
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
    return internal::processQueue(state, now);
}

admission_changes cancel(admission_state &state, request_id id, time_point now)
{
    const auto found = state.running.find(id);
    if (found != state.running.end()) {
        internal::correctCharge(
            state, found->second, static_cast<double>((now - found->second.startedAt).count()), internal::averageWorkOf(state));
        state.running.erase(found);
        state.counters.cancelled += 1;
        return internal::processQueue(state, now);
    }
    const auto queued = std::find_if(state.queue.begin(), state.queue.end(), [&](const auto &entry) {
        return entry.request.id == id;
    });
    if (queued != state.queue.end()) {
        static_cast<void>(internal::removeQueued(state, static_cast<std::size_t>(queued - state.queue.begin())));
        state.counters.cancelled += 1;
    }
    return internal::processQueue(state, now);
}

admission_changes expire(admission_state &state, time_point now)
{
    return internal::processQueue(state, now);
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
    updateDemand(state.demand, internal::advertisedCapacity(state, now), now);
    return findShedLevel(state.demand, workspace);
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
    return std::clamp(drain, internal::MinRetryAfter, internal::MaxRetryAfter);
}

} // namespace ragwortpin
