#include "bench/rights/internal/virtual_requests.h"

#include "bench/rights/conservation.h"
#include "bench/rights/internal/virtual_network.h"

#include <algorithm>
#include <utility>

namespace ragwortpin::bench {

namespace internal {

namespace {

constexpr duration RetryInterval{milliseconds{5}};

void recordAdmission(virtual_fleet &fleet, const std::string &workspace)
{
    auto &audit = fleet.audits.at(workspace);
    audit.level = std::min(audit.burst, audit.level + toSeconds(fleet.now - audit.updatedAt) * audit.rate) - 1.0;
    audit.updatedAt = fleet.now;
    audit.lowest = std::min(audit.lowest, audit.level);
    ++audit.admitted;
}

void recordRefusal(virtual_fleet &fleet, const waiting_request &request)
{
    auto &audit = fleet.audits.at(request.workspace);
    ++audit.refused;
    audit.wronglyRefused += request.withinRate ? 1 : 0;
}

/** Tries to take a token for a request and records the decision. Returns false if the request has to wait. */
[[nodiscard]] bool tryRequest(virtual_fleet &fleet, std::size_t index, const waiting_request &request)
{
    auto &node = fleet.nodes[index];
    const auto decision = takeToken(*node.rights, request.workspace, request.arrivedAt, localTime(fleet, node));
    sendOutput(fleet, index);
    if (decision.verdict == token_verdict::Admitted) {
        recordAdmission(fleet, request.workspace);
    } else if (decision.verdict == token_verdict::Refused) {
        recordRefusal(fleet, request);
    }
    return decision.verdict != token_verdict::Wait;
}

} // namespace

void retryWaitingRequests(virtual_fleet &fleet, std::size_t index)
{
    auto queue = std::exchange(fleet.waiting[index], {});
    for (auto &request : queue) {
        if (!tryRequest(fleet, index, request)) {
            fleet.waiting[index].push_back(std::move(request));
        }
    }
}

namespace {

void scheduleRetry(virtual_fleet &fleet, std::size_t index, std::uint64_t generation)
{
    schedule(fleet, fleet.now + RetryInterval, [&fleet, index, generation] {
        const auto &node = fleet.nodes[index];
        if (!node.alive || node.paused || node.generation != generation || fleet.waiting[index].empty()) {
            return;
        }
        retryWaitingRequests(fleet, index);
        if (!fleet.waiting[index].empty()) {
            scheduleRetry(fleet, index, generation);
        }
    });
}

/** Records an offered request. Returns whether the workspace's offered load, including it, conforms to its rate and burst. */
[[nodiscard]] bool recordOfferedRequest(virtual_fleet &fleet, usage_audit &audit)
{
    audit.offeredLevel = std::min(audit.burst, audit.offeredLevel + toSeconds(fleet.now - audit.offeredAt) * audit.rate);
    audit.offeredAt = fleet.now;
    if (audit.offeredLevel < 1.0) {
        return false;
    }
    audit.offeredLevel -= 1.0;
    ++audit.withinRate;
    return true;
}

} // namespace

} // namespace internal

void offerRequest(virtual_fleet &fleet, std::size_t index, const std::string &workspace)
{
    const auto &node = fleet.nodes[index];
    if (!node.alive || node.paused || node.leaving) {
        return;
    }
    const waiting_request request{workspace, localTime(fleet, node), internal::recordOfferedRequest(fleet, fleet.audits.at(workspace))};
    if (internal::tryRequest(fleet, index, request)) {
        return;
    }
    fleet.waiting[index].push_back(request);
    if (fleet.waiting[index].size() == 1) {
        internal::scheduleRetry(fleet, index, node.generation);
    }
}

void offerLoad(virtual_fleet &fleet, const std::string &workspace, double rate, std::function<std::size_t()> chooseNode, time_point until)
{
    const auto next = fleet.now + fromSeconds(std::exponential_distribution<double>{rate}(fleet.random));
    if (next > until) {
        return;
    }
    schedule(fleet, next, [&fleet, workspace, rate, chooseNode = std::move(chooseNode), until] {
        offerRequest(fleet, chooseNode(), workspace);
        offerLoad(fleet, workspace, rate, chooseNode, until);
    });
}

} // namespace ragwortpin::bench
