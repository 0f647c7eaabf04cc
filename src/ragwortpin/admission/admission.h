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

/** Identifies a request at one node. Unique among the requests that are queued or running there at the same time. */
using request_id = std::uint64_t;

/** A request offered for admission to the target. */
struct admission_request
{
    request_id id{0};
    /** Importance rank; lower ranks are more important, and rank 0 is shed last. */
    unsigned rank{0};
    std::string workspace;
    /** Fair-queueing weight of the workspace. */
    double weight{1.0};
    /** Number of hops that the call chain passed before this one; 0 for new work. */
    unsigned depth{0};
    /** Time at which the caller stops waiting for the response. */
    time_point deadline{};
    /** Expected service time of the request; 0 if unknown, in which case it is estimated from the target's average. */
    duration expectedWork{0};
    /** Probability with which the first hop admitted the request, sent along with it; 1 when nothing was shed. */
    double admitProbability{1.0};

    bool operator==(const admission_request &) const = default;
};

/** Result of offering a request for admission. */
enum class admission_verdict : unsigned char {
    Started,
    Queued,
    Refused,
};

/** Queued requests whose state changed because a slot became free or their time ran out. */
struct admission_changes
{
    /** Queued requests that were given a slot. */
    std::vector<request_id> started;
    /** Queued requests that can no longer finish by their deadline. They are refused as deadline_exceeded and were not run. */
    std::vector<request_id> expired;

    bool operator==(const admission_changes &) const = default;
};

/** Decision on an offered request. */
struct admission_decision
{
    admission_verdict verdict{admission_verdict::Refused};
    /** Reason for the refusal; only meaningful if the verdict is Refused. */
    refusal_kind refusal{refusal_kind::Overloaded};
    /** Requests removed from the queue because it was full; each is refused as overloaded and was not run. */
    std::vector<request_id> displaced;
    /** Other requests that started or expired while the offer was processed. */
    admission_changes changes;

    bool operator==(const admission_decision &) const = default;
};

/** How a started request ended. */
struct completion
{
    request_id id{0};
    /** Time that the target spent waiting for its callees while the request held the slot. */
    duration downstreamTime{0};
    /** Whether the target itself refused the request because of overload. */
    bool rejected{false};
    /** Whether the target never responded; its service time is then unknown. */
    bool timedOut{false};

    bool operator==(const completion &) const = default;
};

/** Settings of admission control for one target. */
struct admission_options
{
    concurrency_limit_options limit;
    /** Maximum queue length as a multiple of the concurrency limit. */
    double queueFactor{2.0};
    /** Maximum time that a queue of average requests may take to drain; bounds the queue length. */
    duration maxQueueDrainTime{milliseconds{100}};
    /** Queue delay that counts as a standing queue once it has been reached continuously for standingInterval. */
    duration standingDelay{milliseconds{20}};
    duration standingInterval{milliseconds{200}};
    /** Fraction of the concurrency limit that is advertised as capacity to upstream nodes. */
    double advertisedUtilisation{0.98};
    /** Fraction of the limit that is reserved, per recently observed depth greater than the request's own, for deeper requests. */
    double deeperReserveFraction{0.1};

    bool operator==(const admission_options &) const = default;
};

/** A request in the queue. */
struct queued_request
{
    admission_request request;
    time_point queuedAt{};
    /** Estimated work of the request, in microseconds. */
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
    /** Estimated work charged to the workspace when the request started, in microseconds. */
    double chargedWork{0.0};

    bool operator==(const running_request &) const = default;
};

/** Fair-queueing account of one workspace at one importance rank. */
struct work_account
{
    unsigned rank{0};
    std::string workspace;
    /** Work served so far divided by the weight, in microseconds, on the virtual clock of the rank. */
    double virtualTime{0.0};
    /** Estimated work of its queued requests, in microseconds. */
    double queuedWork{0.0};
    /** Number of its queued requests. */
    std::uint32_t queued{0};
    /** Smoothed ratio of the slot time of its requests to the target's average. */
    double relativeWork{1.0};

    bool operator==(const work_account &) const = default;
};

/** Virtual clock of one rank; follows the largest virtual time at which a request of the rank has started. */
struct rank_clock
{
    unsigned rank{0};
    double virtualTime{0.0};

    bool operator==(const rank_clock &) const = default;
};

/** Call-chain depth from which requests to the target arrive. */
struct observed_depth
{
    unsigned depth{0};
    time_point lastSeenAt{};

    bool operator==(const observed_depth &) const = default;
};

/** Event counts since the start of the process, for metrics. */
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

/** Admission state of one target. Only the functions below modify it. */
struct admission_state
{
    admission_options options;
    concurrency_limit limit;
    std::unordered_map<request_id, running_request> running;
    /** Queued requests in order of arrival. */
    std::vector<queued_request> queue;
    std::vector<work_account> accounts;
    std::vector<rank_clock> clocks;
    demand_estimate demand;
    /** Smoothed time in the slot, including waits for callees, in microseconds; 0 before the first completion. */
    double averageWork{0.0};
    /** Time since which no started request had a queue delay below standingDelay; empty while the delay is below it. */
    std::optional<time_point> delayedSince;
    /** Depths from which requests arrived recently. */
    std::vector<observed_depth> recentDepths;
    admission_counters counters;

    bool operator==(const admission_state &) const = default;
};

/** Creates the state for a target with the announced slots and connections. A cold target begins with a slow start. */
[[nodiscard]] admission_state
makeAdmission(const admission_options &options, std::uint32_t slots, std::uint32_t connections, bool cold, time_point now);

/** Applies newly announced slots and connections. Requests that are already running keep their slots. */
[[nodiscard]] admission_changes setCapacity(admission_state &state, std::uint32_t slots, std::uint32_t connections, time_point now);

/**
 * Offers a request for admission. A started request must later be completed or cancelled; a queued one may start, expire or be
 * displaced.
 */
[[nodiscard]] admission_decision offer(admission_state &state, const admission_request &request, time_point now);

/** Releases the slot of a finished request. Has no effect for an unknown id. */
[[nodiscard]] admission_changes complete(admission_state &state, const completion &finished, time_point now);

/**
 * Removes a queued or running request whose caller has disconnected. For a running request, call it only once the target has
 * actually freed the slot.
 */
[[nodiscard]] admission_changes cancel(admission_state &state, request_id id, time_point now);

/** Removes queued requests that can no longer finish by their deadline. Call it at nextExpiry() or at short regular intervals. */
[[nodiscard]] admission_changes expire(admission_state &state, time_point now);

/** Returns the time at which the next queued request expires, or nothing if the queue is empty. */
[[nodiscard]] std::optional<time_point> nextExpiry(const admission_state &state) noexcept;

/** Returns the current shed level of a workspace. It is sent upstream with every response to the workspace. */
[[nodiscard]] shed_level shedLevel(admission_state &state, std::string_view workspace, time_point now);

/**
 * Returns the ratio of running and queued requests to the limit, or 1 if the limit is 0. The node reports it as the load of its
 * target.
 */
[[nodiscard]] double utilisation(const admission_state &state) noexcept;

/** Returns how long a refused caller should wait before it retries. */
[[nodiscard]] duration retryAfter(const admission_state &state) noexcept;

} // namespace ragwortpin

#endif
