#ifndef RAGWORTPIN_STANDINS_SUPPORT_LOAD_REPORT_H
#define RAGWORTPIN_STANDINS_SUPPORT_LOAD_REPORT_H

#include "standins/support/load_record.h"
#include "standins/support/load_scenario.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace ragwortpin::standins {

/** Number of requests with a label. */
struct labelled_count
{
    std::string label;
    std::uint64_t count{0};

    bool operator==(const labelled_count &) const = default;
};

/** Latency distribution of the requests with result Ok. */
struct latency_summary
{
    std::uint64_t count{0};
    duration p50{0};
    duration p99{0};
    duration max{0};

    bool operator==(const latency_summary &) const = default;
};

/** Results of the requests of one importance or one workspace. */
struct group_report
{
    std::string name;
    std::uint64_t sent{0};
    std::uint64_t ok{0};
    /** Requests with result Ok per second of the run. */
    double goodput{0.0};
    /** Number of refusals by refusal token and reported outcome. */
    std::vector<labelled_count> refusals;
    /** Number of requests by result, for all results other than Ok and Refused. */
    std::vector<labelled_count> errors;
    latency_summary latency;
    /** Number of requests with result Ok for each second of the run in which they were sent. */
    std::vector<std::uint64_t> okPerSecond;

    bool operator==(const group_report &) const = default;
};

/** Results of the requests of one importance in one phase. */
struct phase_report
{
    std::string phase;
    std::string importance;
    std::uint64_t sent{0};
    std::uint64_t ok{0};
    /** Requests with result Ok per second of the phase. */
    double goodput{0.0};

    bool operator==(const phase_report &) const = default;
};

/** Latencies of a stream and of its baseline in the same phase; their difference is the added latency. */
struct added_latency
{
    std::string stream;
    std::string phase;
    latency_summary streamLatency;
    latency_summary baselineLatency;

    bool operator==(const added_latency &) const = default;
};

/** Number of violations of the guarantees of the nodes by kind. Any violation fails the run. */
struct violation_report
{
    /** Responses that belonged to another request. */
    std::uint64_t mismatched{0};
    /** Responses that were complete HTTP messages with a truncated body. */
    std::uint64_t truncated{0};
    /** Requests that a target ran although every attempt was refused with the outcome not_run. */
    std::uint64_t notRunButRan{0};
    /** Requests of a once stream that its service ran more than once. */
    std::uint64_t onceRanTwice{0};
    /** Requests that reached a target with an API key or the context header. */
    std::uint64_t keysSeen{0};

    bool operator==(const violation_report &) const = default;
};

/** Report of a run. */
struct load_report
{
    double durationSeconds{0.0};
    std::uint64_t seed{0};
    std::vector<group_report> importances;
    std::vector<group_report> workspaces;
    /** Sorted by importance, then by start time of the phase. */
    std::vector<phase_report> phases;
    /** Workspace with the lowest ratio of requests with result Ok to sent requests; empty without workspaces. */
    std::string worstWorkspace;
    double worstOkRatio{1.0};
    std::vector<added_latency> addedLatencies;
    /** Requests sent to the nodes, that is, by streams without their own addresses. */
    std::uint64_t rootRequests{0};
    /** Attempts of these requests by the clients, including retries. */
    std::uint64_t clientAttempts{0};
    /** Connection attempts to nodes that failed. */
    std::uint64_t failedConnects{0};
    /** Runs of these requests and of their downstream calls, at the targets that could be queried. */
    std::uint64_t targetRuns{0};
    /** Number of targets whose run counts were queried successfully. */
    std::uint64_t targetsReached{0};
    /** Number of targets that could not be queried. */
    std::uint64_t targetsUnreachable{0};
    violation_report violations;
};

/** Summarises latencies. The percentiles are values of the sample (nearest-rank method). */
[[nodiscard]] latency_summary summarise(std::vector<duration> latencies);

/** Computes the report of a run. Requests that were not sent are counted in errors but not in sent. */
[[nodiscard]] load_report
makeReport(const load_scenario &scenario, const std::vector<request_record> &records, const target_observations &observations);

/** Returns whether there is any violation. */
[[nodiscard]] bool hasViolations(const violation_report &violations) noexcept;

/** Prints the report as tables. */
void printReport(std::ostream &out, const load_report &report);

/** Returns the report as JSON. Latencies are in milliseconds. */
[[nodiscard]] std::string toJsonText(const load_report &report);

} // namespace ragwortpin::standins

#endif
