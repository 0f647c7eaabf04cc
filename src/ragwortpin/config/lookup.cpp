#include "ragwortpin/config/lookup.h"

#include "ragwortpin/config/path.h"
#include "ragwortpin/identity/digest.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace ragwortpin {

namespace internal {

/** Returns the number of segments of a route's path; 0 for "/". */
std::size_t segmentCount(std::string_view path) noexcept
{
    return path == "/" ? 0 : static_cast<std::size_t>(std::count(path.begin(), path.end(), '/'));
}

template<typename Object>
string_map<std::size_t> positionsByName(const std::vector<Object> &objects)
{
    string_map<std::size_t> positions;
    for (std::size_t position{0}; position < objects.size(); ++position) {
        positions.emplace(objects[position].name, position);
    }
    return positions;
}

bool hasKnownServices(const configuration_index &index, const route &item)
{
    if (item.split.empty()) {
        return index.servicesByName.contains(item.service);
    }
    return std::all_of(item.split.begin(), item.split.end(), [&index](const weighted_service &part) {
        return index.servicesByName.contains(part.service);
    });
}

/** Returns a host in lower case and without the port. */
std::string hostName(std::string_view field)
{
    std::string name{field.substr(0, field.find(':'))};
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return name;
}

void indexRoutes(configuration_index &index)
{
    for (const auto &item : index.value.routes) {
        const auto rank = index.ranksByName.find(item.importance);
        const bool isServed{rank != index.ranksByName.end() && hasKnownServices(index, item)};
        if (!isServed && !item.belowOnly) {
            continue;
        }
        auto &routes = index.routesByHost[hostName(item.host)];
        auto &positions = routes.byPath[item.path];
        routes.maxSegmentCount = std::max(routes.maxSegmentCount, segmentCount(item.path));
        if (isServed) {
            positions.push_back(index.routes.size());
            index.routes.push_back({item, rank->second});
        }
    }
}

void indexKeys(configuration_index &index)
{
    for (const auto &item : index.value.keys) {
        const auto position = index.workspacesByName.find(item.workspace);
        if (position != index.workspacesByName.end()) {
            index.keys.push_back({item.sha256, item.name, position->second});
        }
    }
    std::sort(index.keys.begin(), index.keys.end(), [](const indexed_key &left, const indexed_key &right) {
        return left.digest < right.digest;
    });
}

/** Fields of a request that routes are matched against. */
struct match_input
{
    std::string_view method;
    /** Path without the query. */
    std::string_view path;
};

/** Returns the route for the request among routes with the path prefix, preferring one for the request's method; null if none matches. */
const indexed_route *selectByMethod(const configuration_index &index,
                                    const std::vector<std::size_t> &positions,
                                    std::string_view prefix,
                                    const match_input &request) noexcept
{
    const bool isBelowPrefix{request.path.size() > prefix.size() || prefix == "/"};
    const indexed_route *anyMethod{nullptr};
    for (const auto position : positions) {
        const auto &candidate = index.routes[position];
        if (candidate.definition.belowOnly && !isBelowPrefix) {
            continue;
        }
        if (candidate.definition.method == request.method) {
            return &candidate;
        }
        if (candidate.definition.method.empty()) {
            anyMethod = &candidate;
        }
    }
    return anyMethod;
}

/** Returns the route with the path prefix, a match without a route if it cannot be served, or nothing if no such route matches. */
std::optional<route_match>
findByPath(const configuration_index &index, const host_routes &routes, std::string_view prefix, const match_input &request) noexcept
{
    const auto positions = routes.byPath.find(prefix);
    if (positions == routes.byPath.end()) {
        return std::nullopt;
    }
    const auto *found = selectByMethod(index, positions->second, prefix, request);
    const bool isLeftOut{positions->second.empty() && request.path.size() > prefix.size()};
    return found != nullptr || isLeftOut ? std::optional{route_match{found}} : std::nullopt;
}

const host_routes *findHost(const configuration_index &index, std::string_view host)
{
    auto found = index.routesByHost.find(hostName(host));
    if (found == index.routesByHost.end()) {
        found = index.routesByHost.find(std::string_view{});
    }
    return found == index.routesByHost.end() ? nullptr : &found->second;
}

/** Returns the prefix of a path with at most the given number of segments, without a '/' at the end. */
std::string_view truncatePath(std::string_view path, std::size_t segments) noexcept
{
    std::size_t end{0};
    for (std::size_t count{0}; count < segments && end < path.size(); ++count) {
        end = std::min(path.find('/', end + 1), path.size());
    }
    const auto prefix = path.substr(0, end);
    return prefix.ends_with('/') ? prefix.substr(0, prefix.size() - 1) : prefix;
}

template<typename Object>
const Object *findByName(const std::vector<Object> &objects, const string_map<std::size_t> &positions, std::string_view name) noexcept
{
    const auto position = positions.find(name);
    return position == positions.end() ? nullptr : &objects[position->second];
}

} // namespace internal

std::shared_ptr<const configuration_index> buildIndex(configuration value)
{
    auto index = std::make_shared<configuration_index>();
    index->value = std::move(value);
    index->workspacesByName = internal::positionsByName(index->value.workspaces);
    index->servicesByName = internal::positionsByName(index->value.services);
    index->availabilityZonesByName = internal::positionsByName(index->value.availabilityZones);
    for (const auto &item : index->value.importances) {
        index->ranksByName.emplace(item.name, item.rank);
    }
    internal::indexRoutes(*index);
    internal::indexKeys(*index);
    return index;
}

route_match findRoute(const configuration_index &index, std::string_view host, std::string_view method, std::string_view path)
{
    const internal::match_input request{method, path.substr(0, path.find('?'))};
    const auto *routes = internal::findHost(index, host);
    if (routes == nullptr || !isCanonicalPath(request.path)) {
        return {};
    }
    auto prefix = internal::truncatePath(request.path, routes->maxSegmentCount);
    while (!prefix.empty()) {
        if (const auto found = internal::findByPath(index, *routes, prefix, request)) {
            return *found;
        }
        prefix = prefix.substr(0, prefix.rfind('/'));
    }
    return internal::findByPath(index, *routes, "/", request).value_or(route_match{});
}

unsigned effectiveRank(const configuration_index &index, const indexed_route &route, std::string_view workspace) noexcept
{
    const auto *found = workspace.empty() ? nullptr : findWorkspace(index, workspace);
    if (found == nullptr || found->importance.empty()) {
        return route.rank;
    }
    return findRank(index, found->importance).value_or(route.rank);
}

const indexed_key *findKey(const configuration_index &index, std::string_view digest) noexcept
{
    // The search is not constant-time, but it compares digests only. Its timing reveals nothing that helps to find a secret.
    const auto candidate
        = std::lower_bound(index.keys.begin(), index.keys.end(), digest, [](const indexed_key &key, std::string_view wanted) {
              return key.digest < wanted;
          });
    if (candidate == index.keys.end() || !constantTimeEqual(candidate->digest, digest)) {
        return nullptr;
    }
    return &*candidate;
}

const workspace &workspaceOf(const configuration_index &index, const indexed_key &key) noexcept
{
    return index.value.workspaces[key.workspace];
}

const workspace *findWorkspace(const configuration_index &index, std::string_view name) noexcept
{
    return internal::findByName(index.value.workspaces, index.workspacesByName, name);
}

const service *findService(const configuration_index &index, std::string_view name) noexcept
{
    return internal::findByName(index.value.services, index.servicesByName, name);
}

const availability_zone *findAvailabilityZone(const configuration_index &index, std::string_view name) noexcept
{
    return internal::findByName(index.value.availabilityZones, index.availabilityZonesByName, name);
}

std::optional<unsigned> findRank(const configuration_index &index, std::string_view importanceName) noexcept
{
    const auto rank = index.ranksByName.find(importanceName);
    if (rank == index.ranksByName.end()) {
        return std::nullopt;
    }
    return rank->second;
}

} // namespace ragwortpin
