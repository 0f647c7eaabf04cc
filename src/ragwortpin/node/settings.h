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

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ragwortpin {

/** Addresses that a node binds, all IP numbers. */
struct node_addresses
{
    /** HTTP for callers outside. */
    endpoint callers;
    /** HTTP for the calls of the node's own target. */
    endpoint egress;
    /** HTTP for forwarded calls and control calls of peers. */
    endpoint peers;
    /** UDP for gossip and loans. */
    endpoint gossip;
    /** HTTP for health, metrics, status and the target's announcements. */
    endpoint admin;

    bool operator==(const node_addresses &) const = default;
};

/** How a node ends. */
struct shutdown_settings
{
    /** Time during which requests are still accepted and refused as draining, so that others learn of it. */
    duration announce{seconds{2}};
    /** Longest time for the requests in flight to finish. */
    duration finish{seconds{30}};

    bool operator==(const shutdown_settings &) const = default;
};

/** How workspace rates are kept over the fleet. */
enum class rate_method : unsigned char {
    /** Slots of each zone's share, owned through the store and lent through pools. */
    Slots,
    /** One bucket for each workspace, of which every node keeps a copy by the reports of the others. */
    Shared,
};

/** How a node decides under load. */
struct overload_settings
{
    /** Whether a target that announces itself anew starts with few requests at once. */
    bool coldStart{true};
    /** Whether the number of requests at once follows the target's service time; it is the announced slots otherwise. */
    bool adaptiveLimit{true};
    /** Part of the announced slots that is used. */
    double usedSlots{1.0};
    /** Longest time that a queue of average requests may take to empty. */
    duration longestQueueDelay{milliseconds{100}};
    /** Whether the first hop refuses by the shed levels that answers carry. */
    bool shedsByLevel{true};
    /** Whether the first hop refuses what the services behind a route cannot do, as learned from the whole fleet. */
    bool plansAdmission{false};
    /** Whether a request that may have arrived at a target is ever sent to another one. */
    bool repeatsArrivals{true};
    /**
     * Requests that the whole fleet may send again to a service although they arrived at a target. Where both figures are 0 each
     * node keeps a budget of its own.
     */
    repeat_limits fleetRepeats{};

    bool operator==(const overload_settings &) const = default;
};

/** How a node learns of configurations. */
struct configuration_settings
{
    /** Mean time between two reads of the store's head by one availability zone. */
    duration zonePollInterval{seconds{1}};
    /** Time that a starting node gives its peers before it reads from the store. */
    duration startGrace{seconds{1}};
    /** Time over which the first reads of nodes that start together are spread. */
    duration startSpread{seconds{2}};
    /** Whether a watch at the store tells of changes, where its protocol has one. */
    bool watch{false};
    /** Age of the proof that the configuration is the newest from which on keys are not accepted; zero accepts them always. */
    duration longestProofAge{0};

    bool operator==(const configuration_settings &) const = default;
};

/** Settings of a node. */
struct node_settings
{
    /** Name of the instance, unique in the fleet. */
    std::string instance;
    std::string availabilityZone;
    node_addresses addresses;
    /** Endpoints of the platform's key-value service. */
    std::vector<endpoint> platform;
    /** Longest time for one call to the platform. */
    duration platformTimeout{milliseconds{500}};
    /** Gossip addresses of instances to join first. */
    std::vector<endpoint> seeds;
    std::string secretFile;
    /** Secret of a network that nobody else reaches, in place of a file; it guards against mixing fleets up and no more. */
    std::string networkSecret;
    /** Service of the target beside the node; empty leaves it to the target's announcements. */
    std::string service;
    /** Prefix of the nodes' keys in the store, through which they find each other; empty where seeds suffice. */
    std::string discoveryPrefix;
    /** Names of header fields; set by the program, not by the file. */
    header_names headers;
    overload_settings overload;
    configuration_settings configuration;
    rate_method rateMethod{rate_method::Slots};
    http_limits limits;
    /** OTLP/HTTP collector for spans; none when absent. */
    std::optional<endpoint> collector;
    /** Fraction of new traces that are sampled. */
    double sampleRatio{0.0};
    shutdown_settings shutdown;
    log_level logLevel{log_level::Info};
    /** Slots of workspace rates in each availability zone; the same at all nodes. */
    unsigned rateSlots{16};
    /** Time since its last confirmation after which a slot may be taken over; the same at all nodes. */
    duration rateSlotLapse{std::chrono::hours{1}};

    bool operator==(const node_settings &) const = default;
};

/** Settings that were read, with every problem found. */
struct node_settings_result
{
    node_settings settings;
    std::vector<config_problem> problems;

    bool operator==(const node_settings_result &) const = default;
};

/** Reads the fields that a program adds to the settings. */
using settings_extension = std::function<void(yaml_reader &reader, node_settings &settings)>;

/** Reads and checks the whole text of a settings file; the file name is used in problems only. */
[[nodiscard]] node_settings_result
parseNodeSettings(const std::string &file, const std::string &text, const settings_extension &extension = {});

/** Secrets that were read, or the problem. */
struct signing_keys_result
{
    signing_keys keys;
    std::string problem;

    bool operator==(const signing_keys_result &) const = default;
};

/** Reads a secret file: one secret of at least 32 characters a line, the first one signs, the others are accepted too. */
[[nodiscard]] signing_keys_result parseSigningKeys(const std::string &text);

} // namespace ragwortpin

#endif
