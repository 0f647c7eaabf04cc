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

  check FILE...                      check the files as one configuration, without the store
  diff FILE...                       list the changes that publishing the files would make
  publish FILE...                    check the files and publish them as the configuration in force
  show                               print the configuration in force, or an earlier revision that the store still holds
  history                            list the latest publications
  status                             query nodes for the revision that they have in force
  keys make NAME --workspace W       generate a secret and print the key object to add to the configuration
  keys withdraw NAME                 publish the configuration in force without the key

  --store IP:PORT[,IP:PORT...]       the platform's store (diff, publish, show, history, keys withdraw; optional for status)
  --nodes IP:PORT[,IP:PORT...]       admin addresses of nodes (status)
  --base REVISION|head               revision that the files were derived from (publish, diff); with head, the files
                                     replace the configuration in force, whatever its revision
  --revision REVISION                the revision to show
  --revision-above REVISION          number the first revision of an empty store above this one (publish)
  --author NAME                      author recorded in the history; default: the user's name
  --timeout SECONDS                  timeout of each call to the store or a node; default: 5
  --json                             print JSON
  --help, --version

exit codes: 0 success; 1 the checks failed or the publication conflicts with another, or (status) a node is behind or
cannot be reached; 2 wrong usage; 3 the store cannot be reached, nothing was changed; 4 the outcome of a write is unknown,
run the same command again
)"};

enum option_value : int {
    StoreOption = 256,
    NodesOption,
    BaseOption,
    RevisionOption,
    RevisionAboveOption,
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
    option{"revision-above", required_argument, nullptr, RevisionAboveOption},
    option{"author", required_argument, nullptr, AuthorOption},
    option{"timeout", required_argument, nullptr, TimeoutOption},
    option{"workspace", required_argument, nullptr, WorkspaceOption},
    option{"json", no_argument, nullptr, JsonOption},
    option{"help", no_argument, nullptr, HelpOption},
    option{"version", no_argument, nullptr, VersionOption},
    option{nullptr, 0, nullptr, 0},
};

/** Upper bound of --timeout. */
constexpr double MaxTimeoutSeconds{3600.0};
constexpr std::size_t MaxAuthorLength{128};

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
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

bool setEndpoints(std::vector<endpoint> &destination, const std::string &text)
{
    const auto parsed = parseEndpoints(text);
    destination = parsed.value_or(std::vector<endpoint>{});
    return parsed.has_value();
}

bool setBase(command_line &line, const std::string &text)
{
    line.baseIsHead = text == "head";
    line.base = parseNumber<std::uint64_t>(text);
    return line.baseIsHead || line.base.has_value();
}

bool setTimeout(command_line &line, const std::string &text)
{
    const auto value = parseNumber<double>(text);
    if (!value || !std::isfinite(*value) || *value <= 0.0 || *value > MaxTimeoutSeconds) {
        return false;
    }
    line.timeout = std::max(fromSeconds(*value), duration{milliseconds{1}});
    return true;
}

bool setRevisionFloor(command_line &line, const std::string &text)
{
    const auto value = parseNumber<std::uint64_t>(text);
    line.revisionFloor = value.value_or(0);
    return value.has_value();
}

bool setAuthor(command_line &line, const std::string &text)
{
    line.author = text;
    return text.size() <= MaxAuthorLength && std::all_of(text.begin(), text.end(), [](char character) {
               return static_cast<unsigned char>(character) >= 0x20 && character != 0x7f;
           });
}

/** Applies an option to the command line. Returns an error message, which is empty when the value is valid. */
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
        line.revision = parseNumber<std::uint64_t>(argument);
        return line.revision ? "" : "--revision needs a revision number";
    case RevisionAboveOption:
        return setRevisionFloor(line, argument) ? "" : "--revision-above needs a revision number";
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

/** Arguments that a command requires. */
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

/** Removes the command name, of two words for "keys make" and "keys withdraw", from the arguments and returns it. Empty if missing. */
std::string extractCommandName(std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        return {};
    }
    auto name = arguments.front();
    arguments.erase(arguments.begin());
    if (name == "keys" && !arguments.empty()) {
        name += " " + arguments.front();
        arguments.erase(arguments.begin());
    }
    return name;
}

/** Returns an error message when the arguments do not fit the command, or an empty text. */
std::string checkArguments(const command_rule &rule, const command_line &line, const std::vector<std::string> &positional)
{
    const std::string name{rule.name};
    const bool needsKeyName = rule.command == operator_command::KeysMake || rule.command == operator_command::KeysWithdraw;
    if (rule.needsFiles && positional.empty()) {
        return name + " needs at least one FILE";
    }
    if (needsKeyName && positional.size() != 1) {
        return name + " needs the NAME of one key";
    }
    if (!rule.needsFiles && !needsKeyName && !positional.empty()) {
        return name + " takes no argument '" + positional.front() + "'; remove it";
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

/** Combines the parsed options with the positional arguments, which name the command, its files or its key. */
command_line_result addPositionalArguments(command_line line, std::vector<std::string> positional)
{
    const auto name = extractCommandName(positional);
    const auto rule = std::find_if(CommandRules.begin(), CommandRules.end(), [&name](const command_rule &candidate) {
        return candidate.name == name;
    });
    if (rule == CommandRules.end()) {
        return {std::nullopt,
                name.empty() ? "a command is missing; see ragwortpinctl --help"
                             : "there is no command '" + name + "'; see ragwortpinctl --help"};
    }
    const auto problem = checkArguments(*rule, line, positional);
    if (!problem.empty()) {
        return {std::nullopt, problem};
    }
    line.command = rule->command;
    if (rule->needsFiles) {
        line.files = std::move(positional);
    } else if (!positional.empty()) {
        line.keyName = positional.front();
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
    return internal::addPositionalArguments(std::move(line), {pointers.data() + optind, pointers.data() + count});
}

std::string_view helpText() noexcept
{
    return internal::HelpText;
}

} // namespace ragwortpin
