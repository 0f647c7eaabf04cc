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

/** Answer of one node's admin listener to GET /status. */
struct node_report
{
    endpoint address;
    /** Why there is no answer, with the remedy; empty when there is one. */
    std::string problem;
    std::string instance;
    std::string availabilityZone;
    std::string service;
    /** starting, ready, draining or gone. */
    std::string state;
    /** Revision of the configuration in force; 0 for none. */
    std::uint64_t revision{0};

    bool operator==(const node_report &) const = default;
};

/** Reads the body of an answer; the problem is set when it is not a node's status. */
[[nodiscard]] node_report parseNodeStatus(const endpoint &address, std::string_view body);

/** Asks all nodes at the same time and blocks until all answered or the timeout passed. Reports are in the order of the addresses. */
[[nodiscard]] std::vector<node_report> queryNodes(const std::vector<endpoint> &addresses, duration timeout);

/** The newest revision in force at any node, or the one that was published when that is newer. */
[[nodiscard]] std::uint64_t newestRevision(const std::vector<node_report> &reports, std::optional<std::uint64_t> published) noexcept;

} // namespace ragwortpin

#endif
