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

constexpr program_summary Program{"ragwortpin-load",
                                  "Sends bounded load to nodes on loopback by a scenario file and reports what came back."};

/** Exit status of a run in which an answer or a refusal was false. */
constexpr int FalseAnswerExitStatus{3};

/** Exit status for a scenario or file that cannot be used. */
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
        std::cerr << line.scenario << ": the file cannot be read; check its name and permissions\n";
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
    logChange("load starts, " + std::to_string(scenario.streams.size()) + " streams for " + std::to_string(scenario.length.count())
              + " s, seed " + std::to_string(scenario.seed));
    engine.start();
    runUntilStopped(context, [&engine] {
        logChange("load ends early");
        engine.stop();
    });
    const auto report = makeReport(scenario, engine.records(), engine.evidence());
    printReport(std::cout, report);
    if (!line.json.empty() && !writeFile(line.json, toJsonText(report))) {
        std::cerr << line.json << ": the file cannot be written; choose another with --json\n";
        return FileExitStatus;
    }
    return isFalse(report.falsehoods) ? FalseAnswerExitStatus : 0;
}

} // namespace

int main(int argc, char **argv)
{
    command_line line;
    const std::vector<option_row> rows{
        textOption("scenario", "FILE", "YAML file that describes the load; required", line.scenario),
        textOption("json", "FILE", "write the report as JSON too", line.json),
        numberOption("seed", "N", "seed in place of the scenario's", 0, 1e15, line.seed),
    };
    if (const auto status = parseOptions(Program, rows, {argv, static_cast<std::size_t>(argc)})) {
        return *status;
    }
    if (line.scenario.empty()) {
        return rejectUsage(Program, "--scenario is missing; give a YAML file, for example examples/khelachitra/scenario.yaml");
    }
    const auto scenario = readScenario(line);
    return scenario ? run(line, *scenario) : FileExitStatus;
}
