#include "bench/rights/scenarios.h"

#include <getopt.h>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace {

constexpr int UsageError{2};

void printHelp()
{
    std::cout << "Usage: ragwortpin-rights-bench [--seed N] [--scenario NAME]\n"
                 "Measures the protocol functions of the distributed rate limiter in virtual time.\n"
                 "  -s, --seed N         seed of all random choices (default 20261204)\n"
                 "  -n, --scenario NAME  one of";
    for (const auto &scenario : ragwortpin::bench::rightsScenarios()) {
        std::cout << ' ' << scenario.name;
    }
    std::cout << " (default: all)\n"
                 "  -h, --help           show this text\n";
}

} // namespace

int main(int argc, char **argv)
{
    constexpr std::array Options{option{"seed", required_argument, nullptr, 's'},
                                 option{"scenario", required_argument, nullptr, 'n'},
                                 option{"help", no_argument, nullptr, 'h'},
                                 option{nullptr, 0, nullptr, 0}};
    std::uint64_t seed{20261204};
    std::string name;
    for (int choice{0}; (choice = getopt_long(argc, argv, "s:n:h", Options.data(), nullptr)) != -1;) {
        switch (choice) {
        case 's':
            seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'n':
            name = optarg;
            break;
        case 'h':
            printHelp();
            return EXIT_SUCCESS;
        default:
            printHelp();
            return UsageError;
        }
    }
    bool found{false};
    for (const auto &scenario : ragwortpin::bench::rightsScenarios()) {
        if (name.empty() || name == scenario.name) {
            std::cout << "\n== " << scenario.name << " (seed " << seed << ")\n";
            scenario.run(seed, std::cout);
            found = true;
        }
    }
    if (!found) {
        std::cerr << "unknown scenario '" << name << "'; see --help\n";
        return UsageError;
    }
    return EXIT_SUCCESS;
}
