#include "ragwortpin/digest/digest.h"

#include <algorithm>
#include <utility>

namespace ragwortpin {

namespace internal {

namespace {

/** Nodes of each availability zone sorted by name, the own node included. */
using zone_members = std::map<std::string, std::vector<const instance_record *>, std::less<>>;

[[nodiscard]] zone_members groupByZone(const membership_view &members)
{
    zone_members zones;
    for (const auto &record : members.instances) {
        zones[record.availabilityZone].push_back(&record);
    }
    return zones;
}

/**
 * Replaces a relay by the next node of its zone when it was inactive for `relayTimeout`, and returns to the first node after
 * `relayFailbackDelay`. This node itself never times out as relay.
 */
void updateRelay(zone_relay &relay, std::size_t nodes, bool isSelf, const digest_options &options, time_point now)
{
    if (relay.position >= nodes) {
        relay = {0, now, now};
    }
    if (isSelf && relay.position == 0) {
        relay.lastActivityAt = now;
        return;
    }
    if (!isSelf && now - relay.lastActivityAt > options.relayTimeout) {
        relay.position = (relay.position + 1) % nodes;
        relay.lastActivityAt = now;
        relay.failedOverAt = now;
    } else if (relay.position > 0 && now - relay.failedOverAt > options.relayFailbackDelay) {
        relay = {0, now, now};
    }
}

[[nodiscard]] const instance_record *
relayOf(digest_state &state, const std::string &zone, const std::vector<const instance_record *> &nodes, time_point now)
{
    const auto [entry, added] = state.relays.try_emplace(zone, zone_relay{0, now, now});
    auto &relay = entry->second;
    const auto position = std::min(relay.position, nodes.size() - 1);
    updateRelay(relay, nodes.size(), nodes[position]->name == state.instance, state.options, now);
    return nodes[relay.position];
}

/** Encodes digests as one message, which is split into as many datagrams as needed. */
[[nodiscard]] std::vector<std::string> encodeMessage(const std::vector<const node_digest *> &digests)
{
    std::vector<std::string> payloads;
    std::size_t position{0};
    while (position < digests.size()) {
        auto payload = encodeDigests(digests, position);
        payloads.push_back(std::move(payload));
    }
    return payloads;
}

/** Returns the digests that were not forwarded yet and for whose entries the condition holds. */
template<typename Condition>
[[nodiscard]] std::vector<const node_digest *> unforwardedDigests(const digest_state &state, Condition isWanted)
{
    std::vector<const node_digest *> digests;
    for (const auto &[name, entry] : state.entries) {
        if (!entry.isForwarded && isWanted(entry)) {
            digests.push_back(&entry.digest);
        }
    }
    return digests;
}

/** Returns the datagrams of a relay: the digests of its zone to the relays of other zones, all digests to the nodes of its zone. */
[[nodiscard]] std::vector<digest_output>
makeRelayDatagrams(digest_state &state, const node_digest &own, const zone_members &zones, time_point now)
{
    auto zoneDigests = unforwardedDigests(state, [&state](const digest_entry &entry) {
        return entry.digest.availabilityZone == state.availabilityZone;
    });
    zoneDigests.push_back(&own);
    auto allDigests = unforwardedDigests(state, [](const digest_entry &) {
        return true;
    });
    allDigests.push_back(&own);
    digest_output toZones{.recipients = {}, .payloads = encodeMessage(zoneDigests)};
    digest_output toNodes{.recipients = {}, .payloads = encodeMessage(allDigests)};
    for (const auto &[zone, nodes] : zones) {
        if (zone != state.availabilityZone) {
            const auto *relay = relayOf(state, zone, nodes, now);
            toZones.recipients.push_back(*relay);
            if (relay != nodes.front()) {
                toZones.recipients.push_back(*nodes.front());
            }
            continue;
        }
        for (const auto *node : nodes) {
            if (node->name != state.instance) {
                toNodes.recipients.push_back(*node);
            }
        }
    }
    for (auto &[name, entry] : state.entries) {
        entry.isForwarded = true;
    }
    return {std::move(toZones), std::move(toNodes)};
}

/** Returns the datagrams of a node that is not a relay: its own digest and those that nodes of other zones sent to it. */
[[nodiscard]] std::vector<digest_output> makeNodeDatagrams(digest_state &state, const node_digest &own, const instance_record &relay)
{
    auto digests = unforwardedDigests(state, [](const digest_entry &entry) {
        return entry.isFromOtherZone;
    });
    digests.push_back(&own);
    digest_output output{.recipients = {relay}, .payloads = encodeMessage(digests)};
    for (auto &[name, entry] : state.entries) {
        entry.isForwarded = entry.isForwarded || entry.isFromOtherZone;
    }
    return {std::move(output)};
}

/** Returns whether a message comes from another zone. The digests of an unknown sender's message tell, as relays send those of their zone.
 */
[[nodiscard]] bool isFromOtherZone(const digest_state &state, const instance_record *sender, const std::vector<node_digest> &digests)
{
    if (sender != nullptr) {
        return sender->availabilityZone != state.availabilityZone;
    }
    return std::none_of(digests.begin(), digests.end(), [&state](const node_digest &digest) {
        return digest.availabilityZone == state.availabilityZone;
    });
}

/** Records that a node acts as relay of its zone. It replaces a relay that comes later in the order of names. */
void recordRelayActivity(digest_state &state, std::string_view sender, const membership_view &members, time_point now)
{
    const auto zones = groupByZone(members);
    for (const auto &[zone, nodes] : zones) {
        const auto found = std::find_if(nodes.begin(), nodes.end(), [sender](const instance_record *record) {
            return record->name == sender;
        });
        if (found == nodes.end()) {
            continue;
        }
        const auto position = static_cast<std::size_t>(found - nodes.begin());
        auto &relay = state.relays.try_emplace(zone, zone_relay{position, now, now}).first->second;
        if (position < relay.position) {
            relay.position = position;
            relay.failedOverAt = now;
        }
        if (position == relay.position) {
            relay.lastActivityAt = now;
        }
        return;
    }
}

} // namespace

} // namespace internal

digest_state startDigests(const digest_options &options, std::string instance, std::string availabilityZone)
{
    digest_state state;
    state.options = options;
    state.instance = std::move(instance);
    state.availabilityZone = std::move(availabilityZone);
    return state;
}

std::vector<digest_output> tickDigests(digest_state &state, const node_digest &own, const membership_view &members, time_point now)
{
    std::erase_if(state.entries, [&](const auto &entry) {
        return now - entry.second.receivedAt > state.options.maxAge;
    });
    const auto zones = internal::groupByZone(members);
    const auto ownZone = zones.find(state.availabilityZone);
    if (ownZone == zones.end()) {
        return {};
    }
    const auto *relay = internal::relayOf(state, ownZone->first, ownZone->second, now);
    if (relay->name == state.instance) {
        return internal::makeRelayDatagrams(state, own, zones, now);
    }
    return internal::makeNodeDatagrams(state, own, *relay);
}

std::optional<std::vector<node_digest>>
receiveDigests(digest_state &state, std::string_view sender, const membership_view &members, std::string_view payload, time_point now)
{
    auto digests = decodeDigests(payload);
    if (!digests) {
        return std::nullopt;
    }
    const bool carriesOthers{digests->size() > 1 || (digests->size() == 1 && digests->front().usage.instance != sender)};
    const bool isForeign{internal::isFromOtherZone(state, findInstance(members, sender), *digests)};
    if (carriesOthers || isForeign) {
        internal::recordRelayActivity(state, sender, members, now);
    }
    std::vector<node_digest> accepted;
    for (auto &digest : *digests) {
        if (digest.usage.instance == state.instance) {
            continue;
        }
        auto &entry = state.entries[digest.usage.instance];
        const bool isOutdated{entry.digest.usage.incarnation == digest.usage.incarnation
                              && digest.usage.sequence <= entry.digest.usage.sequence};
        if (isOutdated) {
            continue;
        }
        const bool isSameTarget{entry.digest.usage.incarnation == digest.usage.incarnation && entry.digest.service == digest.service};
        auto profiles = digest.profiles.empty() && isSameTarget ? std::move(entry.profiles) : digest.profiles;
        entry = {.digest = digest, .profiles = std::move(profiles), .receivedAt = now, .isForwarded = false, .isFromOtherZone = isForeign};
        accepted.push_back(std::move(digest));
    }
    return accepted;
}

} // namespace ragwortpin
