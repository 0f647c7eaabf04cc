#ifndef RAGWORTPIN_STANDINS_SUPPORT_LOAD_REPORT_H
#define RAGWORTPIN_STANDINS_SUPPORT_LOAD_REPORT_H

#include "standins/support/load_record.h"
#include "standins/support/load_scenario.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace ragwortpin::standins {

/** Number of requests under one label. */
struct labelled_count
{
    std::string label;
    std::uint64_t count{0};

    bool operator==(const labelled_count &) const = default;
};

/** Distribution of latencies of requests that ended well. */
struct latency_summary
{
    std::uint64_t count{0};
    duration p50{0};
    duration p99{0};
    duration max{0};

    bool operator==(const latency_summary &) const = default;
};

/** Requests of one importance or of one workspace. */
struct group_report
{
    std::string name;
    std::uint64_t sent{0};
    std::uint64_t ok{0};
    /** Whole right answers a second over the run. */
    double goodput{0.0};
    /** Refusals by token and outcome. */
    std::vector<labelled_count> refusals;
    /** Other ends than ok and refused. */
    std::vector<labelled_count> errors;
    latency_summary latency;
    /** Whole right answers of each second of the run, by the time of sending. */
    std::vector<std::uint64_t> okPerSecond;

    bool operator==(const group_report &) const = default;
};

/** Latency of a stream in one phase over that of its baseline in the same phase. */
struct added_latency
{
    std::string stream;
    std::string phase;
    latency_summary own;
    latency_summary baseline;

    bool operator==(const added_latency &) const = default;
};

/** Evidence of answers or refusals that were not true. Any of them fails the run. */
struct falsehood_report
{
    /** Answers that belonged to another request. */
    std::uint64_t crossed{0};
    /** Answers that were whole as HTTP and cut. */
    std::uint64_t cut{0};
    /** Requests refused as not run only, which a target ran. */
    std::uint64_t notRunButRan{0};
    /** Requests of a once stream that its service ran more than once. */
    std::uint64_t onceRanTwice{0};
    /** Requests that reached a target with a caller's key. */
    std::uint64_t keysSeen{0};

    bool operator==(const falsehood_report &) const = default;
};

/** Result of a run. */
struct load_report
{
    double lengthSeconds{0.0};
    std::uint64_t seed{0};
    std::vector<group_report> importances;
    std::vector<group_report> workspaces;
    /** Workspace with the lowest share of whole right answers; empty without workspaces. */
    std::string worstWorkspace;
    double worstOkRatio{1.0};
    std::vector<added_latency> added;
    /** Root requests of streams without addresses of their own. */
    std::uint64_t rootRequests{0};
    /** Their attempts by clients, retries included. */
    std::uint64_t clientAttempts{0};
    /** Connections to nodes that failed before another node was tried. */
    std::uint64_t failedConnects{0};
    /** Runs of these requests and of the calls made for them, at the targets that could be asked. */
    std::uint64_t targetRuns{0};
    std::uint64_t targetsAsked{0};
    std::uint64_t targetsUnreachable{0};
    falsehood_report falsehoods;
};

/** Summarises latencies; percentiles are those of the sorted values. */
[[nodiscard]] latency_summary summarise(std::vector<duration> latencies);

/** Computes the report of a run. Requests that were not sent count under errors and not under sent. */
[[nodiscard]] load_report
makeReport(const load_scenario &scenario, const std::vector<request_record> &records, const run_evidence &evidence);

/** Whether any answer or refusal was false. */
[[nodiscard]] bool isFalse(const falsehood_report &falsehoods) noexcept;

/** Prints the report as tables. */
void printReport(std::ostream &out, const load_report &report);

/** Returns the report as JSON, latencies in milliseconds. */
[[nodiscard]] std::string toJsonText(const load_report &report);

} // namespace ragwortpin::standins

#endif
