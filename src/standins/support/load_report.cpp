#include "standins/support/load_report.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace ragwortpin::standins {

namespace {

constexpr double MedianFraction{0.5};
constexpr double NinetyNinthFraction{0.99};

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
    if (record.result == request_result::NotSent) {
        addCount(group.errors, std::string{toToken(record.result)});
        return;
    }
    ++group.sent;
    if (record.result == request_result::Ok) {
        ++group.ok;
        latencies.push_back(record.latency);
        const auto second = static_cast<std::size_t>(toSeconds(record.sentAt));
        group.okPerSecond.resize(std::max(group.okPerSecond.size(), second + 1));
        ++group.okPerSecond[second];
    } else if (record.result == request_result::Refused) {
        addCount(group.refusals, record.refusal + " " + std::string{toToken(record.reportedOutcome)});
    } else {
        addCount(group.errors, std::string{toToken(record.result)});
    }
}

using stream_label = std::string load_stream::*;

/** Groups the requests sent to the nodes by a label of their stream. Streams with an empty label are left out. */
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
        group.goodput = static_cast<double>(group.ok) / toSeconds(scenario.runDuration);
        group.latency = summarise(latencies[name]);
        result.push_back(std::move(group));
    }
    return result;
}

/** Returns the duration of a phase; 0 if it starts after the end of the run. */
duration phaseDuration(const load_scenario &scenario, std::size_t phase)
{
    const bool last = phase + 1 == scenario.phases.size();
    const duration end = last ? scenario.runDuration : scenario.phases[phase + 1].startsAt;
    return std::max(end - duration{scenario.phases[phase].startsAt}, duration{0});
}

phase_report
makePhase(const load_scenario &scenario, const std::vector<request_record> &records, const std::string &importance, std::size_t phase)
{
    phase_report report{scenario.phases[phase].name, importance};
    for (const auto &record : records) {
        const auto &stream = scenario.streams[record.stream];
        const bool isCounted = record.phase == phase && stream.importance == importance && stream.addresses.empty();
        report.sent += isCounted && record.result != request_result::NotSent ? 1 : 0;
        report.ok += isCounted && record.result == request_result::Ok ? 1 : 0;
    }
    const auto length = toSeconds(phaseDuration(scenario, phase));
    report.goodput = length > 0.0 ? static_cast<double>(report.ok) / length : 0.0;
    return report;
}

std::vector<phase_report>
makePhases(const load_scenario &scenario, const std::vector<request_record> &records, const std::vector<group_report> &importances)
{
    std::vector<phase_report> phases;
    for (const auto &importance : importances) {
        for (std::size_t phase{0}; phase < scenario.phases.size(); ++phase) {
            phases.push_back(makePhase(scenario, records, importance.name, phase));
        }
    }
    return phases;
}

latency_summary
latencyOf(const load_scenario &scenario, const std::vector<request_record> &records, const std::string &stream, std::size_t phase)
{
    std::vector<duration> latencies;
    for (const auto &record : records) {
        if (record.phase == phase && record.result == request_result::Ok && scenario.streams[record.stream].name == stream) {
            latencies.push_back(record.latency);
        }
    }
    return summarise(std::move(latencies));
}

std::vector<added_latency> makeAddedLatencies(const load_scenario &scenario, const std::vector<request_record> &records)
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

/** Returns the number of runs of a request at the targets of a service, or at all targets if the service is empty. */
std::uint64_t countRuns(const target_observations &observations, const std::string &testId, const std::string &service)
{
    std::uint64_t runs{0};
    for (const auto &target : observations.targets) {
        const auto found = target.byTestId.find(testId);
        if (found != target.byTestId.end() && (service.empty() || service == target.service)) {
            runs += found->second;
        }
    }
    return runs;
}

violation_report
findViolations(const load_scenario &scenario, const std::vector<request_record> &records, const target_observations &observations)
{
    violation_report found;
    for (const auto &record : records) {
        const auto &stream = scenario.streams[record.stream];
        found.mismatched += record.result == request_result::Mismatched ? 1 : 0;
        found.truncated += record.result == request_result::Truncated ? 1 : 0;
        const bool wasRefusedAsNotRun = record.attempts > 0 && record.allAttemptsNotRun;
        found.notRunButRan += wasRefusedAsNotRun && countRuns(observations, record.testId, "") > 0 ? 1 : 0;
        const bool isOnceChecked = stream.once && !stream.service.empty();
        found.onceRanTwice += isOnceChecked && countRuns(observations, record.testId, stream.service) > 1 ? 1 : 0;
    }
    for (const auto &target : observations.targets) {
        found.keysSeen += target.keysSeen;
    }
    return found;
}

void findWorstWorkspace(load_report &report)
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
    return {latencies.size(), percentile(latencies, MedianFraction), percentile(latencies, NinetyNinthFraction), latencies.back()};
}

load_report makeReport(const load_scenario &scenario, const std::vector<request_record> &records, const target_observations &observations)
{
    load_report report;
    report.durationSeconds = toSeconds(scenario.runDuration);
    report.seed = scenario.seed;
    report.importances = makeGroups(scenario, records, &load_stream::importance);
    report.workspaces = makeGroups(scenario, records, &load_stream::workspace);
    report.phases = makePhases(scenario, records, report.importances);
    findWorstWorkspace(report);
    report.addedLatencies = makeAddedLatencies(scenario, records);
    for (const auto &record : records) {
        if (scenario.streams[record.stream].addresses.empty() && record.result != request_result::NotSent) {
            ++report.rootRequests;
            report.clientAttempts += record.attempts;
            report.failedConnects += record.failedConnects;
            report.targetRuns += countRuns(observations, record.testId, "");
        }
    }
    report.targetsReached = observations.targets.size();
    report.targetsUnreachable = observations.unreachable;
    report.violations = findViolations(scenario, records, observations);
    return report;
}

bool hasViolations(const violation_report &violations) noexcept
{
    return violations != violation_report{};
}

} // namespace ragwortpin::standins
