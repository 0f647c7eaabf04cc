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

/** Longest run of the load tool. */
inline constexpr seconds MaxLoadDuration{600};

/** Highest rate of all streams together, in requests a second. */
inline constexpr double MaxLoadRate{20'000.0};

/** Most connections of the load tool. */
inline constexpr std::size_t MaxLoadConnections{2000};

/** Largest body of a request, in bytes. */
inline constexpr std::size_t MaxLoadBodyBytes{1'000'000};

/** Why a scenario cannot be used. */
enum class scenario_errc {
    NotYaml = 1,
    FieldUnknown,
    FieldMissing,
    ValueInvalid,
    AddressNotLoopback,
    NameTwice,
    StreamUnknown,
    RateTooHigh,
    NoAddress,
};

/** Makes an error code of a scenario_errc. */
[[nodiscard]] std::error_code make_error_code(scenario_errc kind) noexcept;

/** One error of a scenario file. */
struct scenario_error
{
    /** Line in the file, counted from 1; 0 when unknown. */
    int line{0};
    /** Field, name or value that the error is about. */
    std::string subject;
    std::error_code code;

    bool operator==(const scenario_error &) const = default;
};

/** Returns "line N: subject: message". */
[[nodiscard]] std::string toText(const scenario_error &error);

/** What a client does after a refusal or an error. */
enum class client_retry : unsigned char {
    None,
    /** Sends again at once, up to a fixed number of attempts. */
    Hard,
};

/** Requests of one kind, sent at random times with a mean rate. */
struct load_stream
{
    std::string name;
    /** Label under which the report counts the stream. */
    std::string workspace;
    /** Label under which the report counts the stream. */
    std::string importance;
    /** Key sent as X-Api-Key; empty for none. */
    std::string key;
    std::string method{"GET"};
    std::string path;
    /** Requests a second. */
    double rate{0.0};
    /** Whether each request carries a fresh Idempotency-Key. */
    bool once{false};
    client_retry retry{client_retry::None};
    std::size_t bodyBytes{0};
    /** Where the requests go; empty for the nodes of the scenario. */
    std::vector<endpoint> addresses;
    /** Service that runs the request, for counting how often each ran; empty for no such check. */
    std::string service;
    /** Stream whose latency is subtracted in the report; empty for none. */
    std::string baseline;

    bool operator==(const load_stream &) const = default;
};

/** Factor on the rate of a stream during a phase. */
struct rate_factor
{
    std::string stream;
    double factor{1.0};

    bool operator==(const rate_factor &) const = default;
};

/** Part of a run that lasts until the next phase. Streams that it does not name keep their rate. */
struct load_phase
{
    std::string name;
    seconds at{0};
    std::vector<rate_factor> factors;

    bool operator==(const load_phase &) const = default;
};

/** Load to send. Phases are sorted by time and the first one starts at 0. */
struct load_scenario
{
    seconds length{0};
    std::uint64_t seed{1};
    std::size_t maxConnections{500};
    milliseconds timeout{5000};
    std::vector<endpoint> nodes;
    /** Target stand-ins that are asked afterwards what ran; may be empty. */
    std::vector<endpoint> targets;
    std::vector<load_stream> streams;
    std::vector<load_phase> phases;

    bool operator==(const load_scenario &) const = default;
};

/** Scenario, usable only without errors. */
struct scenario_result
{
    load_scenario scenario;
    std::vector<scenario_error> errors;
};

/** Parses and checks a scenario file's text. */
[[nodiscard]] scenario_result parseScenario(const std::string &text);

/** Index of the phase at a time since the start. */
[[nodiscard]] std::size_t phaseAt(const load_scenario &scenario, duration sinceStart) noexcept;

/** Factor of a stream in a phase. */
[[nodiscard]] double factorOf(const load_phase &phase, std::string_view stream) noexcept;

/** Highest factor of a stream in any phase. */
[[nodiscard]] double peakFactor(const load_scenario &scenario, std::string_view stream) noexcept;

} // namespace ragwortpin::standins

template<>
struct std::is_error_code_enum<ragwortpin::standins::scenario_errc> : std::true_type
{ };

#endif
