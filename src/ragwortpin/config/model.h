#ifndef RAGWORTPIN_CONFIG_MODEL_H
#define RAGWORTPIN_CONFIG_MODEL_H

#include "ragwortpin/config/fwd.h"
#include "ragwortpin/core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortpin {

/** A tenant. Its rate and burst are counted over all instances together. */
struct workspace
{
    std::string name;
    /** Requests a second. */
    double rate{0.0};
    /** Requests that may arrive at once. */
    double burst{0.0};
    /** Share of a contended target relative to other workspaces of the same importance. */
    double weight{1.0};
    /** Name of the importance of its requests, in place of their routes'; empty leaves the routes' in force. */
    std::string importance{};

    bool operator==(const workspace &) const = default;
};

/** A caller's key, known by its digest only. Removing the object withdraws the key. */
struct api_key
{
    std::string name;
    /** Name of the workspace that requests with this key run for. */
    std::string workspace;
    /** SHA-256 of the secret, 64 lower-case hexadecimal digits. */
    std::string sha256;

    bool operator==(const api_key &) const = default;
};

/** A kind of request in the total order of importance. */
struct importance
{
    std::string name;
    /** Position in the order; 0 is shed last. Ranks are distinct. */
    unsigned rank{0};

    bool operator==(const importance &) const = default;
};

/** A group of targets that answer the same requests. */
struct service
{
    std::string name;
    /** Retries allowed towards the service, as a fraction of first attempts. */
    double retryRatio{0.1};
    /** Connections that each of its targets accepts; 0 leaves it to what the target announces. */
    std::uint32_t connections{0};

    bool operator==(const service &) const = default;
};

/** Part of a route's requests that goes to one service. */
struct weighted_service
{
    std::string service;
    /** Share of the requests relative to the other parts. */
    double weight{1.0};

    bool operator==(const weighted_service &) const = default;
};

/**
 * Maps requests to a service. Among the routes of the request's host, or those for every host where it has none, the one with
 * the longest matching path prefix is chosen; one with a method precedes one without.
 */
struct route
{
    std::string name;
    /** HTTP method in capitals; empty matches every method. */
    std::string method;
    /** Path prefix, matched at segment boundaries. */
    std::string path;
    /** Name of the service that answers; empty for a route with a split. */
    std::string service;
    /** Name of the importance of its requests. */
    std::string importance;
    /** Whether requests without a key are served. */
    bool open{false};
    /** Whether a request runs at most once, by its Idempotency-Key. */
    bool once{false};
    /** Whether a request whose outcome is unknown may be sent again. Never true together with once. */
    bool retryable{false};
    /** Longest time for the whole request. */
    milliseconds deadline{1000};
    /** Host that the route belongs to, in lower case and without a port; empty matches hosts that no other route names. */
    std::string host{};
    /** Whether only paths below the prefix match, and not the prefix itself. */
    bool belowOnly{false};
    /** Services that share the requests; empty for a route with one service. */
    std::vector<weighted_service> split{};
    /** Most targets that one request may be sent to. */
    unsigned attempts{2};
    /** Time within which an answer has its full use to callers; 0 when it is not stated. */
    milliseconds latencyObjective{0};

    bool operator==(const route &) const = default;
};

/** A failure domain with its own instances. */
struct availability_zone
{
    std::string name;
    std::string region;
    /** Fraction of every workspace's rate and burst that the availability zone holds; all shares sum to 1. */
    double share{0.0};

    bool operator==(const availability_zone &) const = default;
};

/** The whole checked set of objects. Vectors are sorted by name. */
struct configuration
{
    /** Position in the sequence of published configurations; 0 means that none was published. */
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
