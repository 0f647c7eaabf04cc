#ifndef RAGWORTPIN_NODE_SETTINGS_H
#define RAGWORTPIN_NODE_SETTINGS_H

#include "ragwortpin/config/problem.h"
#include "ragwortpin/config/yaml_reader.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/http/address.h"
#include "ragwortpin/http/header_names.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/node/fwd.h"
#include "ragwortpin/overload/repeats.h"
#include "ragwortpin/runtime/logging.h"
#include "ragwortpin/targets/assignment.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ragwortpin {

/** Returns the memory of the machine, in bytes. */
[[nodiscard]] std::size_t machineMemory() noexcept;

/** Addresses that a node binds. All hosts are numeric IP addresses. */
struct node_addresses
{
    /** HTTP for external callers. */
    endpoint callers;
    /** HTTP for calls made by the node's own target. */
    endpoint egress;
    /** HTTP for forwarded calls and control calls from peers. */
    endpoint peers;
    /** UDP for gossip and loans. */
    endpoint gossip;
    /** HTTP for health checks, metrics, status and announcements of the target. */
    endpoint admin;

    bool operator==(const node_addresses &) const = default;
};

/** Settings of the graceful shutdown. */
struct shutdown_settings
{
    /**
     * Time during which the node announces that it is draining. Requests are still accepted, and those for its own target are
     * refused as Draining, so that callers and peers learn of the shutdown.
     */
    duration announcePeriod{seconds{2}};
    /** Longest time after the announce period in which requests in flight may finish. */
    duration finishTimeout{seconds{30}};

    bool operator==(const shutdown_settings &) const = default;
};

/** How workspace rates are enforced across the fleet. */
enum class rate_method : unsigned char {
    /** Each availability zone's share is divided into slots. Nodes acquire slots through the store and lend them through pool nodes. */
    Slots,
    /** Each workspace has one token bucket. Every node keeps a copy of it that it updates from the reports of the other nodes. */
    Shared,
};

/** Settings of the overload control. */
struct overload_settings
{
    /** Whether the concurrency limit of a newly announced target starts low. */
    bool coldStart{true};
    /** Whether the concurrency limit adapts to the target's service time. Otherwise it equals the announced slots. */
    bool adaptiveLimit{true};
    /** Fraction of the announced slots that is used. */
    double usableSlotFraction{1.0};
    /** Longest time that draining a queue of average requests may take. */
    duration maxQueueDelay{milliseconds{100}};
    /** Whether the first hop refuses requests by the shed levels carried in answers. */
    bool shedsByLevel{true};
    /** Whether the first hop refuses requests that exceed the capacity of the services behind a route, from the digests of the fleet. */
    bool plansAdmission{false};
    /** Whether a request that may have reached a target can be repeated at another one. */
    bool allowsRepeats{true};
    /**
     * Fleet-wide limit of repeats, that is, of retries of requests that reached a target. If both values are 0, each node keeps a
     * budget of its own.
     */
    repeat_limits fleetRepeats{};

    bool operator==(const overload_settings &) const = default;
};

/** Settings of how a node obtains configurations. */
struct configuration_settings
{
    /** Mean interval between reads of the store's head revision, over all nodes of one availability zone. */
    duration zonePollInterval{seconds{1}};
    /** Time that a starting node waits for a configuration from its peers before it reads from the store. */
    duration startGrace{seconds{1}};
    /** Window over which the first reads of nodes that start together are spread. */
    duration startSpread{seconds{2}};
    /** Whether changes are detected through a watch on the store. Requires a store protocol with watches. */
    bool watch{false};
    /**
     * Age above which the proof that the configuration is the newest has expired; keys are then no longer accepted. Zero requires
     * no proof.
     */
    duration maxProofAge{0};

    bool operator==(const configuration_settings &) const = default;
};

/** Settings of a node. */
struct node_settings
{
    /** Name of the instance, unique in the fleet. */
    std::string instance;
    std::string availabilityZone;
    node_addresses addresses;
    /** Endpoints of the platform's key-value store. */
    std::vector<endpoint> platform;
    /** Timeout of one call to the platform. */
    duration platformTimeout{milliseconds{500}};
    /** Gossip addresses of the instances that the node contacts first to join the fleet. */
    std::vector<endpoint> seeds;
    std::string secretFile;
    /** Replaces the secret file in an isolated network. It only prevents nodes of different fleets from joining each other by mistake. */
    std::string networkSecret;
    /** Target beside the node. What is not set here, the announcements of the target determine. */
    target_assignment target;
    /**
     * Prefix of the store keys under which nodes register and discover each other. Empty disables discovery, so that only the
     * seeds are used.
     */
    std::string discoveryPrefix;
    /** Names of header fields. Set by the program, not read from the file. */
    header_names headers;
    overload_settings overload;
    configuration_settings configuration;
    rate_method rateMethod{rate_method::Slots};
    http_limits limits;
    /** Memory that the process may use, in bytes. Messages get a part of it. */
    std::size_t memoryBytes{machineMemory()};
    /** OTLP/HTTP collector that spans are exported to. If absent, no spans are exported. */
    std::optional<endpoint> collector;
    /** Fraction of new traces that are sampled. */
    double sampleRatio{0.0};
    shutdown_settings shutdown;
    log_level logLevel{log_level::Info};
    /** Number of slots into which the workspace rates of an availability zone are divided. Must be the same at all nodes. */
    unsigned rateSlots{16};
    /** Time after the last confirmation of a slot at which another node may take it over. Must be the same at all nodes. */
    duration rateSlotLapse{std::chrono::hours{1}};

    bool operator==(const node_settings &) const = default;
};

/** Parsed settings and all problems found. */
struct node_settings_result
{
    node_settings settings;
    std::vector<config_problem> problems;

    bool operator==(const node_settings_result &) const = default;
};

/** Outcome of reading the settings file again. */
enum class settings_state : unsigned char {
    /** The file is as it was when it was last read. */
    Unchanged,
    /** The file has changed and is valid. */
    Changed,
    /** The file cannot be read or is invalid. */
    Unusable,
};

/** Settings that were read again; they have a meaning in the state Changed only. */
struct settings_update
{
    settings_state state{settings_state::Unchanged};
    node_settings settings;
};

/** Reads the settings file again. */
using settings_source = std::function<settings_update()>;

/** Reads the fields that a program adds to the settings file. */
using settings_extension = std::function<void(yaml_reader &reader, node_settings &settings)>;

/** Parses and validates the text of a settings file. The file name is only used in problems. */
[[nodiscard]] node_settings_result
parseNodeSettings(const std::string &file, const std::string &text, const settings_extension &extension = {});

/** Parsed secrets, or the problem that was found. */
struct signing_keys_result
{
    signing_keys keys;
    std::string problem;

    bool operator==(const signing_keys_result &) const = default;
};

/**
 * Parses the text of a secret file: one secret per line, each of at least 32 characters, at most 4. The first secret signs; all
 * of them are accepted for verification.
 */
[[nodiscard]] signing_keys_result parseSigningKeys(const std::string &text);

} // namespace ragwortpin

#endif
