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

/** A route with what its importance means. */
struct indexed_route
{
    route definition;
    /** Rank of the route's importance; 0 is shed last. */
    unsigned rank{0};

    bool operator==(const indexed_route &) const = default;
};

/** A key with the position of its workspace in the configuration. */
struct indexed_key
{
    /** SHA-256 of the secret, 64 lower-case hexadecimal digits. */
    std::string digest;
    std::string name;
    std::size_t workspace{0};

    bool operator==(const indexed_key &) const = default;
};

/** Routes of one host. */
struct host_routes
{
    /** Positions in configuration_index::routes, by path. */
    string_map<std::vector<std::size_t>> byPath;
    /** Most segments of any route's path. */
    std::size_t deepestPath{0};
};

/**
 * Tables for the data path, built once for each revision and shared between threads as an immutable snapshot. Pointers
 * returned by the lookups below live as long as the index.
 */
struct configuration_index
{
    configuration value;
    /** In the order of value.routes. */
    std::vector<indexed_route> routes;
    /** Routes by host; those for every host stand under the empty name. */
    string_map<host_routes> routesByHost;
    /** Sorted by digest. */
    std::vector<indexed_key> keys;
    string_map<std::size_t> workspacesByName;
    string_map<std::size_t> servicesByName;
    string_map<unsigned> ranksByName;
    string_map<std::size_t> availabilityZonesByName;
};

/** Builds the index of a checked configuration. Objects with references that do not resolve are left out. */
[[nodiscard]] std::shared_ptr<const configuration_index> buildIndex(configuration value);

/** Result of matching a request. */
struct route_match
{
    const indexed_route *found{nullptr};

    [[nodiscard]] explicit operator bool() const noexcept
    {
        return found != nullptr;
    }

    /** The matched route. Only valid for a match. */
    [[nodiscard]] const route &definition() const noexcept
    {
        return found->definition;
    }

    /** Rank of the matched route's importance. Only valid for a match. */
    [[nodiscard]] unsigned rank() const noexcept
    {
        return found->rank;
    }
};

/**
 * Finds the route of a request: the longest matching path prefix at a segment boundary; for equal paths one with the
 * method precedes one for every method. Routes for every host are searched only where no route names the host. The case and
 * the port of the host and the query of the path are passed over. Paths that are not canonical match nothing.
 */
[[nodiscard]] route_match
findRoute(const configuration_index &index, std::string_view host, std::string_view method, std::string_view path);

/** Returns the rank of requests of a workspace on a route: that of the workspace's importance, if it has one, else the route's. */
[[nodiscard]] unsigned rankOf(const configuration_index &index, const indexed_route &route, std::string_view workspace) noexcept;

/** Finds a key by the digest of the secret that was shown, as sha256Hex() gives it; nothing when it is unknown or withdrawn. */
[[nodiscard]] const indexed_key *findKey(const configuration_index &index, std::string_view digest) noexcept;

/** Returns the workspace that a key belongs to. */
[[nodiscard]] const workspace &workspaceOf(const configuration_index &index, const indexed_key &key) noexcept;

/** Finds a workspace by name; nothing when there is none. */
[[nodiscard]] const workspace *findWorkspace(const configuration_index &index, std::string_view name) noexcept;

/** Finds a service by name; nothing when there is none. */
[[nodiscard]] const service *findService(const configuration_index &index, std::string_view name) noexcept;

/** Finds an availability zone by name; nothing when there is none. */
[[nodiscard]] const availability_zone *findAvailabilityZone(const configuration_index &index, std::string_view name) noexcept;

/** Returns the rank of an importance by name; nothing when there is none. */
[[nodiscard]] std::optional<unsigned> findRank(const configuration_index &index, std::string_view importanceName) noexcept;

} // namespace ragwortpin

#endif
