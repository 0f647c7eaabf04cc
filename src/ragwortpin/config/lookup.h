#ifndef RAGWORTPIN_CONFIG_LOOKUP_H
#define RAGWORTPIN_CONFIG_LOOKUP_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/core/string_hash.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ragwortpin {

/** A route with the resolved rank of its importance. */
struct indexed_route
{
    route definition;
    /** Rank of the route's importance; 0 is shed last. */
    unsigned rank{0};

    bool operator==(const indexed_route &) const = default;
};

/** An API key with the position of its workspace in configuration::workspaces. */
struct indexed_key
{
    /** SHA-256 digest of the secret as 64 lower-case hexadecimal digits. */
    std::string digest;
    std::string name;
    std::size_t workspace{0};

    bool operator==(const indexed_key &) const = default;
};

/** Routes of one host. */
struct host_routes
{
    /** Positions in configuration_index::routes by path; empty if none can be served. Routes that differ in method only share a path. */
    string_map<std::vector<std::size_t>> byPath;
    /** Number of segments of the longest path in byPath. */
    std::size_t maxSegmentCount{0};
};

/**
 * Lookup tables for the data path. Built once per revision and shared between threads as an immutable snapshot. Pointers and
 * references returned by the lookup functions below are valid for the lifetime of the index.
 */
struct configuration_index
{
    configuration value;
    /** Routes whose references resolve, in the order of value.routes. */
    std::vector<indexed_route> routes;
    /** Routes by host. Routes without a host are stored under the empty name. */
    string_map<host_routes> routesByHost;
    /** Keys whose workspace exists, sorted by digest. */
    std::vector<indexed_key> keys;
    string_map<std::size_t> workspacesByName;
    string_map<std::size_t> servicesByName;
    string_map<unsigned> ranksByName;
    string_map<std::size_t> availabilityZonesByName;
};

/**
 * Builds the index of a valid configuration. Routes and keys with references that do not resolve are left out. Requests for such a route
 * with belowOnly have no route; they do not fall to one with a shorter prefix.
 */
[[nodiscard]] std::shared_ptr<const configuration_index> buildIndex(configuration value);

/** Result of findRoute(). Converts to false if no route matches. */
struct route_match
{
    const indexed_route *found{nullptr};

    [[nodiscard]] explicit operator bool() const noexcept
    {
        return found != nullptr;
    }

    /** Returns the matched route. The behaviour is undefined if no route matched. */
    [[nodiscard]] const route &definition() const noexcept
    {
        return found->definition;
    }

    /** Returns the rank of the matched route's importance. The behaviour is undefined if no route matched. */
    [[nodiscard]] unsigned rank() const noexcept
    {
        return found->rank;
    }
};

/**
 * Returns the route of a request: the one with the longest path prefix that ends at a segment boundary of the request's path.
 * Among routes with equal paths, a route for the request's method takes precedence over a route for all methods. Routes
 * without a host are considered only if no route is defined for the request's host. Ignores the case and the port of the host
 * and the query of the path. A path that is not canonical matches no route, see isCanonicalPath().
 */
[[nodiscard]] route_match
findRoute(const configuration_index &index, std::string_view host, std::string_view method, std::string_view path);

/** Returns the rank of a workspace's requests to a route: the rank of the workspace's importance if it has one, else the route's rank. */
[[nodiscard]] unsigned effectiveRank(const configuration_index &index, const indexed_route &route, std::string_view workspace) noexcept;

/** Returns the key with a digest, as computed by sha256Hex() from the secret of a request; null if it is unknown or withdrawn. */
[[nodiscard]] const indexed_key *findKey(const configuration_index &index, std::string_view digest) noexcept;

/** Returns the workspace that a key belongs to. */
[[nodiscard]] const workspace &workspaceOf(const configuration_index &index, const indexed_key &key) noexcept;

/** Returns the workspace with a name, or null if there is none. */
[[nodiscard]] const workspace *findWorkspace(const configuration_index &index, std::string_view name) noexcept;

/** Returns the service with a name, or null if there is none. */
[[nodiscard]] const service *findService(const configuration_index &index, std::string_view name) noexcept;

/** Returns the availability zone with a name, or null if there is none. */
[[nodiscard]] const availability_zone *findAvailabilityZone(const configuration_index &index, std::string_view name) noexcept;

/** Returns the rank of the importance with a name, or nothing if there is none. */
[[nodiscard]] std::optional<unsigned> findRank(const configuration_index &index, std::string_view importanceName) noexcept;

} // namespace ragwortpin

#endif
