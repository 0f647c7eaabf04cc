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
Runs the overload decisions against a small fake of the services in virtual time and prints tables.

  --experiment NAME   goodput, goodput-full, metastable, faults, fairness, attempts, cost or all (the default)
  --deployment NAME   khelachitra, confetti-cove, deep-chain or all (the default)
  --seed N            seed of all randomness (default 1)
  --json              print JSON in place of Markdown
  --svg FILE          also write the diagrams to FILE
  --help              print this text
)"};

/** Settings from the command line. */
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
    for (auto &place : {khelachitra(), confettiCove(), deepChain()}) {
        if (options.deployment == "all" || options.deployment == place.name) {
            input.places.push_back(place);
        }
    }
    return input;
}

void append(report &whole, const report &part)
{
    whole.tables.insert(whole.tables.end(), part.tables.begin(), part.tables.end());
    whole.charts.insert(whole.charts.end(), part.charts.begin(), part.charts.end());
}

void print(const report &found, bool json)
{
    if (json) {
        std::cout << toJson(found.tables);
        return;
    }
    for (const auto &content : found.tables) {
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
    report found;
    for (const auto &candidate : allExperiments()) {
        const bool partOfAll{options->experiment == "all" && candidate.name != "goodput-full"};
        if (partOfAll || options->experiment == candidate.name) {
            append(found, candidate.run(input));
        }
    }
    if (found.tables.empty() || input.places.empty()) {
        std::cerr << "unknown experiment or deployment; see --help for the names\n";
        return EXIT_FAILURE;
    }
    print(found, options->json);
    if (!options->svg.empty()) {
        std::ofstream{options->svg} << toSvg(found.charts);
    }
    return EXIT_SUCCESS;
}
