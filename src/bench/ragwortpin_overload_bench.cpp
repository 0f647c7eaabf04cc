#include "bench/overload/experiments.h"

#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace ragwortpin::bench;

constexpr const char *Usage{R"(Usage: ragwortpin-overload-bench [OPTION]...
Simulates services under overload in virtual time with the overload control of ragwortpin and prints tables of results.

  --experiment NAME   goodput, goodput-full, metastable, faults, fairness, attempts, cost or all (the default)
  --deployment NAME   khelachitra, confetti-cove, deep-chain or all (the default)
  --seed N            seed of the random number generator (default 1)
  --json              print JSON instead of Markdown
  --svg FILE          also write the charts to FILE as SVG
  --help              print this text
)"};

/** Command-line options. */
struct bench_options
{
    std::string experiment{"all"};
    std::string deployment{"all"};
    std::uint64_t seed{1};
    bool json{false};
    std::string svg;
    bool help{false};
};

[[nodiscard]] std::optional<bench_options> parseOptions(int argc, char **argv)
{
    static const option known[]{
        {"experiment", required_argument, nullptr, 'e'},
        {"deployment", required_argument, nullptr, 'd'},
        {"seed", required_argument, nullptr, 's'},
        {"json", no_argument, nullptr, 'j'},
        {"svg", required_argument, nullptr, 'v'},
        {"help", no_argument, nullptr, 'h'},
        {nullptr, 0, nullptr, 0},
    };
    bench_options options;
    for (int key{getopt_long(argc, argv, "", known, nullptr)}; key != -1; key = getopt_long(argc, argv, "", known, nullptr)) {
        switch (key) {
        case 'e':
            options.experiment = optarg;
            break;
        case 'd':
            options.deployment = optarg;
            break;
        case 's':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'j':
            options.json = true;
            break;
        case 'v':
            options.svg = optarg;
            break;
        case 'h':
            options.help = true;
            break;
        default:
            return std::nullopt;
        }
    }
    return options;
}

[[nodiscard]] experiment_input inputFor(const bench_options &options)
{
    experiment_input input;
    input.seed = options.seed;
    for (auto &deployment : {khelachitra(), confettiCove(), deepChain()}) {
        if (options.deployment == "all" || options.deployment == deployment.name) {
            input.deployments.push_back(deployment);
        }
    }
    return input;
}

void append(report &whole, const report &part)
{
    whole.tables.insert(whole.tables.end(), part.tables.begin(), part.tables.end());
    whole.charts.insert(whole.charts.end(), part.charts.begin(), part.charts.end());
}

void print(const report &output, bool json)
{
    if (json) {
        std::cout << toJson(output.tables);
        return;
    }
    for (const auto &content : output.tables) {
        std::cout << toMarkdown(content) << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parseOptions(argc, argv);
    if (!options || options->help) {
        (options ? std::cout : std::cerr) << Usage;
        return options ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    const experiment_input input{inputFor(*options)};
    report output;
    for (const auto &candidate : allExperiments()) {
        const bool partOfAll{options->experiment == "all" && candidate.name != "goodput-full"};
        if (partOfAll || options->experiment == candidate.name) {
            append(output, candidate.run(input));
        }
    }
    if (output.tables.empty() || input.deployments.empty()) {
        std::cerr << "unknown experiment or deployment; see --help for the names\n";
        return EXIT_FAILURE;
    }
    print(output, options->json);
    if (!options->svg.empty()) {
        std::ofstream{options->svg} << toSvg(output.charts);
    }
    return EXIT_SUCCESS;
}
