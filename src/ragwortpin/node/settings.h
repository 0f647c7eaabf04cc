#ifndef RAGWORTPIN_NODE_SETTINGS_H
#define RAGWORTPIN_NODE_SETTINGS_H

#include "ragwortpin/config/problem.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/node/fwd.h"
#include "ragwortpin/runtime/logging.h"

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

/** Reads and checks the whole text of a settings file; the file name is used in problems only. */
[[nodiscard]] node_settings_result parseNodeSettings(const std::string &file, const std::string &text);

/** Secrets that were read, or the problem. */
struct signing_keys_result
{
    signing_keys keys;
    std::string problem;

    bool operator==(const signing_keys_result &) const = default;
};

/** Reads a secret file: one secret of at least 32 characters a line, the first one signs, the others are accepted too. */
[[nodiscard]] signing_keys_result parseSigningKeys(const std::string &text);

/** Parses IP:PORT; IPv6 numbers stand in brackets. Nothing when it is none. */
[[nodiscard]] std::optional<endpoint> parseEndpoint(const std::string &text);

} // namespace ragwortpin

#endif
