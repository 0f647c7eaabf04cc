#include "ragwortpin/node/daemon.h"

#include "ragwortpin/identity/digest.h"
#include "ragwortpin/runtime/logging.h"

#include <getopt.h>
#include <pthread.h>

#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <thread>
#include <utility>

namespace ragwortpin {

namespace {

constexpr int ExitSuccess{0};
constexpr int ExitFailure{1};
constexpr int ExitUsage{2};

constexpr const char *Usage{R"( --settings FILE [--check]

Runs one node beside a target until SIGTERM or SIGINT, then shuts down gracefully.

  -s, --settings FILE  settings in YAML; see docs/operations/settings.md
  -c, --check          check the settings and the secret file, then exit
  -h, --help           print this text
  -V, --version        print the version

Exit codes: 0 graceful shutdown or valid settings, 1 invalid settings or failed
start, 2 wrong usage.
)"};

/** Parsed command line. */
struct command_line
{
    std::string settingsFile;
    bool check{false};
};

std::optional<command_line> parseCommandLine(const std::string &program, const std::vector<std::string> &arguments, int &exitCode)
{
    constexpr std::array Options{option{"settings", required_argument, nullptr, 's'},
                                 option{"check", no_argument, nullptr, 'c'},
                                 option{"help", no_argument, nullptr, 'h'},
                                 option{"version", no_argument, nullptr, 'V'},
                                 option{nullptr, 0, nullptr, 0}};
    auto words = arguments;
    words.insert(words.begin(), program);
    std::vector<char *> pointers;
    pointers.reserve(words.size() + 1);
    for (auto &word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    const auto count = static_cast<int>(words.size());
    command_line result;
    optind = 1;
    int selected{0};
    while ((selected = getopt_long(count, pointers.data(), "s:chV", Options.data(), nullptr)) != -1) {
        switch (selected) {
        case 's':
            result.settingsFile = optarg;
            break;
        case 'c':
            result.check = true;
            break;
        case 'h':
            std::cout << "Usage: " << program << Usage;
            exitCode = ExitSuccess;
            return std::nullopt;
        case 'V':
            std::cout << program << ' ' << RAGWORTPIN_VERSION << '\n';
            exitCode = ExitSuccess;
            return std::nullopt;
        default:
            std::cerr << "See '" << program << " --help'.\n";
            exitCode = ExitUsage;
            return std::nullopt;
        }
    }
    if (result.settingsFile.empty() || optind != count) {
        std::cerr << program << " requires --settings FILE and accepts no positional arguments; see '" << program << " --help'.\n";
        exitCode = ExitUsage;
        return std::nullopt;
    }
    return result;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    return file ? std::optional{std::string{std::istreambuf_iterator<char>{file}, {}}} : std::nullopt;
}

void reportUnreadable(const std::string &path)
{
    std::cerr << path << ": cannot read the file; check the path and its permissions\n";
}

/** Settings, keys and extensions that passed validation. */
struct loaded_settings
{
    node_settings settings;
    signing_keys keys;
    node_extensions extensions;
};

std::optional<node_settings>
parseSettings(const std::string &path, const std::string &text, const extension_reader &extension, node_extensions &extensions)
{
    const auto parsed = parseNodeSettings(path, text, [&](yaml_reader &reader, node_settings &settings) {
        if (extension) {
            extensions = extension(reader, settings);
        }
    });
    for (const auto &problem : parsed.problems) {
        std::cerr << toText(problem) << '\n';
    }
    return parsed.problems.empty() ? std::optional{parsed.settings} : std::nullopt;
}

std::optional<node_settings> loadSettings(const std::string &path, const extension_reader &extension, node_extensions &extensions)
{
    const auto text = readFile(path);
    if (!text) {
        reportUnreadable(path);
        return std::nullopt;
    }
    return parseSettings(path, *text, extension, extensions);
}

/** Settings file of a running process. It may change at any time, so it is read again and parsed only if its text differs. */
class settings_file
{
public:
    settings_file(std::string path, extension_reader extension)
        : m_path{std::move(path)}
        , m_extension{std::move(extension)}
        , m_text{readFile(m_path)}
    { }

    settings_update read()
    {
        auto text = readFile(m_path);
        if (text == m_text) {
            return {m_isUsable ? settings_state::Unchanged : settings_state::Unusable, {}};
        }
        m_text = std::move(text);
        if (!m_text) {
            reportUnreadable(m_path);
        }
        node_extensions ignored;
        auto settings = m_text ? parseSettings(m_path, *m_text, m_extension, ignored) : std::nullopt;
        m_isUsable = settings.has_value();
        return settings ? settings_update{settings_state::Changed, std::move(*settings)} : settings_update{settings_state::Unusable, {}};
    }

private:
    std::string m_path;
    extension_reader m_extension;
    std::optional<std::string> m_text;
    bool m_isUsable{true};
};

std::optional<signing_keys> loadKeys(const node_settings &settings)
{
    if (!settings.networkSecret.empty()) {
        return signing_keys{{sha256Hex(settings.networkSecret)}};
    }
    const auto text = readFile(settings.secretFile);
    if (!text) {
        reportUnreadable(settings.secretFile);
        return std::nullopt;
    }
    const auto secrets = parseSigningKeys(*text);
    if (!secrets.problem.empty()) {
        std::cerr << settings.secretFile << ": " << secrets.problem << '\n';
        return std::nullopt;
    }
    return secrets.keys;
}

std::optional<loaded_settings> load(const std::string &path, const extension_reader &extension)
{
    loaded_settings loaded;
    const auto settings = loadSettings(path, extension, loaded.extensions);
    const auto keys = settings ? loadKeys(*settings) : std::nullopt;
    if (!keys) {
        return std::nullopt;
    }
    loaded.settings = *settings;
    loaded.keys = *keys;
    return loaded;
}

sigset_t handledSignals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

int run(const std::string &path, loaded_settings loaded, const extension_reader &extension)
{
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    initialiseLogging(loaded.settings.logLevel);
    node process{loaded.settings, loaded.keys, std::move(loaded.extensions), [file = settings_file{path, extension}]() mutable {
                     return file.read();
                 }};
    if (const auto problem = process.start(); !problem.empty()) {
        std::cerr << problem << '\n';
        return ExitFailure;
    }
    std::thread{[&process, signals] {
        int received{0};
        for (;;) {
            sigwait(&signals, &received);
            if (received == SIGHUP) {
                process.reload();
            } else {
                process.requestShutdown();
            }
        }
    }}.detach();
    process.wait();
    flushLog();
    std::quick_exit(ExitSuccess);
}

} // namespace

int runDaemon(const std::string &program, const std::vector<std::string> &arguments, const extension_reader &extension)
{
    int exitCode{ExitSuccess};
    const auto commandLine = parseCommandLine(program, arguments, exitCode);
    if (!commandLine) {
        return exitCode;
    }
    auto loaded = load(commandLine->settingsFile, extension);
    if (!loaded) {
        return ExitFailure;
    }
    if (commandLine->check) {
        std::cout << commandLine->settingsFile << ": no problems\n";
        return ExitSuccess;
    }
    return run(commandLine->settingsFile, std::move(*loaded), extension);
}

} // namespace ragwortpin
