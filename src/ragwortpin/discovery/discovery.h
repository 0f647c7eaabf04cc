#ifndef RAGWORTPIN_DISCOVERY_DISCOVERY_H
#define RAGWORTPIN_DISCOVERY_DISCOVERY_H

#include "ragwortpin/discovery/fwd.h"
#include "ragwortpin/membership/message.h"
#include "ragwortpin/store/store.h"

#include <cstddef>
#include <random>
#include <string>
#include <system_error>
#include <vector>

namespace ragwortpin {

/** Settings of the discovery of initial peers through the platform's store. */
struct discovery_settings
{
    /** Prefix of the keys of all nodes; empty if only the seeds from the settings are used. */
    std::string prefix;
    /** Name of this node's instance. */
    std::string instance;
    /** Gossip address of this node. */
    peer_address self;
    /** Maximum number of entries read, which limits the size of the reply. */
    std::int64_t maxEntries{500};
    /** Maximum number of seeds returned; the membership protocol finds all other nodes through them. */
    std::size_t maxSeeds{12};

    bool operator==(const discovery_settings &) const = default;
};

/** Result of one discovery step. */
struct discovery_result
{
    std::error_code error;
    /** Gossip addresses of other nodes, selected at random. */
    std::vector<peer_address> seeds;
    /** Whether the store contains this node's entry with its current address. */
    bool isRegistered{false};
    /** Number of entries of other nodes whose value is not an address. */
    std::size_t malformed{0};

    bool operator==(const discovery_result &) const = default;
};

/**
 * Reads the entries of other nodes, and writes this node's entry if it is missing or has another address. Entries may be outdated: the
 * entry of a node that no longer exists only costs an occasional datagram. Entries that are not an address are counted and skipped.
 * If the entries can't be read, nothing is written.
 */
[[nodiscard]] discovery_result discover(const store_call &call, const discovery_settings &settings, std::mt19937_64 &random);

} // namespace ragwortpin

#endif
