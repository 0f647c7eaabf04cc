#ifndef RAGWORTPIN_ROUTING_ROUTING_H
#define RAGWORTPIN_ROUTING_ROUTING_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/routing/fwd.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Settings of the load balancing between instances of a service. */
struct routing_options
{
    /** Number of consecutive failures after which an instance is ejected. */
    unsigned consecutiveFailures{5};
    /** Smoothed failure ratio above which an instance is ejected. */
    double maxFailureRatio{0.5};
    /** Ratio of an instance's latency to the typical latency of the service above which the instance is ejected. */
    double maxLatencyRatio{4.0};
    /** Duration of the first ejection; each consecutive one is longer by the same amount. */
    duration baseEjectionTime{milliseconds{1000}};
    /** Maximum duration of an ejection. */
    duration maxEjectionTime{milliseconds{30000}};
    /** Maximum fraction of the instances that may be ejected at the same time; at least one instance always stays. */
    double maxEjectedFraction{0.5};
    /**
     * Time for which an instance is not chosen after it answered that it is draining or not ready. Membership reports a lasting state
     * within this time; another state ends with it.
     */
    duration notServingTime{milliseconds{2000}};
    /** Duration of the slow start of a new instance or of one that returns after an ejection. */
    duration slowStartDuration{milliseconds{5000}};
    /** Age at which a load report has no weight any more; its weight falls linearly until then. */
    duration reportLifetime{milliseconds{1000}};
    /** Load of the better local candidate above which instances in other availability zones are considered. */
    double spillLoadThreshold{0.9};
    /** Difference by which the load of a remote instance must be lower for it to be chosen. */
    double spillMargin{0.15};
    /** Minimum time without a response, with requests in flight, after which an instance counts as stalled. */
    duration minStallTime{milliseconds{250}};
    /** Multiple of the typical latency that must pass without a response before an instance counts as stalled. */
    double stallLatencyFactor{6.0};

    bool operator==(const routing_options &) const = default;
};

/** Membership information on an instance of the service. */
struct instance_summary
{
    std::string name;
    bool ownAvailabilityZone{false};
    bool draining{false};
    std::uint32_t slots{1};

    bool operator==(const instance_summary &) const = default;
};

/** Load that an instance's node or target reported about itself. Only a hint: measured refusals and latency also count. */
struct load_report
{
    /** Ratio of running and queued requests to the limit. */
    double load{0.0};

    bool operator==(const load_report &) const = default;
};

/** An instance with the measurements of this node. */
struct routed_instance
{
    instance_summary summary;
    std::uint32_t inFlight{0};
    std::optional<load_report> report;
    time_point reportedAt{};
    /** Smoothed latency of complete responses, in microseconds; 0 before the first one. */
    double latency{0.0};
    /** Smoothed fraction of attempts that failed. */
    double failureRatio{0.0};
    /** Smoothed fraction of attempts that were refused because of overload. */
    double refusalRatio{0.0};
    time_point lastRefusalAt{};
    unsigned failuresInRow{0};
    unsigned consecutiveEjections{0};
    time_point ejectedUntil{};
    time_point notServingUntil{};
    /** Start of the slow start. */
    time_point slowStartBegan{};
    /** Time of the last result other than a timeout or cancellation, or of the first request sent while none was in flight. */
    time_point lastProgressAt{};

    bool operator==(const routed_instance &) const = default;
};

/** Routing state of one node for the instances of one service. Only the functions below modify it. */
struct routing_state
{
    routing_options options;
    /** Sorted by name. */
    std::vector<routed_instance> instances;
    /** Indices of instances in the node's own availability zone that are not draining. */
    std::vector<std::size_t> local;
    /** Indices of instances in other availability zones that are not draining. */
    std::vector<std::size_t> remote;
    /** Smoothed latency over all instances, in microseconds; 0 before the first response. */
    double typicalLatency{0.0};
    /** Number of ejected instances at the last count. */
    std::size_t ejected{0};

    bool operator==(const routing_state &) const = default;
};

/** Result of an attempt, as classified for routing. */
enum class attempt_kind : unsigned char {
    /** Complete response that does not indicate a failure of the instance. */
    Answered,
    /** Refused before it was run because of overload. */
    Overloaded,
    /** Refused because the instance is draining or not ready. */
    NotServing,
    /** Broken connection, malformed response or server error. */
    Failed,
    /** No response in time. */
    TimedOut,
    /** Abandoned because the caller disconnected; does not affect the measurements of the instance. */
    Cancelled,
};

/** Result of an attempt at one instance. */
struct attempt_result
{
    attempt_kind kind{attempt_kind::Answered};
    duration latency{0};
    /** Load report carried by the response. */
    std::optional<load_report> report;

    bool operator==(const attempt_result &) const = default;
};

/** Replaces the list of instances by the one from membership. Measurements of instances that remain are kept. */
void updateInstances(routing_state &state, std::vector<instance_summary> instances, time_point now);

/**
 * Chooses an instance by power of two choices, preferring local ones, and returns its index, or nothing if no instance is left.
 * Indices in tried are excluded. Ejected and stalled instances are only used if there is no other. The index is valid until the
 * next call of updateInstances().
 */
[[nodiscard]] std::optional<std::size_t>
chooseInstance(const routing_state &state, std::span<const std::size_t> tried, time_point now, std::mt19937_64 &random);

/** Returns the index of the instance with the given name, or nothing if there is none. */
[[nodiscard]] std::optional<std::size_t> findInstance(const routing_state &state, std::string_view name) noexcept;

/** Records that an attempt was sent. */
void beginAttempt(routing_state &state, std::size_t index, time_point now) noexcept;

/** Records the result of an attempt. Call it exactly once for each beginAttempt(). */
void observeAttempt(routing_state &state, std::size_t index, const attempt_result &result, time_point now) noexcept;

/** Records a load report of the given age that was received separately from a response. */
void observeReport(routing_state &state, std::size_t index, const load_report &report, duration age, time_point now) noexcept;

/** Returns whether an instance is currently ejected because of its failures or latency. */
[[nodiscard]] bool isEjected(const routed_instance &instance, time_point now) noexcept;

/** Returns the load by which chooseInstance() compares instances; 1 means that the instance is fully used. */
[[nodiscard]] double estimatedLoad(const routing_state &state, const routed_instance &instance, time_point now) noexcept;

} // namespace ragwortpin

#endif
