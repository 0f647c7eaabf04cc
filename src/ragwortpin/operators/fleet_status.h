#ifndef RAGWORTPIN_OPERATORS_FLEET_STATUS_H
#define RAGWORTPIN_OPERATORS_FLEET_STATUS_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/operators/fwd.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Response of a node's admin listener to GET /status. */
struct node_report
{
    endpoint address;
    /** Why the status is not available and what to do about it; empty when it is available. */
    std::string problem;
    std::string instance;
    std::string availabilityZone;
    std::string service;
    /** State of the instance: starting, ready, draining or gone. */
    std::string state;
    /** Revision of the configuration in force; 0 when there is none. */
    std::uint64_t revision{0};

    bool operator==(const node_report &) const = default;
};

/** Parses the body of a response to GET /status. Sets the problem when the body is not the status of a node. */
[[nodiscard]] node_report parseNodeStatus(const endpoint &address, std::string_view body);

/** Queries all nodes concurrently and blocks until all have answered or the timeout expires. Reports are in the order of the addresses. */
[[nodiscard]] std::vector<node_report> queryNodes(const std::vector<endpoint> &addresses, duration timeout);

/** Returns the newest of the published revision and the revisions in force at the nodes. */
[[nodiscard]] std::uint64_t newestRevision(const std::vector<node_report> &reports, std::optional<std::uint64_t> published) noexcept;

} // namespace ragwortpin

#endif
