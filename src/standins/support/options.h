#ifndef RAGWORTPIN_STANDINS_SUPPORT_OPTIONS_H
#define RAGWORTPIN_STANDINS_SUPPORT_OPTIONS_H

#include "standins/support/endpoint.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ragwortpin::standins {

/** Exit status for an invalid command line. */
inline constexpr int UsageExitStatus{2};

/** Reasons for rejecting the value of an option. */
enum class option_errc {
    NotANumber = 1,
    OutOfRange,
    NotLoopback,
    NotAMethodAndPath,
    UnknownValue,
};

/** Returns the error code for an option_errc. */
[[nodiscard]] std::error_code make_error_code(option_errc kind) noexcept;

/** Long command-line option of a program. */
struct option_definition
{
    const char *name;
    /** Placeholder for the value in the help text; null for an option that takes no value. */
    const char *argument;
    const char *help;
    /** Stores the value, or returns the reason for rejecting it. */
    std::function<std::error_code(const std::string &)> apply;
};

/** Name and purpose of a program, as printed by --help. */
struct program_summary
{
    const char *name;
    const char *purpose;
};

/**
 * Parses the command line and applies each option. Returns an exit status if the program must exit: after --help, --version
 * or an error. Returns nullopt otherwise.
 */
[[nodiscard]] std::optional<int>
parseOptions(const program_summary &program, const std::vector<option_definition> &definitions, std::span<char *> arguments);

/** Prints an error message to the standard error stream and returns UsageExitStatus. The message should name the remedy. */
[[nodiscard]] int rejectUsage(const program_summary &program, std::string_view message);

/** Parses a decimal number within [minimum, maximum]. Leaves number unchanged on an error. */
[[nodiscard]] std::error_code parseNumber(const std::string &text, double minimum, double maximum, double &number);

/** Returns the definition of an option whose value is a number within [minimum, maximum]. */
template<typename Number>
requires std::integral<Number> || std::floating_point<Number>
[[nodiscard]] option_definition
numberOption(const char *name, const char *argument, const char *help, double minimum, double maximum, Number &target)
{
    return {name, argument, help, [minimum, maximum, &target](const std::string &text) {
                double number{0.0};
                const auto error = parseNumber(text, minimum, maximum, number);
                target = error ? target : static_cast<Number>(number);
                return error;
            }};
}

/** Returns the definition of an option whose value is a loopback address. */
[[nodiscard]] option_definition endpointOption(const char *name, const char *help, std::optional<endpoint> &target);

/** Returns the definition of an option whose value is arbitrary text. */
[[nodiscard]] option_definition textOption(const char *name, const char *argument, const char *help, std::string &target);

} // namespace ragwortpin::standins

template<>
struct std::is_error_code_enum<ragwortpin::standins::option_errc> : std::true_type
{ };

#endif
