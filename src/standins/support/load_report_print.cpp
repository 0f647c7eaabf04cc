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

std::string joined(const std::vector<labelled_count> &counts)
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
            << toMilliseconds(group.latency.max) << "  " << joined(group.refusals) << " | " << joined(group.errors) << '\n';
    }
    out << '\n';
}

void printAdded(std::ostream &out, const std::vector<added_latency> &rows)
{
    for (const auto &row : rows) {
        out << "added latency of " << row.stream << " in phase " << row.phase << ": ";
        if (row.own.count == 0 || row.baseline.count == 0) {
            out << "not measured (" << row.own.count << " and " << row.baseline.count << " whole answers)\n";
            continue;
        }
        out << "p50 " << toMilliseconds(row.own.p50 - row.baseline.p50) << " ms, p99 " << toMilliseconds(row.own.p99 - row.baseline.p99)
            << " ms (" << row.own.count << " and " << row.baseline.count << " whole answers)\n";
    }
}

void printTotals(std::ostream &out, const load_report &report)
{
    if (!report.worstWorkspace.empty()) {
        out << "worst-served workspace: " << report.worstWorkspace << ", " << 100.0 * report.worstOkRatio << "% whole answers\n";
    }
    out << "client attempts: " << report.clientAttempts << " for " << report.rootRequests << " requests, failed connects "
        << report.failedConnects << '\n';
    if (report.targetsAsked > 0 && report.rootRequests > 0) {
        out << "target runs per request: " << static_cast<double>(report.targetRuns) / static_cast<double>(report.rootRequests) << " ("
            << report.targetRuns << " / " << report.rootRequests << ", targets asked " << report.targetsAsked << ", unreachable "
            << report.targetsUnreachable << ")\n";
    }
    const auto &found = report.falsehoods;
    out << "false answers: crossed " << found.crossed << ", cut " << found.cut << ", refused as not run and ran " << found.notRunButRan
        << ", once and ran twice " << found.onceRanTwice << ", keys seen by targets " << found.keysSeen << '\n';
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

Json::Value toJson(const std::vector<added_latency> &rows)
{
    Json::Value list{Json::arrayValue};
    for (const auto &row : rows) {
        Json::Value object{Json::objectValue};
        object["stream"] = row.stream;
        object["phase"] = row.phase;
        object["own"] = toJson(row.own);
        object["baseline"] = toJson(row.baseline);
        list.append(object);
    }
    return list;
}

Json::Value toJson(const falsehood_report &found)
{
    Json::Value object{Json::objectValue};
    object["crossed"] = static_cast<Json::UInt64>(found.crossed);
    object["cut"] = static_cast<Json::UInt64>(found.cut);
    object["not_run_but_ran"] = static_cast<Json::UInt64>(found.notRunButRan);
    object["once_ran_twice"] = static_cast<Json::UInt64>(found.onceRanTwice);
    object["keys_seen"] = static_cast<Json::UInt64>(found.keysSeen);
    return object;
}

} // namespace

void printReport(std::ostream &out, const load_report &report)
{
    out << std::fixed << std::setprecision(2) << "run of " << report.lengthSeconds << " s, seed " << report.seed << "\n\n";
    printGroups(out, "importance", report.importances);
    printGroups(out, "workspace", report.workspaces);
    printAdded(out, report.added);
    printTotals(out, report);
}

std::string toJsonText(const load_report &report)
{
    Json::Value object{Json::objectValue};
    object["length_s"] = report.lengthSeconds;
    object["seed"] = static_cast<Json::UInt64>(report.seed);
    object["importances"] = toJson(report.importances);
    object["workspaces"] = toJson(report.workspaces);
    object["worst_workspace"] = report.worstWorkspace;
    object["worst_ok_ratio"] = report.worstOkRatio;
    object["added_latency"] = toJson(report.added);
    object["root_requests"] = static_cast<Json::UInt64>(report.rootRequests);
    object["client_attempts"] = static_cast<Json::UInt64>(report.clientAttempts);
    object["failed_connects"] = static_cast<Json::UInt64>(report.failedConnects);
    object["target_runs"] = static_cast<Json::UInt64>(report.targetRuns);
    object["targets_asked"] = static_cast<Json::UInt64>(report.targetsAsked);
    object["targets_unreachable"] = static_cast<Json::UInt64>(report.targetsUnreachable);
    object["falsehoods"] = toJson(report.falsehoods);
    return writeJson(object) + "\n";
}

} // namespace ragwortpin::standins
