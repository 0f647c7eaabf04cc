#include "standins/support/load_report.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>

namespace ragwortpin::standins {

namespace {

constexpr double Median{0.5};
constexpr double NinetyNinth{0.99};

duration percentile(const std::vector<duration> &sorted, double fraction)
{
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted[rank == 0 ? 0 : rank - 1];
}

void addCount(std::vector<labelled_count> &counts, const std::string &label)
{
    const auto found = std::ranges::find(counts, label, &labelled_count::label);
    if (found == counts.end()) {
        counts.push_back({label, 1});
    } else {
        ++found->count;
    }
}

void addRecord(group_report &group, const request_record &record, std::vector<duration> &latencies)
{
    if (record.end == request_end::NotSent) {
        addCount(group.errors, std::string{toToken(record.end)});
        return;
    }
    ++group.sent;
    if (record.end == request_end::Ok) {
        ++group.ok;
        latencies.push_back(record.latency);
        const auto second = static_cast<std::size_t>(toSeconds(record.sentAt));
        group.okPerSecond.resize(std::max(group.okPerSecond.size(), second + 1));
        ++group.okPerSecond[second];
    } else if (record.end == request_end::Refused) {
        addCount(group.refusals, record.refusal + " " + std::string{toToken(record.claimed)});
    } else {
        addCount(group.errors, std::string{toToken(record.end)});
    }
}

using stream_label = std::string load_stream::*;

/** Groups the requests of streams to the nodes by a label of their stream. */
std::vector<group_report> makeGroups(const load_scenario &scenario, const std::vector<request_record> &records, stream_label label)
{
    std::map<std::string, group_report> groups;
    std::map<std::string, std::vector<duration>> latencies;
    for (const auto &record : records) {
        const auto &stream = scenario.streams[record.stream];
        const auto &name = stream.*label;
        if (stream.addresses.empty() && !name.empty()) {
            addRecord(groups[name], record, latencies[name]);
        }
    }
    std::vector<group_report> result;
    for (auto &[name, group] : groups) {
        group.name = name;
        group.goodput = static_cast<double>(group.ok) / toSeconds(scenario.length);
        group.latency = summarise(latencies[name]);
        result.push_back(std::move(group));
    }
    return result;
}

latency_summary
latencyOf(const load_scenario &scenario, const std::vector<request_record> &records, const std::string &stream, std::size_t phase)
{
    std::vector<duration> latencies;
    for (const auto &record : records) {
        if (record.phase == phase && record.end == request_end::Ok && scenario.streams[record.stream].name == stream) {
            latencies.push_back(record.latency);
        }
    }
    return summarise(std::move(latencies));
}

std::vector<added_latency> makeAdded(const load_scenario &scenario, const std::vector<request_record> &records)
{
    std::vector<added_latency> rows;
    for (const auto &stream : scenario.streams) {
        if (stream.baseline.empty()) {
            continue;
        }
        for (std::size_t phase{0}; phase < scenario.phases.size(); ++phase) {
            rows.push_back({stream.name,
                            scenario.phases[phase].name,
                            latencyOf(scenario, records, stream.name, phase),
                            latencyOf(scenario, records, stream.baseline, phase)});
        }
    }
    return rows;
}

/** Runs of a request at the targets of a service, or at all targets for an empty service. */
std::uint64_t runsOf(const run_evidence &evidence, const std::string &testId, const std::string &service)
{
    std::uint64_t runs{0};
    for (const auto &target : evidence.targets) {
        const auto found = target.byTestId.find(testId);
        if (found != target.byTestId.end() && (service.empty() || service == target.service)) {
            runs += found->second;
        }
    }
    return runs;
}

falsehood_report findFalsehoods(const load_scenario &scenario, const std::vector<request_record> &records, const run_evidence &evidence)
{
    falsehood_report found;
    for (const auto &record : records) {
        const auto &stream = scenario.streams[record.stream];
        found.crossed += record.end == request_end::Crossed ? 1 : 0;
        found.cut += record.end == request_end::Cut ? 1 : 0;
        const bool neverRan = record.attempts > 0 && record.onlyNotRun;
        found.notRunButRan += neverRan && runsOf(evidence, record.testId, "") > 0 ? 1 : 0;
        const bool checkedOnce = stream.once && !stream.service.empty();
        found.onceRanTwice += checkedOnce && runsOf(evidence, record.testId, stream.service) > 1 ? 1 : 0;
    }
    for (const auto &target : evidence.targets) {
        found.keysSeen += target.keysSeen;
    }
    return found;
}

void findWorst(load_report &report)
{
    for (const auto &workspace : report.workspaces) {
        const double ratio = workspace.sent == 0 ? 1.0 : static_cast<double>(workspace.ok) / static_cast<double>(workspace.sent);
        if (report.worstWorkspace.empty() || ratio < report.worstOkRatio) {
            report.worstWorkspace = workspace.name;
            report.worstOkRatio = ratio;
        }
    }
}

} // namespace

latency_summary summarise(std::vector<duration> latencies)
{
    if (latencies.empty()) {
        return {};
    }
    std::ranges::sort(latencies);
    return {latencies.size(), percentile(latencies, Median), percentile(latencies, NinetyNinth), latencies.back()};
}

load_report makeReport(const load_scenario &scenario, const std::vector<request_record> &records, const run_evidence &evidence)
{
    load_report report;
    report.lengthSeconds = toSeconds(scenario.length);
    report.seed = scenario.seed;
    report.importances = makeGroups(scenario, records, &load_stream::importance);
    report.workspaces = makeGroups(scenario, records, &load_stream::workspace);
    findWorst(report);
    report.added = makeAdded(scenario, records);
    for (const auto &record : records) {
        if (scenario.streams[record.stream].addresses.empty() && record.end != request_end::NotSent) {
            ++report.rootRequests;
            report.clientAttempts += record.attempts;
            report.failedConnects += record.failedConnects;
            report.targetRuns += runsOf(evidence, record.testId, "");
        }
    }
    report.targetsAsked = evidence.targets.size();
    report.targetsUnreachable = evidence.unreachable;
    report.falsehoods = findFalsehoods(scenario, records, evidence);
    return report;
}

bool isFalse(const falsehood_report &falsehoods) noexcept
{
    return falsehoods != falsehood_report{};
}

} // namespace ragwortpin::standins
