#include "standins/support/options.h"

#include "ragwortpin/core/error_category.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <iomanip>
#include <iostream>

namespace ragwortpin::standins {

namespace {

constexpr std::array OptionErrors{
    error_text<option_errc>{option_errc::NotANumber, "the value is not a number; specify a decimal number"},
    error_text<option_errc>{option_errc::OutOfRange, "the value is out of range; see --help for the range"},
    error_text<option_errc>{option_errc::NotLoopback, "the value is not a loopback address; specify 127.A.B.C:PORT"},
    error_text<option_errc>{option_errc::NotAMethodAndPath, "the value does not have the form METHOD:PATH; specify for example GET:/clips"},
    error_text<option_errc>{option_errc::UnknownValue, "the value is not one of the allowed values; see --help for the list"},
};

const error_category OptionCategory{"options", OptionErrors};

/** Width of the option name column in the output of --help, in characters. */
constexpr int NameColumn{28};

/**
 * Values that getopt_long returns for --help and --version. All other options return their index in the list of definitions, so
 * these values lie above any index.
 */
constexpr int HelpValue{1000};
constexpr int VersionValue{1001};

void printLine(std::ostream &out, const std::string &name, const char *help)
{
    out << "  " << std::left << std::setw(NameColumn) << name << ' ' << help << '\n';
}

void printHelp(const program_summary &program, const std::vector<option_definition> &definitions)
{
    std::cout << "Usage: " << program.name << " [OPTION]...\n" << program.purpose << "\n\n";
    for (const auto &definition : definitions) {
        const std::string argument{definition.argument == nullptr ? std::string{} : std::string{"="} + definition.argument};
        printLine(std::cout, std::string{"--"} + definition.name + argument, definition.help);
    }
    printLine(std::cout, "--help", "show this text and exit");
    printLine(std::cout, "--version", "show the version and exit");
}

std::vector<option> toLongOptions(const std::vector<option_definition> &definitions)
{
    std::vector<option> options;
    options.reserve(definitions.size() + 3);
    int value{0};
    for (const auto &definition : definitions) {
        options.push_back({definition.name, definition.argument == nullptr ? no_argument : required_argument, nullptr, value++});
    }
    options.push_back({"help", no_argument, nullptr, HelpValue});
    options.push_back({"version", no_argument, nullptr, VersionValue});
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

std::optional<int> applyOption(const program_summary &program, const option_definition &definition, const std::string &value)
{
    const auto error = definition.apply(value);
    if (!error) {
        return std::nullopt;
    }
    return rejectUsage(program, std::string{"--"} + definition.name + "=" + value + ": " + error.message());
}

} // namespace

std::error_code make_error_code(option_errc kind) noexcept
{
    return {static_cast<int>(kind), OptionCategory};
}

int rejectUsage(const program_summary &program, std::string_view message)
{
    std::cerr << program.name << ": " << message << '\n';
    return UsageExitStatus;
}

std::optional<int>
parseOptions(const program_summary &program, const std::vector<option_definition> &definitions, std::span<char *> arguments)
{
    const auto options = toLongOptions(definitions);
    opterr = 0;
    optind = 1;
    for (;;) {
        const int value = getopt_long(static_cast<int>(arguments.size()), arguments.data(), ":", options.data(), nullptr);
        if (value == -1) {
            break;
        }
        if (value == HelpValue) {
            printHelp(program, definitions);
            return 0;
        }
        if (value == VersionValue) {
            std::cout << program.name << ' ' << RAGWORTPIN_VERSION << '\n';
            return 0;
        }
        const std::string argumentText{arguments[static_cast<std::size_t>(optind) - 1]};
        if (value == ':') {
            return rejectUsage(program, argumentText + ": the option requires a value; specify it as OPTION=VALUE");
        }
        if (value == '?') {
            return rejectUsage(program,
                               argumentText + ": unknown option, or value given for an option that takes none; see --help for the options");
        }
        if (const auto status = applyOption(program, definitions[static_cast<std::size_t>(value)], optarg == nullptr ? "" : optarg)) {
            return status;
        }
    }
    if (static_cast<std::size_t>(optind) < arguments.size()) {
        return rejectUsage(program,
                           std::string{arguments[static_cast<std::size_t>(optind)]} + ": unexpected argument; options start with --");
    }
    return std::nullopt;
}

std::error_code parseNumber(const std::string &text, double minimum, double maximum, double &number)
{
    double parsed{0.0};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), parsed);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return option_errc::NotANumber;
    }
    if (!(parsed >= minimum && parsed <= maximum)) {
        return option_errc::OutOfRange;
    }
    number = parsed;
    return {};
}

option_definition endpointOption(const char *name, const char *help, std::optional<endpoint> &target)
{
    return {name, "IP:PORT", help, [&target](const std::string &text) -> std::error_code {
                target = parseEndpoint(text);
                return target ? std::error_code{} : make_error_code(option_errc::NotLoopback);
            }};
}

option_definition textOption(const char *name, const char *argument, const char *help, std::string &target)
{
    return {name, argument, help, [&target](const std::string &text) {
                target = text;
                return std::error_code{};
            }};
}

} // namespace ragwortpin::standins
