#include "standins/support/daemon.h"
#include "standins/support/load_engine.h"
#include "standins/support/load_report.h"
#include "standins/support/options.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using namespace ragwortpin;
using namespace ragwortpin::standins;

constexpr program_summary Program{
    "ragwortpin-load", "Sends the load described by a scenario file to nodes on loopback, within fixed limits, and reports the results."};

/** Exit status of a run whose report contains at least one violation, see violation_report. */
constexpr int ViolationExitStatus{3};

/** Exit status when the scenario is unreadable or invalid, or when the report file cannot be written. */
constexpr int FileExitStatus{1};

struct command_line
{
    std::string scenario;
    std::string json;
    std::int64_t seed{-1};
};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

std::optional<load_scenario> readScenario(const command_line &line)
{
    const auto text = readFile(line.scenario);
    if (!text) {
        std::cerr << line.scenario << ": the scenario file cannot be read; check its path and permissions\n";
        return std::nullopt;
    }
    auto parsed = parseScenario(*text);
    for (const auto &error : parsed.errors) {
        std::cerr << line.scenario << ": " << toText(error) << '\n';
    }
    if (!parsed.errors.empty()) {
        return std::nullopt;
    }
    if (line.seed >= 0) {
        parsed.scenario.seed = static_cast<std::uint64_t>(line.seed);
    }
    return parsed.scenario;
}

bool writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file{path, std::ios::binary};
    file << text;
    file.close();
    return !file.fail();
}

int run(const command_line &line, const load_scenario &scenario)
{
    startLogging();
    boost::asio::io_context context{1};
    load_engine engine{context, scenario};
    logInfo("starting load: " + std::to_string(scenario.streams.size()) + " streams for " + std::to_string(scenario.runDuration.count())
            + " s, seed " + std::to_string(scenario.seed));
    engine.start();
    runUntilStopped(context, [&engine] {
        logInfo("received a stop signal; ending the load before the end of the scenario");
        engine.stop();
    });
    const auto report = makeReport(scenario, engine.records(), engine.observations());
    printReport(std::cout, report);
    if (!line.json.empty() && !writeFile(line.json, toJsonText(report))) {
        std::cerr << line.json << ": the report file cannot be written; choose another path with --json\n";
        return FileExitStatus;
    }
    return hasViolations(report.violations) ? ViolationExitStatus : 0;
}

} // namespace

int main(int argc, char **argv)
{
    command_line line;
    const std::vector<option_definition> options{
        textOption("scenario", "FILE", "YAML file that describes the load; required", line.scenario),
        textOption("json", "FILE", "also write the report to this file as JSON", line.json),
        numberOption("seed", "N", "random seed that overrides the one of the scenario", 0, 1e15, line.seed),
    };
    if (const auto status = parseOptions(Program, options, {argv, static_cast<std::size_t>(argc)})) {
        return *status;
    }
    if (line.scenario.empty()) {
        return rejectUsage(Program, "--scenario is missing; specify a YAML file, for example examples/khelachitra/scenario.yaml");
    }
    const auto scenario = readScenario(line);
    return scenario ? run(line, *scenario) : FileExitStatus;
}
