#ifndef RAGWORTPIN_ADMISSION_ADMISSION_H
#define RAGWORTPIN_ADMISSION_ADMISSION_H

#include "ragwortpin/admission/concurrency_limit.h"
#include "ragwortpin/admission/demand.h"
#include "ragwortpin/admission/fwd.h"
#include "ragwortpin/admission/shed_level.h"
#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortpin {

/** Identifies a request at one node; never used twice at once. */
using request_id = std::uint64_t;

/** A request that asks for a slot of the target. */
struct admission_request
{
    request_id id{0};
    /** Rank of its importance; 0 is shed last. */
    unsigned rank{0};
    std::string workspace;
    /** Weight of the workspace. */
    double weight{1.0};
    /** Hops before this one; 0 for new work. */
    unsigned depth{0};
    /** Instant at which the caller stops waiting. */
    time_point deadline{};
    /** Service time that the request is thought to take; 0 when only the target's average is known. */
    duration expectedWork{0};
    /** Probability with which the first hop let the request pass, carried with it; 1 when nothing was shed. */
    double admitProbability{1.0};

    bool operator==(const admission_request &) const = default;
};

/** What became of an offered request. */
enum class admission_verdict : unsigned char {
    Started,
    Queued,
    Refused,
};

/** Requests whose state changed when a slot came free or time passed. */
struct admission_changes
{
    /** Queued requests that have a slot now. */
    std::vector<request_id> started;
    /** Queued requests that can no longer finish in time; refused as deadline_exceeded, were not run. */
    std::vector<request_id> expired;

    bool operator==(const admission_changes &) const = default;
};

/** Answer to an offer. */
struct admission_decision
{
    admission_verdict verdict{admission_verdict::Refused};
    /** Meaningful when refused. */
    refusal_kind refusal{refusal_kind::Overloaded};
    /** Requests that left the queue to make room; each is refused as overloaded and was not run. */
    std::vector<request_id> displaced;
    /** Other requests whose state changed, as time had passed. */
    admission_changes changes;

    bool operator==(const admission_decision &) const = default;
};

/** How a started request ended. */
struct completion
{
    request_id id{0};
    /** Part of the time in the slot that the target spent waiting for its callees. */
    duration downstreamTime{0};
    /** Whether the target itself refused for overload. */
    bool rejected{false};
    /** Whether the target never answered; its service time is not known then. */
    bool timedOut{false};

    bool operator==(const completion &) const = default;
};

/** Settings of the admission to one target. */
struct admission_options
{
    concurrency_limit_options limit;
    /** Longest queue, as a multiple of the limit. */
    double queueFactor{2.0};
    /** Longest time that a queue of average requests may take to empty. */
    duration longestDelay{milliseconds{100}};
    /** Queue delay that counts as standing once it lasted for standingInterval. */
    duration standingDelay{milliseconds{20}};
    duration standingInterval{milliseconds{200}};
    /** Part of the capacity that is promised up the chain. */
    double targetUtilisation{0.98};
    /** Part of the limit kept from a request for each greater depth from which requests come to the same target. */
    double deepReserve{0.1};

    bool operator==(const admission_options &) const = default;
};

/** A request waiting for a slot. */
struct queued_request
{
    admission_request request;
    time_point queuedAt{};
    /** Work that the request is charged with, in microseconds. */
    double work{0.0};

    bool operator==(const queued_request &) const = default;
};

/** A request that holds a slot. */
struct running_request
{
    unsigned rank{0};
    std::string workspace;
    double weight{1.0};
    time_point startedAt{};
    /** Work charged to the workspace when the request started, in microseconds. */
    double charged{0.0};

    bool operator==(const running_request &) const = default;
};

/** Fair-queueing account of a workspace in one importance. */
struct work_account
{
    unsigned rank{0};
    std::string workspace;
    /** Work had so far over weight, in microseconds, on the virtual clock of the rank. */
    double virtualTime{0.0};
    /** Work of its queued requests, in microseconds. */
    double queuedWork{0.0};
    std::uint32_t queued{0};
    /** Smoothed time of its requests in the slot, over the target's average. */
    double relativeWork{1.0};

    bool operator==(const work_account &) const = default;
};

/** Virtual clock of one rank: the account of the request that started last. */
struct rank_clock
{
    unsigned rank{0};
    double virtualTime{0.0};

    bool operator==(const rank_clock &) const = default;
};

/** Depth in a chain that requests to the target come from. */
struct seen_depth
{
    unsigned depth{0};
    time_point seenAt{};

    bool operator==(const seen_depth &) const = default;
};

/** Counts since the start, for metrics. */
struct admission_counters
{
    std::uint64_t started{0};
    std::uint64_t completed{0};
    std::uint64_t cancelled{0};
    std::uint64_t displaced{0};
    std::uint64_t refusedOverloaded{0};
    std::uint64_t refusedDeadline{0};
    std::uint64_t expired{0};

    bool operator==(const admission_counters &) const = default;
};

/** Admission to one target; changed through the functions below only. */
struct admission_state
{
    admission_options options;
    concurrency_limit limit;
    std::unordered_map<request_id, running_request> running;
    /** In order of arrival. */
    std::vector<queued_request> queue;
    std::vector<work_account> accounts;
    std::vector<rank_clock> clocks;
    demand_estimate demand;
    /** Smoothed time in the slot, waits for callees included, in microseconds; 0 before the first completion. */
    double averageWork{0.0};
    /** Instant since which the queue delay was never below the standing delay; nothing while it is below. */
    std::optional<time_point> delayedSince;
    /** Depths that requests arrived from of late. */
    std::vector<seen_depth> depths;
    admission_counters counters;

    bool operator==(const admission_state &) const = default;
};

/** Makes the state of a target that announced its slots and connections; it begins with a slow start if it is cold. */
[[nodiscard]] admission_state
makeAdmission(const admission_options &options, std::uint32_t slots, std::uint32_t connections, bool cold, time_point now);

/** Applies newly announced slots and connections; running requests stay. */
[[nodiscard]] admission_changes setCapacity(admission_state &state, std::uint32_t slots, std::uint32_t connections, time_point now);

/** Asks for a slot. A started request must later be completed or cancelled, a queued one may start, expire or be displaced. */
[[nodiscard]] admission_decision offer(admission_state &state, const admission_request &request, time_point now);

/** Gives the slot of a finished request back. An unknown id changes nothing. */
[[nodiscard]] admission_changes complete(admission_state &state, const completion &finished, time_point now);

/** Forgets a request whose caller went away, queued or running; for a running one call it once its slot is truly free. */
[[nodiscard]] admission_changes cancel(admission_state &state, request_id id, time_point now);

/** Drops queued requests that can no longer finish in time. To be called at nextExpiry() or at a short regular interval. */
[[nodiscard]] admission_changes expire(admission_state &state, time_point now);

/** Returns the instant at which the next queued request expires; nothing when none waits. */
[[nodiscard]] std::optional<time_point> nextExpiry(const admission_state &state) noexcept;

/** Returns what the target takes of the workspace at present; carried up in every answer to it. */
[[nodiscard]] shed_level shedLevel(admission_state &state, std::string_view workspace, time_point now);

/** Returns running and queued requests over the limit: the load that the node reports of its target. */
[[nodiscard]] double utilisation(const admission_state &state) noexcept;

/** Returns for how long a refused caller should wait. */
[[nodiscard]] duration retryAfter(const admission_state &state) noexcept;

} // namespace ragwortpin

#endif
