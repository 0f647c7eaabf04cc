#ifndef RAGWORTPIN_CONFIG_MODEL_H
#define RAGWORTPIN_CONFIG_MODEL_H

#include "ragwortpin/config/fwd.h"
#include "ragwortpin/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortpin {

/** A tenant. Its rate and burst limits apply to the sum of its requests at all instances. */
struct workspace
{
    std::string name;
    /** Rate limit in requests per second. */
    double rate{0.0};
    /** Burst limit: the number of requests that may arrive at once. */
    double burst{0.0};
    /** Relative share of a contended target's capacity among the workspaces of the same importance. */
    double weight{1.0};
    /** Name of the importance that overrides the routes' importance for this workspace's requests; empty for no override. */
    std::string importance{};

    bool operator==(const workspace &) const = default;
};

/** A caller's API key. Only the digest of its secret is stored. Removing the object withdraws the key. */
struct api_key
{
    std::string name;
    /** Name of the workspace that requests with this key belong to. */
    std::string workspace;
    /** SHA-256 digest of the secret as 64 lower-case hexadecimal digits. */
    std::string sha256;

    bool operator==(const api_key &) const = default;
};

/** An importance level of requests. The levels are totally ordered by rank. */
struct importance
{
    std::string name;
    /** Position in the order; rank 0 is shed last. Every importance has its own rank. */
    unsigned rank{0};

    bool operator==(const importance &) const = default;
};

/** A group of targets that serve the same requests. */
struct service
{
    std::string name;
    /** Maximum ratio of retries to first attempts for requests to the service. */
    double retryRatio{0.1};
    /** Number of connections that each of its targets accepts; 0 selects the number that the target announces. */
    std::uint32_t connections{0};

    bool operator==(const service &) const = default;
};

/** One part of a route's split: a service and its share of the route's requests. */
struct weighted_service
{
    std::string service;
    /** Share of the requests relative to the weights of the other parts. */
    double weight{1.0};

    bool operator==(const weighted_service &) const = default;
};

/**
 * Maps requests to a service. Among the routes of the request's host, or among those without a host if the host has none, the
 * route with the longest matching path prefix is selected. For equal paths a route with a method takes precedence over one
 * without.
 */
struct route
{
    std::string name;
    /** HTTP method in capitals; empty matches every method. */
    std::string method;
    /** Path prefix, matched at segment boundaries. */
    std::string path;
    /** Name of the service that serves the requests; empty for a route with a split. */
    std::string service;
    /** Name of the importance of its requests. */
    std::string importance;
    /** Whether requests without an API key are accepted. */
    bool open{false};
    /** Whether a request is executed at most once, as identified by its Idempotency-Key header. */
    bool once{false};
    /** Whether a request whose outcome is unknown may be retried. Never true together with once. */
    bool retryable{false};
    /** Time limit for the whole request. */
    milliseconds deadline{1000};
    /** Host of the requests, in lower case and without a port; empty matches every host for which no route is defined. */
    std::string host{};
    /** Whether only paths below the prefix match, but not the prefix itself. */
    bool belowOnly{false};
    /** Services that the requests are distributed over; empty for a route with a single service. */
    std::vector<weighted_service> split{};
    /** Maximum number of targets that one request may be sent to. */
    unsigned attempts{2};
    /** Response time within which an answer is fully useful to the caller; 0 if unspecified. */
    milliseconds latencyObjective{0};

    bool operator==(const route &) const = default;
};

/** A failure domain with its own instances. */
struct availability_zone
{
    std::string name;
    std::string region;
    /** Fraction of every workspace's rate and burst that the availability zone holds. The shares of all zones sum to 1. */
    double share{0.0};

    bool operator==(const availability_zone &) const = default;
};

/** All objects of one revision. Each vector is sorted by name. */
struct configuration
{
    /** Number of the publication, increasing with each one; 0 if the configuration was not published. */
    std::uint64_t revision{0};
    std::vector<workspace> workspaces;
    std::vector<api_key> keys;
    std::vector<importance> importances;
    std::vector<service> services;
    std::vector<route> routes;
    std::vector<availability_zone> availabilityZones;

    bool operator==(const configuration &) const = default;
};

} // namespace ragwortpin

#endif
