#ifndef RAGWORTPIN_DIGEST_DIGEST_H
#define RAGWORTPIN_DIGEST_DIGEST_H

#include "ragwortpin/core/string_hash.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/digest/fwd.h"
#include "ragwortpin/membership/message.h"
#include "ragwortpin/overload/plan.h"
#include "ragwortpin/rates/shared_rates.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Report that a node sends to the fleet several times per second: the load of its target and the usage it admitted. */
struct node_digest
{
    std::string availabilityZone;
    /** Service of the target; empty while there is no target that accepts requests. */
    std::string service;
    /** Concurrency limit of the target, requests running at it and requests queued for it. */
    std::uint32_t limit{0};
    std::uint32_t running{0};
    std::uint32_t queued{0};
    /** Cost of the runs of each route at the target, and the calls that these runs make. Empty in most rounds; see `profileRounds`. */
    std::vector<route_profile> profiles;
    /** Rates of requests that arrive at the node from outside the fleet. */
    std::vector<route_demand> demands;
    usage_report usage;

    bool operator==(const node_digest &) const = default;
};

/** Settings of the digest exchange. They must be the same on all nodes of a fleet. */
struct digest_options
{
    /** Interval between rounds. */
    duration interval{milliseconds{250}};
    /** Time without activity of a relay after which the next node of the zone replaces it. */
    duration relayTimeout{milliseconds{800}};
    /** Time after the replacement at which the first node of the zone is tried as relay again. */
    duration relayFailbackDelay{seconds{5}};
    /** Age above which a digest is discarded. */
    duration maxAge{seconds{2}};
    /** Number of rounds after which a node includes its profiles again, since they change slowly. */
    std::uint64_t profileRounds{4};

    bool operator==(const digest_options &) const = default;
};

/** A received digest and its reception time. */
struct digest_entry
{
    node_digest digest;
    /** Profiles of the last digest of the same target that had any. */
    std::vector<route_profile> profiles;
    time_point receivedAt{};
    /** Whether the digest was passed on since its reception. */
    bool isForwarded{false};
    /** Whether a node of another availability zone sent the digest to this node, which need not be the relay of its zone. */
    bool isFromOtherZone{false};

    bool operator==(const digest_entry &) const = default;
};

/** Relay of an availability zone from the view of one node. */
struct zone_relay
{
    /** Index of the relay among the nodes of the zone, sorted by name. */
    std::size_t position{0};
    /** Time of the last activity of the relay or of its selection; start of `relayTimeout`. */
    time_point lastActivityAt{};
    /** Time at which the relay was last changed; start of `relayFailbackDelay`. */
    time_point failedOverAt{};

    bool operator==(const zone_relay &) const = default;
};

/** State of the digest exchange at one node. */
struct digest_state
{
    digest_options options;
    std::string instance;
    std::string availabilityZone;
    /** Received digests by instance name, without the node's own. */
    string_map<digest_entry> entries;
    /** Relays by availability zone. */
    std::map<std::string, zone_relay, std::less<>> relays;

    [[nodiscard]] bool operator==(const digest_state &) const = default;
};

/** Datagrams to send, and the nodes that each of them is sent to. */
struct digest_output
{
    std::vector<instance_record> recipients;
    std::vector<std::string> payloads;

    bool operator==(const digest_output &) const = default;
};

/** Creates the state of the digest exchange at one node. */
[[nodiscard]] digest_state startDigests(const digest_options &options, std::string instance, std::string availabilityZone);

/**
 * Returns the datagrams of one round. Each node sends its digest to the relay of its zone, usually the first node by name that is
 * active. A relay forwards the new digests of its zone to the relays of the other zones, and all new digests to the nodes of its zone.
 * So a node that is not a relay sends one message per round and receives one from its relay, independent of the fleet size, and each
 * pair of zones exchanges one message per direction. A message is split into several datagrams if the digests exceed one.
 *
 * Two relays may each take another node for the relay of the other zone, for example while nodes start and know few others. So a node
 * that is not a relay passes digests that other zones sent to it on to its relay, and where a zone's first node was replaced as relay,
 * other zones send to the first node as well.
 */
[[nodiscard]] std::vector<digest_output>
tickDigests(digest_state &state, const node_digest &own, const membership_view &members, time_point now);

/** Stores the digests of a received datagram. Returns those that are new, or std::nullopt if the datagram is malformed. */
[[nodiscard]] std::optional<std::vector<node_digest>>
receiveDigests(digest_state &state, std::string_view sender, const membership_view &members, std::string_view payload, time_point now);

/**
 * Removes elements from the ends of the lists of a digest until it fits a datagram: first usages, down to a minimum count that lets
 * all workspaces of a large fleet be reported in turn within a second, then profiles down to one, then demands.
 */
void truncateToDatagram(node_digest &digest);

/**
 * Encodes digests as MessagePack, starting at the given position, until the datagram is full. Advances the position to the first digest
 * that was not encoded.
 */
[[nodiscard]] std::string encodeDigests(const std::vector<const node_digest *> &digests, std::size_t &position);

/** Decodes a payload. Returns std::nullopt if the bytes are not a valid sequence of digests. */
[[nodiscard]] std::optional<std::vector<node_digest>> decodeDigests(std::string_view payload);

} // namespace ragwortpin

#endif
