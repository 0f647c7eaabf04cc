#include "standins/support/json.h"
#include "standins/support/load_report.h"

#include <iomanip>
#include <ostream>

namespace ragwortpin::standins {

namespace {

constexpr int NameWidth{22};
constexpr int NumberWidth{10};

double toMilliseconds(duration span)
{
    return toSeconds(span) * 1e3;
}

std::string joinCounts(const std::vector<labelled_count> &counts)
{
    std::string text;
    for (const auto &count : counts) {
        text += (text.empty() ? "" : ", ") + count.label + " " + std::to_string(count.count);
    }
    return text.empty() ? "-" : text;
}

void printGroups(std::ostream &out, const char *title, const std::vector<group_report> &groups)
{
    out << std::left << std::setw(NameWidth) << title << std::right;
    for (const auto *column : {"sent", "ok", "goodput/s", "p50 ms", "p99 ms", "max ms"}) {
        out << std::setw(NumberWidth) << column;
    }
    out << "  refusals | errors\n";
    for (const auto &group : groups) {
        out << std::left << std::setw(NameWidth) << group.name << std::right << std::setw(NumberWidth) << group.sent
            << std::setw(NumberWidth) << group.ok << std::setw(NumberWidth) << group.goodput << std::setw(NumberWidth)
            << toMilliseconds(group.latency.p50) << std::setw(NumberWidth) << toMilliseconds(group.latency.p99) << std::setw(NumberWidth)
            << toMilliseconds(group.latency.max) << "  " << joinCounts(group.refusals) << " | " << joinCounts(group.errors) << '\n';
    }
    out << '\n';
}

void printPhases(std::ostream &out, const std::vector<phase_report> &phases)
{
    out << std::left << std::setw(NameWidth) << "importance" << std::setw(NameWidth) << "phase" << std::right;
    for (const auto *column : {"sent", "ok", "goodput/s"}) {
        out << std::setw(NumberWidth) << column;
    }
    out << '\n';
    for (const auto &phase : phases) {
        out << std::left << std::setw(NameWidth) << phase.importance << std::setw(NameWidth) << phase.phase << std::right
            << std::setw(NumberWidth) << phase.sent << std::setw(NumberWidth) << phase.ok << std::setw(NumberWidth) << phase.goodput
            << '\n';
    }
    out << '\n';
}

void printAddedLatencies(std::ostream &out, const std::vector<added_latency> &rows)
{
    for (const auto &row : rows) {
        out << "added latency of " << row.stream << " in phase " << row.phase << ": ";
        if (row.streamLatency.count == 0 || row.baselineLatency.count == 0) {
            out << "not measured (" << row.streamLatency.count << " and " << row.baselineLatency.count << " successful responses)\n";
            continue;
        }
        out << "p50 " << toMilliseconds(row.streamLatency.p50 - row.baselineLatency.p50) << " ms, p99 "
            << toMilliseconds(row.streamLatency.p99 - row.baselineLatency.p99) << " ms (" << row.streamLatency.count << " and "
            << row.baselineLatency.count << " successful responses)\n";
    }
}

void printTotals(std::ostream &out, const load_report &report)
{
    if (!report.worstWorkspace.empty()) {
        out << "workspace with the lowest success ratio: " << report.worstWorkspace << ", " << 100.0 * report.worstOkRatio
            << "% successful responses\n";
    }
    out << "client attempts: " << report.clientAttempts << " for " << report.rootRequests << " requests, failed connection attempts "
        << report.failedConnects << '\n';
    if (report.targetsReached > 0 && report.rootRequests > 0) {
        out << "target runs per request: " << static_cast<double>(report.targetRuns) / static_cast<double>(report.rootRequests) << " ("
            << report.targetRuns << " / " << report.rootRequests << ", targets that responded " << report.targetsReached << ", unreachable "
            << report.targetsUnreachable << ")\n";
    }
    const auto &found = report.violations;
    out << "false answers: responses to another request " << found.mismatched << ", truncated responses " << found.truncated
        << ", run although refused as not run " << found.notRunButRan << ", once requests run more than once " << found.onceRanTwice
        << ", requests with credentials seen by targets " << found.keysSeen << '\n';
}

Json::Value toJson(const std::vector<labelled_count> &counts)
{
    Json::Value object{Json::objectValue};
    for (const auto &count : counts) {
        object[count.label] = static_cast<Json::UInt64>(count.count);
    }
    return object;
}

Json::Value toJson(const latency_summary &latency)
{
    Json::Value object{Json::objectValue};
    object["count"] = static_cast<Json::UInt64>(latency.count);
    object["p50_ms"] = toMilliseconds(latency.p50);
    object["p99_ms"] = toMilliseconds(latency.p99);
    object["max_ms"] = toMilliseconds(latency.max);
    return object;
}

Json::Value toJson(const std::vector<group_report> &groups)
{
    Json::Value list{Json::arrayValue};
    for (const auto &group : groups) {
        Json::Value object{Json::objectValue};
        object["name"] = group.name;
        object["sent"] = static_cast<Json::UInt64>(group.sent);
        object["ok"] = static_cast<Json::UInt64>(group.ok);
        object["goodput_per_s"] = group.goodput;
        object["refusals"] = toJson(group.refusals);
        object["errors"] = toJson(group.errors);
        object["latency"] = toJson(group.latency);
        object["ok_per_second"] = Json::Value{Json::arrayValue};
        for (const auto count : group.okPerSecond) {
            object["ok_per_second"].append(static_cast<Json::UInt64>(count));
        }
        list.append(object);
    }
    return list;
}

Json::Value toJson(const std::vector<phase_report> &phases)
{
    Json::Value list{Json::arrayValue};
    for (const auto &phase : phases) {
        Json::Value object{Json::objectValue};
        object["importance"] = phase.importance;
        object["phase"] = phase.phase;
        object["sent"] = static_cast<Json::UInt64>(phase.sent);
        object["ok"] = static_cast<Json::UInt64>(phase.ok);
        object["goodput_per_s"] = phase.goodput;
        list.append(object);
    }
    return list;
}

Json::Value toJson(const std::vector<added_latency> &rows)
{
    Json::Value list{Json::arrayValue};
    for (const auto &row : rows) {
        Json::Value object{Json::objectValue};
        object["stream"] = row.stream;
        object["phase"] = row.phase;
        object["own"] = toJson(row.streamLatency);
        object["baseline"] = toJson(row.baselineLatency);
        list.append(object);
    }
    return list;
}

Json::Value toJson(const violation_report &found)
{
    Json::Value object{Json::objectValue};
    object["crossed"] = static_cast<Json::UInt64>(found.mismatched);
    object["cut"] = static_cast<Json::UInt64>(found.truncated);
    object["not_run_but_ran"] = static_cast<Json::UInt64>(found.notRunButRan);
    object["once_ran_twice"] = static_cast<Json::UInt64>(found.onceRanTwice);
    object["keys_seen"] = static_cast<Json::UInt64>(found.keysSeen);
    return object;
}

} // namespace

void printReport(std::ostream &out, const load_report &report)
{
    out << std::fixed << std::setprecision(2) << "run of " << report.durationSeconds << " s, seed " << report.seed << "\n\n";
    printGroups(out, "importance", report.importances);
    printGroups(out, "workspace", report.workspaces);
    printPhases(out, report.phases);
    printAddedLatencies(out, report.addedLatencies);
    printTotals(out, report);
}

std::string toJsonText(const load_report &report)
{
    Json::Value object{Json::objectValue};
    object["length_s"] = report.durationSeconds;
    object["seed"] = static_cast<Json::UInt64>(report.seed);
    object["importances"] = toJson(report.importances);
    object["workspaces"] = toJson(report.workspaces);
    object["phases"] = toJson(report.phases);
    object["worst_workspace"] = report.worstWorkspace;
    object["worst_ok_ratio"] = report.worstOkRatio;
    object["added_latency"] = toJson(report.addedLatencies);
    object["root_requests"] = static_cast<Json::UInt64>(report.rootRequests);
    object["client_attempts"] = static_cast<Json::UInt64>(report.clientAttempts);
    object["failed_connects"] = static_cast<Json::UInt64>(report.failedConnects);
    object["target_runs"] = static_cast<Json::UInt64>(report.targetRuns);
    object["targets_asked"] = static_cast<Json::UInt64>(report.targetsReached);
    object["targets_unreachable"] = static_cast<Json::UInt64>(report.targetsUnreachable);
    object["falsehoods"] = toJson(report.violations);
    return writeJson(object) + "\n";
}

} // namespace ragwortpin::standins
