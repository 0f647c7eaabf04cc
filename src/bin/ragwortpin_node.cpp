#include "ragwortpin/node/node.h"
#include "ragwortpin/node/settings.h"
#include "ragwortpin/runtime/logging.h"

#include <getopt.h>
#include <pthread.h>

#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>
#include <thread>

using namespace ragwortpin;

namespace {

constexpr int ExitSuccess{0};
constexpr int ExitFailure{1};
constexpr int ExitUsage{2};

constexpr const char *Usage{R"(Usage: ragwortpin-node --settings FILE [--check]

Runs one node beside a target until SIGTERM or SIGINT, then ends gracefully.

  -s, --settings FILE  settings in YAML; see docs/operations/settings.md
  -c, --check          check the settings and the secret file, then exit
  -h, --help           print this text
  -V, --version        print the version

Exit codes: 0 ended or checked, 1 settings or addresses unusable, 2 wrong usage.
)"};

/** Command line as it was read. */
struct command_line
{
    std::string settingsFile;
    bool check{false};
};

std::optional<command_line> parseCommandLine(int argc, char **argv, int &exitCode)
{
    constexpr std::array Options{option{"settings", required_argument, nullptr, 's'},
                                 option{"check", no_argument, nullptr, 'c'},
                                 option{"help", no_argument, nullptr, 'h'},
                                 option{"version", no_argument, nullptr, 'V'},
                                 option{nullptr, 0, nullptr, 0}};
    command_line result;
    int selected{0};
    while ((selected = getopt_long(argc, argv, "s:chV", Options.data(), nullptr)) != -1) {
        switch (selected) {
        case 's':
            result.settingsFile = optarg;
            break;
        case 'c':
            result.check = true;
            break;
        case 'h':
            std::cout << Usage;
            exitCode = ExitSuccess;
            return std::nullopt;
        case 'V':
            std::cout << "ragwortpin-node " << RAGWORTPIN_VERSION << '\n';
            exitCode = ExitSuccess;
            return std::nullopt;
        default:
            std::cerr << "See 'ragwortpin-node --help'.\n";
            exitCode = ExitUsage;
            return std::nullopt;
        }
    }
    if (result.settingsFile.empty() || optind != argc) {
        std::cerr << "ragwortpin-node needs --settings FILE and nothing else; see 'ragwortpin-node --help'.\n";
        exitCode = ExitUsage;
        return std::nullopt;
    }
    return result;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        std::cerr << path << ": cannot be read; check the path and its permissions\n";
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

/** Settings and secrets that passed their checks. */
struct loaded_settings
{
    node_settings settings;
    signing_keys keys;
};

std::optional<loaded_settings> load(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        return std::nullopt;
    }
    const auto parsed = parseNodeSettings(path, *text);
    for (const auto &problem : parsed.problems) {
        std::cerr << toText(problem) << '\n';
    }
    if (!parsed.problems.empty()) {
        return std::nullopt;
    }
    const auto secretText = readFile(parsed.settings.secretFile);
    if (!secretText) {
        return std::nullopt;
    }
    const auto secrets = parseSigningKeys(*secretText);
    if (!secrets.problem.empty()) {
        std::cerr << parsed.settings.secretFile << ": " << secrets.problem << '\n';
        return std::nullopt;
    }
    return loaded_settings{parsed.settings, secrets.keys};
}

sigset_t terminationSignals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

int run(const loaded_settings &loaded)
{
    const auto signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    initialiseLogging(loaded.settings.logLevel);
    node process{loaded.settings, loaded.keys};
    if (const auto problem = process.start(); !problem.empty()) {
        std::cerr << problem << '\n';
        return ExitFailure;
    }
    std::thread{[&process, signals] {
        int received{0};
        for (;;) {
            sigwait(&signals, &received);
            process.requestShutdown();
        }
    }}.detach();
    process.wait();
    std::quick_exit(ExitSuccess);
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode{ExitSuccess};
    const auto commandLine = parseCommandLine(argc, argv, exitCode);
    if (!commandLine) {
        return exitCode;
    }
    const auto loaded = load(commandLine->settingsFile);
    if (!loaded) {
        return ExitFailure;
    }
    if (commandLine->check) {
        std::cout << commandLine->settingsFile << ": no problems\n";
        return ExitSuccess;
    }
    return run(*loaded);
}
