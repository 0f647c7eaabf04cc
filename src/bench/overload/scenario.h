#ifndef RAGWORTPIN_BENCH_OVERLOAD_SCENARIO_H
#define RAGWORTPIN_BENCH_OVERLOAD_SCENARIO_H

#include "ragwortpin/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ragwortpin::bench {

/** Overload control that a run uses: the ragwortpin library or one of the baselines. */
enum class control_policy : unsigned char {
    /** No overload control: the target accepts requests up to its connection limit and queues them first in, first out. */
    None,
    /** Accepts as many requests as there are slots and refuses all others without queueing. */
    StaticLimit,
    /** A first in, first out queue that ignores the rank of requests and drops them while the queue delay stays above a target. */
    CodelLike,
    /** Routing, admission, retry and shedding decisions of the ragwortpin library. */
    Full,
};

/** All policies, the baselines first. */
inline constexpr control_policy AllPolicies[]{
    control_policy::None, control_policy::StaticLimit, control_policy::CodelLike, control_policy::Full};

/** Returns the name used in tables. */
[[nodiscard]] const char *toString(control_policy policy) noexcept;

/** A service of a deployment. */
struct service_spec
{
    std::string name;
    unsigned instances{0};
    unsigned slots{0};
    unsigned connections{0};
    /** Mean time that a target works on a request, without the time spent in downstream calls. */
    duration serviceTime{0};
};

/** Services, sizes and network delays of a deployment. */
struct deployment_spec
{
    std::string name;
    unsigned availabilityZones{1};
    std::vector<service_spec> services;
    /** One-way delay between nodes of different availability zones. */
    duration interZoneDelay{0};
    /** One-way delay between nodes of the same availability zone. */
    duration intraZoneDelay{microseconds{250}};
    /** One-way delay between clients and nodes. */
    duration clientDelay{0};
    duration connectDelay{milliseconds{1}};
};

/** Returns the deployment of a franchise office with four availability zones. */
[[nodiscard]] deployment_spec khelachitra();

/** Returns the deployment of a party booking service with three availability zones. */
[[nodiscard]] deployment_spec confettiCove();

/** Returns a deployment of fourteen services with four instances each, one service per hop, with the zones and delays of khelachitra. */
[[nodiscard]] deployment_spec deepChain();

/** Kinds of faults injected at targets. */
enum class fault_kind : unsigned char {
    /** The service time of all targets of the service is multiplied by the factor. */
    Slow,
    /** One instance is replaced by a cold one, whose service time is multiplied by the factor at first. */
    ColdStart,
    /** The service time of one instance is multiplied by the factor and the instance reports no load. */
    FalseLoadReport,
    /** One instance accepts requests and never answers. */
    Hang,
    /** One instance drains. */
    Drain,
    /** All instances of the first availability zone fail. */
    ZoneOutage,
    /** All targets of the service close the connection before reading the request, for a fraction of requests given by the factor. */
    ConnectionFailure,
};

/** A fault in the half-open interval [from, until). `until` is ignored for Drain and ZoneOutage, which last to the end of the run. */
struct fault_spec
{
    fault_kind kind{fault_kind::Slow};
    std::size_t service{0};
    time_point from{};
    time_point until{};
    double factor{1.0};
};

/** A workspace that sends requests. */
struct workspace_spec
{
    std::string name;
    double weight{1.0};
    /** Request rate as a multiple of the capacity. */
    double load{0.0};
};

/** Settings of one run. */
struct scenario
{
    deployment_spec deployment;
    control_policy policy{control_policy::Full};
    /** Call chain: indices into the services of the deployment; each service calls the next one. */
    std::vector<std::size_t> chain;
    std::vector<workspace_spec> workspaces;
    /** Fraction of the requests of each rank; the fractions sum to 1. */
    std::vector<double> rankShares{0.08, 0.42, 0.3, 0.2};
    std::vector<fault_spec> faults;
    /** Client timeout of one attempt. */
    duration clientTimeout{milliseconds{1000}};
    /** Largest number of retries that a client makes after a failed attempt. */
    unsigned clientRetries{0};
    /** Delay before each client retry. */
    duration clientRetryDelay{milliseconds{10}};
    duration length{seconds{10}};
    /** Time at the start of the run that is left out of the totals. */
    duration warmUp{seconds{2}};
    std::uint64_t seed{1};
};

/**
 * Returns the largest rate, in requests per second, at which the deployment can answer requests along the chain. A request holds a slot
 * at each hop until the downstream calls of that hop have been answered.
 */
[[nodiscard]] double capacityOf(const deployment_spec &deployment, const std::vector<std::size_t> &chain);

/** Returns eight workspaces of equal weight and unequal rates that together send the given multiple of the capacity. */
[[nodiscard]] std::vector<workspace_spec> makeWorkspaces(double load);

} // namespace ragwortpin::bench

#endif
