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

/** How nodes find their first peers through the platform's store. */
struct discovery_settings
{
    /** Keys of the nodes begin with it; empty where the seeds of the settings suffice. */
    std::string prefix;
    /** Name of the own instance. */
    std::string instance;
    /** Gossip address of the own node. */
    peer_address self;
    /** Entries read, which bounds the answer. */
    std::int64_t mostEntries{500};
    /** Seeds returned; membership finds everyone else through them. */
    std::size_t mostSeeds{12};

    bool operator==(const discovery_settings &) const = default;
};

/** What one step of discovery found. */
struct discovery_result
{
    std::error_code error;
    /** Gossip addresses of other nodes, drawn at random. */
    std::vector<peer_address> seeds;
    /** Whether the own entry stands in the store as it should. */
    bool isRegistered{false};
    /** Entries that could not be read. */
    std::size_t malformed{0};

    bool operator==(const discovery_result &) const = default;
};

/**
 * Reads the entries of other nodes and writes the own one where it is missing or has another address. Entries are hints: one of
 * a node that is gone costs a datagram now and then. An entry that is not an address is counted and passed over.
 */
[[nodiscard]] discovery_result discover(const store_call &call, const discovery_settings &settings, std::mt19937_64 &random);

} // namespace ragwortpin

#endif
