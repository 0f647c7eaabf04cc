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

/** What a node tells the fleet several times a second: the load of its target and what it admitted. */
struct node_digest
{
    std::string availabilityZone;
    /** Service of the target; empty while there is none that takes work. */
    std::string service;
    /** Requests that the target works on at once, those that it works on and those that wait for it. */
    std::uint32_t limit{0};
    std::uint32_t running{0};
    std::uint32_t queued{0};
    /** What runs of each route cost at the target, and the calls that they make. */
    std::vector<route_profile> profiles;
    /** Requests from outside that arrive at the node. */
    std::vector<route_demand> demands;
    usage_report usage;

    bool operator==(const node_digest &) const = default;
};

/** Settings of the exchange of digests. All nodes of a fleet use the same ones. */
struct digest_options
{
    /** Time from one round to the next. */
    duration interval{milliseconds{250}};
    /** Silence of a relay after which the next node of the zone is used in its place. */
    duration relayTimeout{milliseconds{800}};
    /** Time after which the first node of the zone is tried as relay again. */
    duration relayReturn{seconds{5}};
    /** Age from which on a digest is not passed on or used any more. */
    duration lifetime{seconds{2}};

    bool operator==(const digest_options &) const = default;
};

/** A digest with when it came. */
struct digest_entry
{
    node_digest digest;
    time_point heardAt{};
    /** Whether it was passed on since it came. */
    bool isForwarded{false};

    bool operator==(const digest_entry &) const = default;
};

/** Relay of one availability zone as one node sees it. */
struct zone_relay
{
    /** Position among the zone's nodes in the order of their names. */
    std::size_t position{0};
    /** Instant from which its silence counts. */
    time_point trustedSince{};
    /** Instant at which a node other than the first became the relay. */
    time_point movedAt{};

    bool operator==(const zone_relay &) const = default;
};

/** State of the exchange at one node. */
struct digest_state
{
    digest_options options;
    std::string instance;
    std::string availabilityZone;
    /** By instance, the own one left out. */
    string_table<digest_entry> entries;
    /** By availability zone. */
    std::map<std::string, zone_relay, std::less<>> relays;

    [[nodiscard]] bool operator==(const digest_state &) const = default;
};

/** A datagram to send. */
struct digest_output
{
    instance_record to;
    std::string payload;

    bool operator==(const digest_output &) const = default;
};

/** Starts the exchange at one node. */
[[nodiscard]] digest_state startDigests(const digest_options &options, std::string instance, std::string availabilityZone);

/**
 * Makes the datagrams of one round. Each node sends its digest to the relay of its zone: the first node by name that is not
 * silent. A relay passes the digests of its zone on to the relays of the others, and what it heard to the nodes of its zone. So a
 * node sends and receives one message a round whatever the size of the fleet, and zones exchange one for each pair.
 */
[[nodiscard]] std::vector<digest_output>
tickDigests(digest_state &state, const node_digest &own, const membership_view &members, time_point now);

/** Takes over a datagram; returns the digests in it that are new, or nothing when it is malformed. */
[[nodiscard]] std::optional<std::vector<node_digest>>
receiveDigests(digest_state &state, std::string_view sender, const membership_view &members, std::string_view payload, time_point now);

/**
 * Shortens the lists of a digest until it fits a datagram, from their ends: usages first, down to a number that lets all workspaces
 * of a large fleet have their turn within a second, then profiles and demands.
 */
void fitDatagram(node_digest &digest);

/** Encodes digests as MessagePack, as many from the given position on as fit a datagram; the position is moved behind them. */
[[nodiscard]] std::string encodeDigests(const std::vector<const node_digest *> &digests, std::size_t &position);

/** Decodes a payload; nothing when the bytes are not a valid one. */
[[nodiscard]] std::optional<std::vector<node_digest>> decodeDigests(std::string_view payload);

} // namespace ragwortpin

#endif
