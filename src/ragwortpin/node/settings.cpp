#include "ragwortpin/node/settings.h"

#include "ragwortpin/config/yaml_reader.h"
#include "ragwortpin/core/names.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace ragwortpin {

namespace {

constexpr std::size_t MinSecretLength{32};
constexpr std::size_t MaxSecretCount{4};
constexpr milliseconds MaxSlotLapse{std::chrono::hours{48}};
constexpr std::size_t MaxNameLength{64};
/** Far above the number of requests that any fleet serves within the window in which repeats are counted. */
constexpr double MaxFleetRepeatRequests{1e6};

bool isInstanceName(const std::string &name) noexcept
{
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
    };
    return !name.empty() && name.size() <= MaxNameLength && std::all_of(name.begin(), name.end(), allowed);
}

std::string readName(yaml_reader &reader, std::string_view field)
{
    auto name = reader.readString(field);
    if (!name.empty() && !isInstanceName(name)) {
        reader.report(field, "'" + name + "' is not a valid name", "use 1 to 64 lower-case letters, digits and '-'");
    }
    return name;
}

endpoint readEndpoint(yaml_reader &reader, std::string_view field)
{
    const auto text = reader.readString(field);
    const auto parsed = parseEndpoint(text);
    if (!parsed && !text.empty()) {
        reader.report(field, "'" + text + "' is not an address", "write IP:PORT with an IP number and a port from 1 to 65535");
    }
    return parsed.value_or(endpoint{});
}

std::vector<endpoint> readEndpoints(yaml_reader &reader, std::string_view field)
{
    std::vector<endpoint> endpoints;
    for (const auto &text : reader.readStrings(field)) {
        const auto parsed = parseEndpoint(text);
        if (parsed) {
            endpoints.push_back(*parsed);
        } else {
            reader.report(field, "'" + text + "' is not an address", "write IP:PORT with an IP number and a port from 1 to 65535");
        }
    }
    return endpoints;
}

void reportAddressConflicts(yaml_reader &reader, const node_addresses &addresses)
{
    struct named_endpoint
    {
        std::string_view field;
        const endpoint &value;
    };
    const std::array listeners{named_endpoint{"callers", addresses.callers},
                               named_endpoint{"egress", addresses.egress},
                               named_endpoint{"peers", addresses.peers},
                               named_endpoint{"admin", addresses.admin}};
    for (std::size_t second{1}; second < listeners.size(); ++second) {
        for (std::size_t first{0}; first < second; ++first) {
            const bool isConflict = listeners[first].value == listeners[second].value && listeners[first].value.port != 0;
            if (isConflict) {
                reader.report(listeners[second].field,
                              "the address is already used by '" + std::string{listeners[first].field} + "'",
                              "give each listener a port of its own");
            }
        }
    }
}

void readAddresses(yaml_reader &reader, node_settings &settings)
{
    auto section = reader.readMapping("addresses");
    if (!section) {
        reader.report("addresses", "the field is missing", "add the addresses callers, egress, peers, gossip and admin");
        return;
    }
    auto &addresses = settings.addresses;
    addresses.callers = readEndpoint(*section, "callers");
    addresses.egress = readEndpoint(*section, "egress");
    addresses.peers = readEndpoint(*section, "peers");
    addresses.gossip = readEndpoint(*section, "gossip");
    addresses.admin = readEndpoint(*section, "admin");
    reportAddressConflicts(*section, addresses);
    section->finish();
}

void readPlatform(yaml_reader &reader, node_settings &settings)
{
    auto section = reader.readMapping("platform");
    if (!section) {
        reader.report("platform", "the field is missing", "add the endpoints of the platform's key-value store");
        return;
    }
    settings.platform = readEndpoints(*section, "endpoints");
    if (settings.platform.empty()) {
        section->report("endpoints", "the list has no endpoints", "give at least one IP:PORT of the platform's key-value store");
    }
    settings.platformTimeout = section->readMilliseconds("timeout_ms", {milliseconds{10}, milliseconds{10'000}}, milliseconds{500});
    section->finish();
}

void readLimits(yaml_reader &reader, http_limits &limits, std::size_t &memoryBytes)
{
    auto section = reader.readMapping("limits");
    if (!section) {
        return;
    }
    constexpr std::uint64_t Kibibyte{1024};
    constexpr std::uint64_t Mebibyte{1024 * Kibibyte};
    limits.headerBytes = static_cast<std::uint32_t>(section->readInteger("header_bytes", {Kibibyte, 256 * Kibibyte}, limits.headerBytes));
    limits.requestBodyBytes = section->readInteger("request_body_bytes", {0, 64 * Mebibyte}, limits.requestBodyBytes);
    limits.responseBodyBytes = section->readInteger("response_body_bytes", {Kibibyte, 256 * Mebibyte}, limits.responseBodyBytes);
    limits.connections = section->readInteger("connections", {1, 65536}, limits.connections);
    memoryBytes = section->readInteger("memory_mb", {64, Mebibyte}, memoryBytes / Mebibyte) * Mebibyte;
    limits.idleTimeout = section->readMilliseconds("idle_timeout_ms", {milliseconds{100}, milliseconds{3'600'000}}, seconds{30});
    section->finish();
}

void readTelemetry(yaml_reader &reader, node_settings &settings)
{
    auto section = reader.readMapping("telemetry");
    if (!section) {
        return;
    }
    if (section->has("collector")) {
        settings.collector = readEndpoint(*section, "collector");
    }
    settings.sampleRatio = section->readNumber("sample_ratio", {0.0, 1.0}, 0.0);
    section->finish();
}

void readShutdown(yaml_reader &reader, shutdown_settings &shutdown)
{
    auto section = reader.readMapping("shutdown");
    if (!section) {
        return;
    }
    shutdown.announcePeriod = section->readMilliseconds("announce_ms", {milliseconds{0}, milliseconds{60'000}}, milliseconds{2'000});
    shutdown.finishTimeout = section->readMilliseconds("finish_ms", {milliseconds{0}, milliseconds{600'000}}, milliseconds{30'000});
    section->finish();
}

void readRates(yaml_reader &reader, node_settings &settings)
{
    auto section = reader.readMapping("rates");
    if (!section) {
        return;
    }
    settings.rateSlots = static_cast<unsigned>(section->readInteger("slots", {1, 1024}, settings.rateSlots));
    settings.rateSlotLapse = section->readMilliseconds("slot_lapse_ms", {milliseconds{10'000}, MaxSlotLapse}, std::chrono::hours{1});
    section->finish();
}

rate_method readRateMethod(yaml_reader &reader)
{
    const auto text = reader.readString("rate_method", "slots");
    if (text != "slots" && text != "shared") {
        reader.report("rate_method", "'" + text + "' is not a rate method", "use slots or shared");
    }
    return text == "shared" ? rate_method::Shared : rate_method::Slots;
}

void readOverload(yaml_reader &reader, overload_settings &overload)
{
    auto section = reader.readMapping("overload");
    if (!section) {
        return;
    }
    overload.coldStart = section->readBool("cold_start", overload.coldStart);
    overload.adaptiveLimit = section->readBool("adaptive_limit", overload.adaptiveLimit);
    overload.usableSlotFraction = section->readNumber("used_slots", {0.1, 1.0}, overload.usableSlotFraction);
    overload.maxQueueDelay
        = section->readMilliseconds("longest_queue_delay_ms", {milliseconds{1}, milliseconds{60'000}}, milliseconds{100});
    overload.shedsByLevel = section->readBool("shed_by_level", overload.shedsByLevel);
    overload.plansAdmission = section->readBool("plan_admission", overload.plansAdmission);
    overload.allowsRepeats = section->readBool("repeat_arrivals", overload.allowsRepeats);
    auto &repeats = overload.fleetRepeats;
    repeats.part = section->readNumber("fleet_repeat_part", {0.0, 1.0}, repeats.part);
    repeats.requests = section->readNumber("fleet_repeat_requests", {0.0, MaxFleetRepeatRequests}, repeats.requests);
    section->finish();
}

void readConfigurationSettings(yaml_reader &reader, configuration_settings &settings)
{
    auto section = reader.readMapping("configuration");
    if (!section) {
        return;
    }
    constexpr milliseconds_range Interval{milliseconds{0}, milliseconds{60'000}};
    settings.zonePollInterval = section->readMilliseconds("zone_poll_interval_ms", {milliseconds{50}, milliseconds{60'000}}, seconds{1});
    settings.startGrace = section->readMilliseconds("start_grace_ms", Interval, seconds{1});
    settings.startSpread = section->readMilliseconds("start_spread_ms", Interval, seconds{2});
    settings.watch = section->readBool("watch", settings.watch);
    settings.maxProofAge = section->readMilliseconds("longest_proof_age_ms", Interval, milliseconds{0});
    section->finish();
}

void readTarget(yaml_reader &reader, target_assignment &target)
{
    target.service = reader.readString("service", "");
    if (!target.service.empty() && !isName(target.service)) {
        reader.report("service", "the name is not UTF-8 or is too long", "write 1 to 128 bytes of UTF-8 without control characters");
        target.service.clear();
    }
    if (reader.has("target")) {
        target.address = readEndpoint(reader, "target");
    }
}

log_level readLogLevel(yaml_reader &reader)
{
    const auto text = reader.readString("log_level", "info");
    if (text == "info") {
        return log_level::Info;
    }
    if (text == "warning") {
        return log_level::Warning;
    }
    if (text != "error") {
        reader.report("log_level", "'" + text + "' is not a log level", "use info, warning or error");
    }
    return log_level::Error;
}

} // namespace

std::size_t machineMemory() noexcept
{
    constexpr std::size_t UnknownMemory{256UL * 1024UL * 1024UL};
    const auto pages = ::sysconf(_SC_PHYS_PAGES);
    const auto pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : UnknownMemory;
}

node_settings_result parseNodeSettings(const std::string &file, const std::string &text, const settings_extension &extension)
{
    node_settings_result result;
    const auto document = loadYaml(file, text, result.problems);
    if (!document) {
        return result;
    }
    yaml_reader reader{file, "settings", *document, result.problems};
    auto &settings = result.settings;
    settings.instance = readName(reader, "instance");
    settings.availabilityZone = readName(reader, "availability_zone");
    readAddresses(reader, settings);
    readPlatform(reader, settings);
    settings.seeds = readEndpoints(reader, "seeds");
    settings.networkSecret = reader.readString("network_secret", "");
    settings.secretFile = settings.networkSecret.empty() ? reader.readString("secret_file") : reader.readString("secret_file", "");
    readTarget(reader, settings.target);
    settings.discoveryPrefix = reader.readString("discovery_prefix", "");
    readOverload(reader, settings.overload);
    readConfigurationSettings(reader, settings.configuration);
    settings.rateMethod = readRateMethod(reader);
    readLimits(reader, settings.limits, settings.memoryBytes);
    readTelemetry(reader, settings);
    readShutdown(reader, settings.shutdown);
    readRates(reader, settings);
    settings.logLevel = readLogLevel(reader);
    if (extension) {
        extension(reader, settings);
    }
    reader.finish();
    return result;
}

signing_keys_result parseSigningKeys(const std::string &text)
{
    signing_keys_result result;
    std::istringstream lines{text};
    std::string line;
    while (std::getline(lines, line)) {
        if (line.empty()) {
            continue;
        }
        if (line.size() < MinSecretLength) {
            result.problem = "a secret is shorter than 32 characters; create one with 'openssl rand -hex 32'";
            return result;
        }
        result.keys.secrets.push_back(line);
    }
    if (result.keys.secrets.empty()) {
        result.problem = "the file contains no secret; write one line with the output of 'openssl rand -hex 32'";
    }
    if (result.keys.secrets.size() > MaxSecretCount) {
        result.problem = "the file contains more than 4 secrets; remove those that are no longer used";
    }
    return result;
}

} // namespace ragwortpin
