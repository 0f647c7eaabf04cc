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

/** Exit status for a command line that cannot be used. */
inline constexpr int UsageExitStatus{2};

/** Why the value of an option is rejected. */
enum class option_errc {
    NotANumber = 1,
    OutOfRange,
    NotLoopback,
    NotAMethodAndPath,
    UnknownWord,
};

/** Makes an error code of an option_errc. */
[[nodiscard]] std::error_code make_error_code(option_errc kind) noexcept;

/** One long option of a program. */
struct option_row
{
    const char *name;
    /** Placeholder of the value; null for an option without one. */
    const char *argument;
    const char *help;
    /** Stores the value, or says why it cannot be used. */
    std::function<std::error_code(const std::string &)> apply;
};

/** What --help says about a program. */
struct program_summary
{
    const char *name;
    const char *purpose;
};

/** Applies the command line. Returns the exit status when the program has to end: after --help, --version or an error. */
[[nodiscard]] std::optional<int>
parseOptions(const program_summary &program, const std::vector<option_row> &rows, std::span<char *> arguments);

/** Prints an error that names its remedy and returns UsageExitStatus. */
[[nodiscard]] int rejectUsage(const program_summary &program, std::string_view message);

/** Parses a decimal number within [least, most]. */
[[nodiscard]] std::error_code parseNumber(const std::string &text, double least, double most, double &number);

/** Row whose value is a number within [least, most]. */
template<typename Number>
requires std::integral<Number> || std::floating_point<Number>
[[nodiscard]] option_row numberOption(const char *name, const char *argument, const char *help, double least, double most, Number &target)
{
    return {name, argument, help, [least, most, &target](const std::string &text) {
                double number{0.0};
                const auto error = parseNumber(text, least, most, number);
                target = error ? target : static_cast<Number>(number);
                return error;
            }};
}

/** Row whose value is a loopback address. */
[[nodiscard]] option_row endpointOption(const char *name, const char *help, std::optional<endpoint> &target);

/** Row whose value is any text. */
[[nodiscard]] option_row textOption(const char *name, const char *argument, const char *help, std::string &target);

} // namespace ragwortpin::standins

template<>
struct std::is_error_code_enum<ragwortpin::standins::option_errc> : std::true_type
{ };

#endif
