#include "bench/fleet/scenarios.h"

#include <getopt.h>
#include <json/json.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

using namespace ragwortpin;
using namespace ragwortpin::fleet_bench;

namespace {

constexpr int UsageError{2};
constexpr std::size_t LargeFleetNodes{64};
constexpr std::size_t LargeFleetZones{8};
constexpr std::size_t SmallFleetZones{4};
constexpr std::size_t RegionCount{3};
constexpr double Percent{100.0};

using scenario = std::vector<figure> (*)(const scenario_options &);

struct named_scenario
{
    const char *name;
    scenario run;
};

constexpr std::array Scenarios{
    named_scenario{"revision", measureRevisionSpread},
    named_scenario{"draining", measureDraining},
    named_scenario{"steady", measureSteadyState},
    named_scenario{"detection", measureDetection},
    named_scenario{"merging", measureMerging},
};

struct bench_options
{
    std::vector<std::size_t> nodes{16, 64, 256, 1400};
    std::vector<double> losses{0.0, 0.05, 0.2};
    std::vector<std::string> scenarios{"revision", "draining", "steady", "detection", "merging"};
    std::uint64_t seed{20261204};
    std::size_t trials{20};
    bool isJson{false};
};

/** Figures of one scenario for one fleet size and loss fraction. */
struct result
{
    std::string scenario;
    std::size_t nodes{0};
    double loss{0.0};
    std::vector<figure> figures;
};

constexpr const char *Usage{
    "Usage: ragwortpin-fleet-bench [OPTION]...\n"
    "Simulates group membership and configuration spread of a whole fleet in virtual time and prints their cost and latency.\n"
    "  -n, --nodes=N,...       numbers of nodes (16,64,256,1400)\n"
    "  -l, --loss=F,...        fractions of datagrams and TCP segments lost (0,0.05,0.2)\n"
    "  -s, --scenario=NAME,... revision, draining, steady, detection, merging (all)\n"
    "  -t, --trials=N          repetitions in a scenario (20)\n"
    "  -r, --seed=N            seed of all random number generators (20261204)\n"
    "  -j, --json              print JSON instead of a table\n"
    "  -h, --help              print this text\n"};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream{text};
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

bool applyOption(int option, const std::string &value, bench_options &options)
{
    switch (option) {
    case 'n':
        options.nodes.clear();
        for (const auto &part : split(value)) {
            options.nodes.push_back(std::stoul(part));
        }
        return true;
    case 'l':
        options.losses.clear();
        for (const auto &part : split(value)) {
            options.losses.push_back(std::stod(part));
        }
        return true;
    case 's':
        options.scenarios = split(value);
        return true;
    case 't':
        options.trials = std::stoul(value);
        return true;
    case 'r':
        options.seed = std::stoull(value);
        return true;
    case 'j':
        options.isJson = true;
        return true;
    default:
        return false;
    }
}

scenario_options makeScenario(const bench_options &options, std::size_t nodes, double loss)
{
    scenario_options result;
    result.trials = options.trials;
    result.fleet.nodes = nodes;
    result.fleet.zones = nodes >= LargeFleetNodes ? LargeFleetZones : SmallFleetZones;
    result.fleet.regions = RegionCount;
    result.fleet.loss = loss;
    result.fleet.seed = options.seed;
    return result;
}

void printTable(const result &value)
{
    std::cout << value.scenario << ", " << value.nodes << " nodes, " << Percent * value.loss << " % loss\n";
    for (const auto &entry : value.figures) {
        std::cout << "  " << std::left << std::setw(44) << entry.name << std::right << std::setw(12) << std::fixed << std::setprecision(3)
                  << entry.value << ' ' << entry.unit << '\n';
    }
    std::cout << std::defaultfloat << std::flush;
}

Json::Value toJson(const result &value)
{
    Json::Value json;
    json["scenario"] = value.scenario;
    json["nodes"] = Json::UInt64{value.nodes};
    json["loss"] = value.loss;
    for (const auto &entry : value.figures) {
        Json::Value item;
        item["name"] = entry.name;
        item["unit"] = entry.unit;
        item["value"] = std::isfinite(entry.value) ? Json::Value{entry.value} : Json::Value{};
        json["figures"].append(item);
    }
    return json;
}

void run(const bench_options &options)
{
    Json::Value all{Json::arrayValue};
    for (const auto &candidate : Scenarios) {
        if (std::find(options.scenarios.begin(), options.scenarios.end(), candidate.name) == options.scenarios.end()) {
            continue;
        }
        for (const auto nodes : options.nodes) {
            for (const auto loss : options.losses) {
                const result value{candidate.name, nodes, loss, candidate.run(makeScenario(options, nodes, loss))};
                if (options.isJson) {
                    all.append(toJson(value));
                } else {
                    printTable(value);
                }
            }
        }
    }
    if (options.isJson) {
        std::cout << all << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::array<option, 8> longOptions{{
        {"nodes", required_argument, nullptr, 'n'},
        {"loss", required_argument, nullptr, 'l'},
        {"scenario", required_argument, nullptr, 's'},
        {"trials", required_argument, nullptr, 't'},
        {"seed", required_argument, nullptr, 'r'},
        {"json", no_argument, nullptr, 'j'},
        {"help", no_argument, nullptr, 'h'},
        {nullptr, 0, nullptr, 0},
    }};
    bench_options options;
    try {
        int option{0};
        while ((option = getopt_long(argc, argv, "n:l:s:t:r:jh", longOptions.data(), nullptr)) != -1) {
            if (option == 'h') {
                std::cout << Usage;
                return EXIT_SUCCESS;
            }
            if (!applyOption(option, optarg == nullptr ? "" : optarg, options)) {
                std::cerr << Usage;
                return UsageError;
            }
        }
    } catch (const std::logic_error &) {
        std::cerr << "An option value is not a valid number; see --help.\n";
        return UsageError;
    }
    run(options);
    return EXIT_SUCCESS;
}
