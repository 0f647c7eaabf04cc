#ifndef RAGWORTPIN_STANDINS_SUPPORT_LOAD_SCENARIO_H
#define RAGWORTPIN_STANDINS_SUPPORT_LOAD_SCENARIO_H

#include "ragwortpin/core/time.h"
#include "standins/support/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ragwortpin::standins {

/** Maximum duration of a run. */
inline constexpr seconds MaxLoadDuration{600};

/** Maximum total rate of all streams, in requests per second. */
inline constexpr double MaxLoadRate{20'000.0};

/** Maximum number of connections of the load generator. */
inline constexpr std::size_t MaxLoadConnections{2000};

/** Maximum size of a request body, in bytes. */
inline constexpr std::size_t MaxLoadBodyBytes{1'000'000};

/** Reasons for rejecting a scenario. */
enum class scenario_errc {
    NotYaml = 1,
    FieldUnknown,
    FieldMissing,
    ValueInvalid,
    AddressNotLoopback,
    DuplicateName,
    StreamUnknown,
    RateTooHigh,
    NoAddress,
};

/** Returns the error code for a scenario_errc. */
[[nodiscard]] std::error_code make_error_code(scenario_errc kind) noexcept;

/** Error in a scenario file. */
struct scenario_error
{
    /** Line in the file, starting at 1; 0 if unknown. */
    int line{0};
    /** Field, name or value that the error is about. */
    std::string subject;
    std::error_code code;

    bool operator==(const scenario_error &) const = default;
};

/** Returns "line N: subject: message". */
[[nodiscard]] std::string toText(const scenario_error &error);

/** Retry policy of a client after a refusal or an error. */
enum class client_retry : unsigned char {
    None,
    /** Retries after a short fixed delay, without backoff, up to a fixed number of attempts. */
    Hard,
};

/** Stream of identical requests that arrive as a Poisson process. */
struct load_stream
{
    std::string name;
    /** Workspace under which the report counts the requests. */
    std::string workspace;
    /** Importance under which the report counts the requests. */
    std::string importance;
    /** API key sent in X-Api-Key; empty to send none. */
    std::string key;
    std::string method{"GET"};
    std::string path;
    /** Mean rate in requests per second. */
    double rate{0.0};
    /** Whether each request carries its own Idempotency-Key, which its retries repeat. */
    bool once{false};
    client_retry retry{client_retry::None};
    std::size_t bodyBytes{0};
    /** Addresses that the requests are sent to; empty to use the nodes of the scenario. */
    std::vector<endpoint> addresses;
    /** Service whose runs of each request are counted to detect duplicate runs of a once stream; empty to skip this check. */
    std::string service;
    /** Stream whose latency is subtracted to report the added latency of this one; empty for none. */
    std::string baseline;

    bool operator==(const load_stream &) const = default;
};

/** Multiplier of the rate of a stream during a phase. */
struct rate_factor
{
    std::string stream;
    double factor{1.0};

    bool operator==(const rate_factor &) const = default;
};

/** Part of a run that lasts until the next phase or the end of the run. Streams without a factor have their nominal rate. */
struct load_phase
{
    std::string name;
    seconds startsAt{0};
    std::vector<rate_factor> factors;

    bool operator==(const load_phase &) const = default;
};

/** Load to generate. The phases are sorted by start time and the first one starts at 0. */
struct load_scenario
{
    seconds runDuration{0};
    std::uint64_t seed{1};
    std::size_t maxConnections{500};
    milliseconds timeout{5000};
    std::vector<endpoint> nodes;
    /** Target stand-ins whose run counts are queried after the load; may be empty. */
    std::vector<endpoint> targets;
    std::vector<load_stream> streams;
    std::vector<load_phase> phases;

    bool operator==(const load_scenario &) const = default;
};

/** Parsed scenario. It is valid only if there are no errors. */
struct scenario_result
{
    load_scenario scenario;
    std::vector<scenario_error> errors;
};

/** Parses and validates the text of a scenario file. */
[[nodiscard]] scenario_result parseScenario(const std::string &text);

/** Returns the index of the phase at a time since the start of the run. */
[[nodiscard]] std::size_t phaseAt(const load_scenario &scenario, duration sinceStart) noexcept;

/** Returns the rate factor of a stream in a phase; 1 if the phase does not name the stream. */
[[nodiscard]] double factorOf(const load_phase &phase, std::string_view stream) noexcept;

/** Returns the highest rate factor of a stream in any phase. */
[[nodiscard]] double peakFactor(const load_scenario &scenario, std::string_view stream) noexcept;

} // namespace ragwortpin::standins

template<>
struct std::is_error_code_enum<ragwortpin::standins::scenario_errc> : std::true_type
{ };

#endif
