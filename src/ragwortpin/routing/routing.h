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

/** Settings of the choice between instances of a service. */
struct routing_options
{
    /** Failures in a row after which an instance is ejected. */
    unsigned consecutiveFailures{5};
    /** Smoothed failure rate from which on an instance is ejected. */
    double failureRate{0.5};
    /** Latency over the service's typical one, from which on an instance is ejected. */
    double latencyFactor{4.0};
    /** First ejection; each further one in a row lasts as much longer, up to the longest. */
    duration ejection{milliseconds{1000}};
    duration longestEjection{milliseconds{30000}};
    /** Largest part of the instances that may be ejected at once; at least one always stays. */
    double ejectedFraction{0.5};
    /** Ramp of a new or returning instance. */
    duration slowStart{milliseconds{5000}};
    /** Age at which a load report counts for nothing. */
    duration reportLifetime{milliseconds{1000}};
    /** Load of the better local instance from which on other availability zones are looked at. */
    double spillLoad{0.9};
    /** Load by which an instance elsewhere must be better. */
    double spillMargin{0.15};
    /** Shortest silence of an instance with requests in flight that counts as a stall. */
    duration stall{milliseconds{250}};
    /** Silence over the typical latency that counts as a stall. */
    double stallFactor{6.0};

    bool operator==(const routing_options &) const = default;
};

/** An instance of the service as membership knows it. */
struct instance_summary
{
    std::string name;
    bool ownAvailabilityZone{false};
    bool draining{false};
    std::uint32_t slots{1};

    bool operator==(const instance_summary &) const = default;
};

/** Load that an instance's node or target reported of itself; a hint. */
struct load_report
{
    /** Requests running and queued over the limit. */
    double load{0.0};

    bool operator==(const load_report &) const = default;
};

/** An instance with what this node saw of it. */
struct routed_instance
{
    instance_summary summary;
    std::uint32_t inFlight{0};
    std::optional<load_report> report;
    time_point reportedAt{};
    /** Smoothed latency of whole answers in microseconds; 0 before the first. */
    double latency{0.0};
    /** Smoothed part of attempts that failed. */
    double failures{0.0};
    /** Smoothed part of attempts that were refused for overload. */
    double refusals{0.0};
    time_point refusedAt{};
    unsigned failuresInRow{0};
    unsigned ejectionsInRow{0};
    time_point ejectedUntil{};
    /** Instant from which the slow start counts. */
    time_point since{};
    /** Instant of the last answer, or of the first request in flight after none was. */
    time_point progressAt{};

    bool operator==(const routed_instance &) const = default;
};

/** Instances of one service as seen by one node; changed through the functions below only. */
struct routing_state
{
    routing_options options;
    /** Sorted by name. */
    std::vector<routed_instance> instances;
    /** Indices of instances that are not draining, in this and in the other availability zones. */
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    /** Smoothed latency over all instances in microseconds. */
    double typicalLatency{0.0};
    /** Instances ejected when last counted. */
    std::size_t ejected{0};

    bool operator==(const routing_state &) const = default;
};

/** How an attempt ended, as far as routing is concerned. */
enum class attempt_kind : unsigned char {
    /** A whole answer that is no failure of the instance. */
    Answered,
    /** Refused before it ran, for overload. */
    Overloaded,
    /** Refused because the instance drains or is not ready. */
    Leaving,
    /** Broken connection, malformed answer or server error. */
    Failed,
    /** No answer in time. */
    TimedOut,
    /** Abandoned because the caller went away; says nothing of the instance. */
    Cancelled,
};

/** Result of an attempt at one instance. */
struct attempt_result
{
    attempt_kind kind{attempt_kind::Answered};
    duration latency{0};
    /** Load that the answer carried. */
    std::optional<load_report> report;

    bool operator==(const attempt_result &) const = default;
};

/** Takes over the instances of the service from membership; what was seen of those that stay is kept. */
void updateInstances(routing_state &state, std::vector<instance_summary> instances, time_point now);

/**
 * Chooses an instance by power of two choices, local ones first. Indices in tried are left out. The index is valid until the
 * next updateInstances. Nothing when no instance is left.
 */
[[nodiscard]] std::optional<std::size_t>
chooseInstance(const routing_state &state, std::span<const std::size_t> tried, time_point now, std::mt19937_64 &random);

/** Finds the index of an instance by its name. */
[[nodiscard]] std::optional<std::size_t> findInstance(const routing_state &state, std::string_view name) noexcept;

/** Records that an attempt was sent. */
void beginAttempt(routing_state &state, std::size_t index, time_point now) noexcept;

/** Records how an attempt ended; each beginAttempt is followed by one observeAttempt. */
void observeAttempt(routing_state &state, std::size_t index, const attempt_result &result, time_point now) noexcept;

/** Records a load report that came apart from an answer, of the given age. */
void observeReport(routing_state &state, std::size_t index, const load_report &report, duration age, time_point now) noexcept;

/** Returns whether an instance is left out at present because of what was seen of it. */
[[nodiscard]] bool isEjected(const routed_instance &instance, time_point now) noexcept;

/** Returns the load that the choice compares; 1 is a full instance. */
[[nodiscard]] double estimatedLoad(const routing_state &state, const routed_instance &instance, time_point now) noexcept;

} // namespace ragwortpin

#endif
