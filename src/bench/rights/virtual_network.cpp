#include "bench/rights/internal/virtual_network.h"

#include "bench/rights/conservation.h"
#include "bench/rights/internal/virtual_requests.h"

#include <algorithm>
#include <utility>

namespace ragwortpin::bench::internal {

namespace {

constexpr duration StoreTimeout{milliseconds{500}};

} // namespace

double drawFraction(virtual_fleet &fleet)
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(fleet.random);
}

duration drawDuration(virtual_fleet &fleet, duration span)
{
    return duration{std::uniform_int_distribution<duration::rep>{0, std::max<duration::rep>(span.count(), 0)}(fleet.random)};
}

bool canReach(const virtual_fleet &fleet, std::size_t from, std::size_t to)
{
    if (fleet.cutNodes.contains(from) || fleet.cutNodes.contains(to)) {
        return false;
    }
    const auto &zoneFrom = fleet.nodes[from].zone;
    const auto &zoneTo = fleet.nodes[to].zone;
    return zoneFrom == zoneTo || (!fleet.cutZones.contains(zoneFrom) && !fleet.cutZones.contains(zoneTo));
}

namespace {

[[nodiscard]] bool canReachStore(const virtual_fleet &fleet, std::size_t node)
{
    return !fleet.store.outage && !fleet.cutNodes.contains(node) && !fleet.cutZones.contains(fleet.nodes[node].zone);
}

} // namespace

void runInProcess(virtual_fleet &fleet, std::size_t index, std::uint64_t generation, std::function<void(rights_state &, time_point)> run)
{
    auto &node = fleet.nodes[index];
    if (!node.alive || node.generation != generation) {
        return;
    }
    if (node.paused) {
        node.deferredActions.emplace_back([&fleet, index, generation, run = std::move(run)] {
            runInProcess(fleet, index, generation, run);
        });
        return;
    }
    run(*node.rights, localTime(fleet, node));
    sendOutput(fleet, index);
}

namespace {

void deliver(virtual_fleet &fleet, std::size_t from, std::size_t to, const std::string &bytes)
{
    if (!canReach(fleet, from, to) || drawFraction(fleet) < fleet.loss) {
        return;
    }
    const auto isSameZone = fleet.nodes[from].zone == fleet.nodes[to].zone;
    const auto base = isSameZone ? fleet.options.delayInZone : fleet.options.delayBetweenZones;
    const auto delay = base + drawDuration(fleet, base / 2) + drawDuration(fleet, fleet.jitter);
    schedule(fleet, fleet.now + delay, [&fleet, to, bytes] {
        // The message goes to the process that runs at this address on arrival, even if it started after the message was sent.
        runInProcess(fleet, to, fleet.nodes[to].generation, [&fleet, to, bytes](rights_state &state, time_point now) {
            std::error_code error;
            const auto message = decodeRightsMessage(bytes, error);
            if (!error) {
                onMessage(state, message, now);
                retryWaitingRequests(fleet, to);
            }
        });
    });
}

void sendMessage(virtual_fleet &fleet, std::size_t from, const rights_envelope &envelope)
{
    const auto bytes = encodeRightsMessage(envelope.message);
    auto &sender = fleet.nodes[from];
    ++sender.messagesSent;
    sender.bytesSent += bytes.size();
    const auto found = fleet.indexByName.find(envelope.to);
    if (found == fleet.indexByName.end()) {
        return;
    }
    const auto to = found->second;
    deliver(fleet, from, to, bytes);
    if (drawFraction(fleet) < fleet.duplication) {
        deliver(fleet, from, to, bytes);
    }
}

[[nodiscard]] store_reply applyRange(const virtual_store &store, const store_range &range)
{
    store_reply reply;
    reply.succeeded = true;
    reply.revision = store.revision;
    const auto end = range.rangeEnd.empty() ? store.entries.upper_bound(range.key) : store.entries.lower_bound(range.rangeEnd);
    for (auto entry = store.entries.lower_bound(range.key); entry != end; ++entry) {
        reply.entries.push_back(entry->second);
    }
    return reply;
}

[[nodiscard]] std::int64_t findModRevision(const virtual_store &store, const std::string &key)
{
    const auto found = store.entries.find(key);
    return found == store.entries.end() ? 0 : found->second.modRevision;
}

[[nodiscard]] store_reply applyTransaction(virtual_store &store, const store_transaction &transaction)
{
    store_reply reply;
    reply.succeeded = std::all_of(transaction.compares.begin(), transaction.compares.end(), [&store](const store_compare &compare) {
        return findModRevision(store, compare.key) == compare.modRevision;
    });
    if (reply.succeeded) {
        ++store.revision;
        ++store.writes;
        for (const auto &item : transaction.writes) {
            if (item.value) {
                store.entries[item.key] = {item.key, *item.value, store.revision};
            } else {
                store.entries.erase(item.key);
            }
        }
    } else {
        for (const auto &key : transaction.readOnFailure) {
            const auto found = store.entries.find(key);
            if (found != store.entries.end()) {
                reply.entries.push_back(found->second);
            }
        }
    }
    reply.revision = store.revision;
    return reply;
}

[[nodiscard]] store_reply apply(virtual_store &store, const store_request &request)
{
    ++store.calls;
    if (const auto *range = std::get_if<store_range>(&request)) {
        return applyRange(store, *range);
    }
    return applyTransaction(store, std::get<store_transaction>(request));
}

void scheduleStoreReply(
    virtual_fleet &fleet, std::size_t index, std::uint64_t generation, std::uint64_t token, const store_reply &reply, duration delay)
{
    schedule(fleet, fleet.now + delay, [&fleet, index, generation, token, reply] {
        runInProcess(fleet, index, generation, [token, reply](rights_state &state, time_point now) {
            onStoreReply(state, token, reply, now);
        });
    });
}

void callStore(virtual_fleet &fleet, std::size_t index, const rights_store_call &call)
{
    const auto generation = fleet.nodes[index].generation;
    store_reply failure;
    failure.error = std::make_error_code(std::errc::timed_out);
    const auto delay = fleet.options.storeDelay + drawDuration(fleet, fleet.options.storeDelay) + drawDuration(fleet, fleet.jitter);
    const auto isReplyLost = drawFraction(fleet) < fleet.store.replyLossFraction;
    schedule(fleet, fleet.now + delay / 2, [&fleet, index, generation, call, failure, delay, isReplyLost] {
        if (!canReachStore(fleet, index)) {
            scheduleStoreReply(fleet, index, generation, call.token, failure, StoreTimeout);
            return;
        }
        const auto reply = apply(fleet.store, call.request);
        scheduleStoreReply(fleet, index, generation, call.token, isReplyLost ? failure : reply, isReplyLost ? StoreTimeout : delay / 2);
    });
}

} // namespace

void sendOutput(virtual_fleet &fleet, std::size_t index)
{
    const auto output = takeOutput(*fleet.nodes[index].rights);
    for (const auto &envelope : output.messages) {
        sendMessage(fleet, index, envelope);
    }
    for (const auto &call : output.storeCalls) {
        callStore(fleet, index, call);
    }
}

} // namespace ragwortpin::bench::internal
