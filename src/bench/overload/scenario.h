#ifndef RAGWORTPIN_BENCH_OVERLOAD_SCENARIO_H
#define RAGWORTPIN_BENCH_OVERLOAD_SCENARIO_H

#include "ragwortpin/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ragwortpin::bench {

/** Way of control that a run uses: the product's decisions or one of the baselines. */
enum class control_policy : unsigned char {
    /** Everything goes to the target, which queues it first in, first out up to its connection limit. */
    None,
    /** As many requests as slots; the rest is refused. */
    StaticLimit,
    /** A first in, first out queue without importance, which drops while its delay stands. */
    CodelLike,
    /** The decisions of the product. */
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
    /** Mean time that a target works on a request itself. */
    duration serviceTime{0};
};

/** Sizes and latencies of a deployment. */
struct deployment
{
    std::string name;
    unsigned availabilityZones{1};
    std::vector<service_spec> services;
    /** One way. */
    duration betweenAvailabilityZones{0};
    duration withinAvailabilityZone{microseconds{250}};
    duration toClients{0};
    duration connecting{milliseconds{1}};
};

/** Franchise office with four availability zones. */
[[nodiscard]] deployment khelachitra();

/** Party bookings with three availability zones. */
[[nodiscard]] deployment confettiCove();

/** Fourteen services of the larger deployment's common size, one for each hop. */
[[nodiscard]] deployment deepChain();

/** What goes wrong at targets. */
enum class fault_kind : unsigned char {
    /** All targets of the service take longer by the factor. */
    Slow,
    /** One instance is replaced by a cold one, which takes longer by the factor at first. */
    Cold,
    /** One instance takes longer by the factor and reports no load. */
    LyingReport,
    /** One instance accepts requests and never answers. */
    Hang,
    /** One instance drains. */
    Leave,
    /** All instances of the first availability zone vanish. */
    ZoneGone,
    /** All targets of the service break the connection before they read, for the part of requests that the factor says. */
    Broken,
};

/** A fault in the half-open span [from, until). */
struct fault
{
    fault_kind kind{fault_kind::Slow};
    std::size_t service{0};
    time_point from{};
    time_point until{};
    double factor{1.0};
};

/** A tenant that sends requests. */
struct tenant
{
    std::string name;
    double weight{1.0};
    /** Requests sent, as a multiple of the capacity. */
    double load{0.0};
};

/** One run. */
struct scenario
{
    deployment place;
    control_policy policy{control_policy::Full};
    /** Services called one by the other, as indices into the deployment's services. */
    std::vector<std::size_t> chain;
    std::vector<tenant> tenants;
    /** Part of the requests of each rank; sums to 1. */
    std::vector<double> rankShares{0.08, 0.42, 0.3, 0.2};
    std::vector<fault> faults;
    /** Time that a client waits for an attempt. */
    duration clientTimeout{milliseconds{1000}};
    /** Attempts that a client makes after a failed one, each after the pause. */
    unsigned clientRetries{0};
    duration clientPause{milliseconds{10}};
    duration length{seconds{10}};
    /** Time at the start that no figure counts. */
    duration warmUp{seconds{2}};
    std::uint64_t seed{1};
};

/** Whole requests a second that the deployment can answer at most along the chain, slots held while callees work. */
[[nodiscard]] double capacityOf(const deployment &place, const std::vector<std::size_t> &chain);

/** Returns eight tenants with equal weights and a few large senders, sending the given multiple of the capacity together. */
[[nodiscard]] std::vector<tenant> usualTenants(double load);

} // namespace ragwortpin::bench

#endif
