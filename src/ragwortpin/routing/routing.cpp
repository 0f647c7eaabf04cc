#include "ragwortpin/routing/routing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace ragwortpin {

namespace internal {

namespace {

/** Smoothing gain of one attempt in latencies and ratios. */
constexpr double AttemptGain{0.1};

/** Fraction of its slots that an instance counts with at the beginning of its slow start. */
constexpr double InitialSlotFraction{0.1};

/** Time over which the weight of overload refusals decays to zero after the last one. */
constexpr duration RefusalDecayTime{milliseconds{1000}};

/** Number of random draws for one candidate before the instances are searched in order. */
constexpr int CandidateDraws{4};

/** Minimum number of requests in flight for an instance to count as stalled. */
constexpr std::uint32_t StallInFlight{2};

[[nodiscard]] double smooth(double current, double sample) noexcept
{
    return current + AttemptGain * (sample - current);
}

[[nodiscard]] double remainingWeight(duration age, duration lifetime) noexcept
{
    return std::clamp(1.0 - toSeconds(age) / toSeconds(lifetime), 0.0, 1.0);
}

[[nodiscard]] double slowStartFraction(const routing_options &options, const routed_instance &instance, time_point now) noexcept
{
    const double part{toSeconds(now - instance.slowStartBegan) / toSeconds(options.slowStartDuration)};
    return std::clamp(part, InitialSlotFraction, 1.0);
}

[[nodiscard]] bool isStalled(const routing_state &state, const routed_instance &instance, time_point now) noexcept
{
    if (instance.inFlight < StallInFlight) {
        return false;
    }
    const duration expected{static_cast<duration::rep>(state.options.stallLatencyFactor * state.typicalLatency)};
    return now - instance.lastProgressAt > std::max(state.options.minStallTime, expected);
}

[[nodiscard]] bool isTried(std::span<const std::size_t> tried, std::size_t index) noexcept
{
    return std::find(tried.begin(), tried.end(), index) != tried.end();
}

/** Which instances a search for a candidate considers. */
enum class instance_filter : unsigned char {
    Healthy,
    Any,
};

[[nodiscard]] bool isEligible(
    const routing_state &state, std::size_t index, instance_filter filter, std::span<const std::size_t> tried, time_point now) noexcept
{
    const routed_instance &instance{state.instances[index]};
    if (isTried(tried, index) || now < instance.notServingUntil) {
        return false;
    }
    return filter == instance_filter::Any || (!isEjected(instance, now) && !isStalled(state, instance, now));
}

/** Inputs for choosing one instance. */
struct choice_context
{
    const routing_state &state;
    std::span<const std::size_t> tried;
    time_point now;
    std::mt19937_64 &random;
};

[[nodiscard]] std::optional<std::size_t>
drawCandidate(const choice_context &context, const std::vector<std::size_t> &pool, instance_filter filter)
{
    if (pool.empty()) {
        return std::nullopt;
    }
    std::size_t place{0};
    for (int draw{0}; draw < CandidateDraws; ++draw) {
        place = context.random() % pool.size();
        if (isEligible(context.state, pool[place], filter, context.tried, context.now)) {
            return pool[place];
        }
    }
    for (std::size_t step{1}; step <= pool.size(); ++step) {
        const std::size_t index{pool[(place + step) % pool.size()]};
        if (isEligible(context.state, index, filter, context.tried, context.now)) {
            return index;
        }
    }
    return std::nullopt;
}

[[nodiscard]] double loadOf(const choice_context &context, std::size_t index) noexcept
{
    return estimatedLoad(context.state, context.state.instances[index], context.now);
}

[[nodiscard]] std::optional<std::size_t>
betterOfTwo(const choice_context &context, const std::vector<std::size_t> &pool, instance_filter filter)
{
    const auto first = drawCandidate(context, pool, filter);
    if (!first) {
        return std::nullopt;
    }
    const auto second = drawCandidate(context, pool, filter);
    return loadOf(context, *second) < loadOf(context, *first) ? second : first;
}

[[nodiscard]] std::optional<std::size_t> chooseAmong(const choice_context &context, instance_filter filter)
{
    const auto local = betterOfTwo(context, context.state.local, filter);
    if (!local) {
        return betterOfTwo(context, context.state.remote, filter);
    }
    const double localLoad{loadOf(context, *local)};
    if (localLoad <= context.state.options.spillLoadThreshold) {
        return local;
    }
    const auto remote = betterOfTwo(context, context.state.remote, filter);
    const bool spills{remote && loadOf(context, *remote) + context.state.options.spillMargin < localLoad};
    return spills ? remote : local;
}

[[nodiscard]] std::size_t countEjected(const routing_state &state, time_point now) noexcept
{
    const auto ejected = std::count_if(state.instances.begin(), state.instances.end(), [&](const auto &instance) {
        return isEjected(instance, now);
    });
    return static_cast<std::size_t>(ejected);
}

[[nodiscard]] std::size_t maxEjectedCount(const routing_state &state) noexcept
{
    const std::size_t size{state.instances.size()};
    const auto part = static_cast<std::size_t>(state.options.maxEjectedFraction * static_cast<double>(size));
    return std::min(part, size == 0 ? 0 : size - 1);
}

void eject(routing_state &state, routed_instance &instance, time_point now) noexcept
{
    state.ejected = countEjected(state, now);
    if (isEjected(instance, now) || state.ejected >= maxEjectedCount(state)) {
        return;
    }
    instance.consecutiveEjections += 1;
    const duration ejectionTime{std::min(state.options.maxEjectionTime, state.options.baseEjectionTime * instance.consecutiveEjections)};
    instance.ejectedUntil = now + ejectionTime;
    instance.slowStartBegan = instance.ejectedUntil;
    instance.failureRatio = 0.0;
    instance.failuresInRow = 0;
    instance.latency = 0.0;
    state.ejected += 1;
}

void recordAnswer(routing_state &state, routed_instance &instance, duration latency, time_point now) noexcept
{
    const double sample{static_cast<double>(latency.count())};
    instance.latency = instance.latency <= 0.0 ? sample : smooth(instance.latency, sample);
    state.typicalLatency = state.typicalLatency <= 0.0 ? sample : smooth(state.typicalLatency, sample);
    instance.failureRatio = smooth(instance.failureRatio, 0.0);
    instance.refusalRatio = smooth(instance.refusalRatio, 0.0);
    instance.failuresInRow = 0;
    if (instance.failureRatio < AttemptGain) {
        instance.consecutiveEjections = 0;
    }
    if (instance.latency > state.options.maxLatencyRatio * state.typicalLatency) {
        eject(state, instance, now);
    }
}

void recordFailure(routing_state &state, routed_instance &instance, time_point now) noexcept
{
    instance.failureRatio = smooth(instance.failureRatio, 1.0);
    instance.failuresInRow += 1;
    const bool tooManyInRow{instance.failuresInRow >= state.options.consecutiveFailures};
    if (tooManyInRow || instance.failureRatio > state.options.maxFailureRatio) {
        eject(state, instance, now);
    }
}

[[nodiscard]] routed_instance makeInstance(instance_summary summary, time_point now)
{
    routed_instance instance;
    instance.summary = std::move(summary);
    instance.slowStartBegan = now;
    instance.lastProgressAt = now;
    return instance;
}

void indexPools(routing_state &state)
{
    state.local.clear();
    state.remote.clear();
    for (std::size_t index{0}; index < state.instances.size(); ++index) {
        const instance_summary &summary{state.instances[index].summary};
        if (!summary.draining) {
            (summary.ownAvailabilityZone ? state.local : state.remote).push_back(index);
        }
    }
}

} // namespace

} // namespace internal

void updateInstances(routing_state &state, std::vector<instance_summary> instances, time_point now)
{
    std::sort(instances.begin(), instances.end(), [](const auto &left, const auto &right) {
        return left.name < right.name;
    });
    std::vector<routed_instance> routed;
    routed.reserve(instances.size());
    for (auto &summary : instances) {
        const auto known = findInstance(state, summary.name);
        if (known) {
            routed.push_back(std::move(state.instances[*known]));
            state.instances[*known].summary.name = summary.name;
            if (routed.back().summary != summary) {
                routed.back().notServingUntil = {};
            }
            routed.back().summary = std::move(summary);
        } else {
            routed.push_back(internal::makeInstance(std::move(summary), now));
        }
    }
    state.instances = std::move(routed);
    internal::indexPools(state);
}

std::optional<std::size_t>
chooseInstance(const routing_state &state, std::span<const std::size_t> tried, time_point now, std::mt19937_64 &random)
{
    const internal::choice_context context{state, tried, now, random};
    const auto healthy = internal::chooseAmong(context, internal::instance_filter::Healthy);
    return healthy ? healthy : internal::chooseAmong(context, internal::instance_filter::Any);
}

std::optional<std::size_t> findInstance(const routing_state &state, std::string_view name) noexcept
{
    const auto found
        = std::lower_bound(state.instances.begin(), state.instances.end(), name, [](const auto &instance, std::string_view key) {
              return instance.summary.name < key;
          });
    if (found == state.instances.end() || found->summary.name != name) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - state.instances.begin());
}

void beginAttempt(routing_state &state, std::size_t index, time_point now) noexcept
{
    routed_instance &instance{state.instances[index]};
    if (instance.inFlight == 0) {
        instance.lastProgressAt = now;
    }
    instance.inFlight += 1;
}

void observeAttempt(routing_state &state, std::size_t index, const attempt_result &result, time_point now) noexcept
{
    routed_instance &instance{state.instances[index]};
    instance.inFlight -= instance.inFlight > 0 ? 1 : 0;
    if (result.kind != attempt_kind::TimedOut && result.kind != attempt_kind::Cancelled) {
        instance.lastProgressAt = now;
    }
    if (result.report) {
        observeReport(state, index, *result.report, duration{0}, now);
    }
    switch (result.kind) {
    case attempt_kind::Answered:
        internal::recordAnswer(state, instance, result.latency, now);
        break;
    case attempt_kind::Overloaded:
        instance.refusalRatio = internal::smooth(instance.refusalRatio, 1.0);
        instance.lastRefusalAt = now;
        break;
    case attempt_kind::Failed:
    case attempt_kind::TimedOut:
        internal::recordFailure(state, instance, now);
        break;
    case attempt_kind::NotServing:
        instance.notServingUntil = now + state.options.notServingTime;
        break;
    case attempt_kind::Cancelled:
        break;
    }
}

void observeReport(routing_state &state, std::size_t index, const load_report &report, duration age, time_point now) noexcept
{
    routed_instance &instance{state.instances[index]};
    instance.report = report;
    instance.reportedAt = now - age;
}

bool isEjected(const routed_instance &instance, time_point now) noexcept
{
    return now < instance.ejectedUntil;
}

double estimatedLoad(const routing_state &state, const routed_instance &instance, time_point now) noexcept
{
    const double slots{std::max(1.0, instance.summary.slots * internal::slowStartFraction(state.options, instance, now))};
    const double own{(instance.inFlight + 1.0) / slots};
    const double reported{
        instance.report ? instance.report->load * internal::remainingWeight(now - instance.reportedAt, state.options.reportLifetime) : 0.0};
    const double refused{instance.refusalRatio > 0.0 ? (1.0 + instance.refusalRatio)
                                 * internal::remainingWeight(now - instance.lastRefusalAt, internal::RefusalDecayTime)
                                                     : 0.0};
    const bool slow{state.typicalLatency > 0.0 && instance.latency > state.typicalLatency};
    const double slowness{slow ? instance.latency / state.typicalLatency : 1.0};
    return (own + std::max(reported, refused)) * slowness;
}

} // namespace ragwortpin
