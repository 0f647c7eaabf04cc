#include "ragwortpin/operators/command_line.h"

#include "ragwortpin/node/settings.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>

namespace ragwortpin {

namespace internal {

constexpr std::string_view HelpText{
    R"(usage: ragwortpinctl COMMAND [OPTION]...

  check FILE...                      check files as one set, without the store
  diff FILE...                       list what publishing the files would change
  publish FILE...                    check the files and put them in force
  show                               print the set in force, or a kept revision
  history                            list the latest publications
  status                             ask nodes which revision they have in force
  keys make NAME --workspace W       make a secret and the object of its key
  keys withdraw NAME                 publish the set in force without a key

  --store IP:PORT[,IP:PORT...]       the platform's store (diff, publish, show, history, keys withdraw; status if wanted)
  --nodes IP:PORT[,IP:PORT...]       admin addresses of nodes (status)
  --base REVISION|head               revision that the files were written from (publish, diff); head replaces
                                     whatever is in force by the files
  --revision REVISION                the revision to show
  --revision-above REVISION          begin an empty store above this revision (publish)
  --author NAME                      who publishes, for the history; the user's name if left out
  --timeout SECONDS                  time for each call to the store or a node; 5 if left out
  --json                             print JSON
  --help, --version

exit codes: 0 done; 1 rejected by the checks or for a conflict, or (status) a node is behind or cannot be reached;
2 wrong usage; 3 the store cannot be reached, nothing was changed; 4 outcome unknown, run the same command again
)"};

enum option_value : int {
    StoreOption = 256,
    NodesOption,
    BaseOption,
    RevisionOption,
    FloorOption,
    AuthorOption,
    TimeoutOption,
    WorkspaceOption,
    JsonOption,
    HelpOption,
    VersionOption,
};

constexpr std::array Options{
    option{"store", required_argument, nullptr, StoreOption},
    option{"nodes", required_argument, nullptr, NodesOption},
    option{"base", required_argument, nullptr, BaseOption},
    option{"revision", required_argument, nullptr, RevisionOption},
    option{"revision-above", required_argument, nullptr, FloorOption},
    option{"author", required_argument, nullptr, AuthorOption},
    option{"timeout", required_argument, nullptr, TimeoutOption},
    option{"workspace", required_argument, nullptr, WorkspaceOption},
    option{"json", no_argument, nullptr, JsonOption},
    option{"help", no_argument, nullptr, HelpOption},
    option{"version", no_argument, nullptr, VersionOption},
    option{nullptr, 0, nullptr, 0},
};

/** Longest --timeout, in seconds. */
constexpr double MaximumTimeout{3600.0};
constexpr std::size_t AuthorLength{128};

template<typename Number>
std::optional<Number> parseWhole(std::string_view text)
{
    Number value{};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::vector<endpoint>> parseEndpoints(const std::string &text)
{
    std::vector<endpoint> endpoints;
    std::size_t begin{0};
    while (begin <= text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        const auto parsed = parseEndpoint(text.substr(begin, end - begin));
        if (!parsed) {
            return std::nullopt;
        }
        endpoints.push_back(*parsed);
        begin = end + 1;
    }
    return endpoints;
}

bool setEndpoints(std::vector<endpoint> &target, const std::string &text)
{
    const auto parsed = parseEndpoints(text);
    target = parsed.value_or(std::vector<endpoint>{});
    return parsed.has_value();
}

bool setBase(command_line &line, const std::string &text)
{
    line.baseIsHead = text == "head";
    line.base = parseWhole<std::uint64_t>(text);
    return line.baseIsHead || line.base.has_value();
}

bool setTimeout(command_line &line, const std::string &text)
{
    const auto value = parseWhole<double>(text);
    if (!value || !std::isfinite(*value) || *value <= 0.0 || *value > MaximumTimeout) {
        return false;
    }
    line.timeout = std::max(fromSeconds(*value), duration{milliseconds{1}});
    return true;
}

bool setFloor(command_line &line, const std::string &text)
{
    const auto value = parseWhole<std::uint64_t>(text);
    line.revisionFloor = value.value_or(0);
    return value.has_value();
}

bool setAuthor(command_line &line, const std::string &text)
{
    line.author = text;
    return text.size() <= AuthorLength && std::all_of(text.begin(), text.end(), [](char character) {
               return static_cast<unsigned char>(character) >= 0x20 && character != 0x7f;
           });
}

/** Applies one option; returns what is wrong with its value, or an empty text. */
std::string applyOption(command_line &line, int value, const std::string &argument)
{
    switch (value) {
    case StoreOption:
        return setEndpoints(line.store, argument) ? "" : "--store needs IP:PORT, or several separated by commas";
    case NodesOption:
        return setEndpoints(line.nodes, argument) ? "" : "--nodes needs IP:PORT, or several separated by commas";
    case BaseOption:
        return setBase(line, argument) ? "" : "--base needs a revision number or 'head'";
    case RevisionOption:
        line.revision = parseWhole<std::uint64_t>(argument);
        return line.revision ? "" : "--revision needs a revision number";
    case FloorOption:
        return setFloor(line, argument) ? "" : "--revision-above needs a revision number";
    case AuthorOption:
        return setAuthor(line, argument) ? "" : "--author needs a name of up to 128 printable characters";
    case TimeoutOption:
        return setTimeout(line, argument) ? "" : "--timeout needs seconds above 0 and up to 3600";
    case WorkspaceOption:
        line.workspace = argument;
        return "";
    case JsonOption:
        line.json = true;
        return "";
    default:
        return "an option is unknown or lacks its value; see ragwortpinctl --help";
    }
}

/** A command with what it needs. */
struct command_rule
{
    std::string_view name;
    operator_command command;
    bool needsFiles{false};
    bool needsStore{false};
};

constexpr std::array CommandRules{
    command_rule{"check", operator_command::Check, true, false},
    command_rule{"diff", operator_command::Diff, true, true},
    command_rule{"publish", operator_command::Publish, true, true},
    command_rule{"show", operator_command::Show, false, true},
    command_rule{"history", operator_command::History, false, true},
    command_rule{"status", operator_command::Status, false, false},
    command_rule{"keys make", operator_command::KeysMake, false, false},
    command_rule{"keys withdraw", operator_command::KeysWithdraw, false, true},
};

/** Joins "keys" with the word after it and takes the command's words away. */
std::string takeCommandName(std::vector<std::string> &words)
{
    if (words.empty()) {
        return {};
    }
    auto name = words.front();
    words.erase(words.begin());
    if (name == "keys" && !words.empty()) {
        name += " " + words.front();
        words.erase(words.begin());
    }
    return name;
}

std::string checkRule(const command_rule &rule, const command_line &line, const std::vector<std::string> &words)
{
    const std::string name{rule.name};
    const bool takesKey = rule.command == operator_command::KeysMake || rule.command == operator_command::KeysWithdraw;
    if (rule.needsFiles && words.empty()) {
        return name + " needs at least one FILE";
    }
    if (takesKey && words.size() != 1) {
        return name + " needs the NAME of one key";
    }
    if (!rule.needsFiles && !takesKey && !words.empty()) {
        return name + " takes no argument '" + words.front() + "'; remove it";
    }
    if (rule.needsStore && line.store.empty()) {
        return name + " needs --store IP:PORT";
    }
    if (rule.command == operator_command::Status && line.nodes.empty()) {
        return name + " needs --nodes IP:PORT[,IP:PORT...]";
    }
    if (rule.command == operator_command::KeysMake && line.workspace.empty()) {
        return name + " needs --workspace NAME";
    }
    return {};
}

command_line_result finish(command_line line, std::vector<std::string> words)
{
    const auto name = takeCommandName(words);
    const auto rule = std::find_if(CommandRules.begin(), CommandRules.end(), [&name](const command_rule &candidate) {
        return candidate.name == name;
    });
    if (rule == CommandRules.end()) {
        return {std::nullopt,
                name.empty() ? "a command is missing; see ragwortpinctl --help"
                             : "there is no command '" + name + "'; see ragwortpinctl --help"};
    }
    const auto problem = checkRule(*rule, line, words);
    if (!problem.empty()) {
        return {std::nullopt, problem};
    }
    line.command = rule->command;
    if (rule->needsFiles) {
        line.files = std::move(words);
    } else if (!words.empty()) {
        line.keyName = words.front();
    }
    return {std::move(line), {}};
}

command_line withCommand(operator_command command)
{
    command_line line;
    line.command = command;
    return line;
}

} // namespace internal

command_line_result parseCommandLine(const std::vector<std::string> &arguments)
{
    std::vector<std::string> storage{"ragwortpinctl"};
    storage.insert(storage.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    pointers.reserve(storage.size() + 1);
    for (auto &argument : storage) {
        pointers.push_back(argument.data());
    }
    const auto count = static_cast<int>(pointers.size());
    pointers.push_back(nullptr);
    command_line line;
    optind = 0;
    opterr = 0;
    int value{0};
    while ((value = getopt_long(count, pointers.data(), "", internal::Options.data(), nullptr)) != -1) {
        if (value == internal::HelpOption) {
            return {internal::withCommand(operator_command::Help), {}};
        }
        if (value == internal::VersionOption) {
            return {internal::withCommand(operator_command::Version), {}};
        }
        const auto problem = internal::applyOption(line, value, optarg == nullptr ? "" : optarg);
        if (!problem.empty()) {
            return {std::nullopt, problem};
        }
    }
    return internal::finish(std::move(line), {pointers.data() + optind, pointers.data() + count});
}

std::string_view helpText() noexcept
{
    return internal::HelpText;
}

} // namespace ragwortpin
