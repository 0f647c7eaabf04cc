#ifndef RAGWORTPIN_CONFIG_PROBLEM_H
#define RAGWORTPIN_CONFIG_PROBLEM_H

#include "ragwortpin/config/fwd.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** One fault of a settings or configuration file, told so that an operator can mend it without reading code. */
struct config_problem
{
    /** Name of the file as it was given; empty for a set that was read from the store. */
    std::string file;
    /** Line from 1; 0 where no line applies. */
    int line{0};
    /** Object that is at fault, for example: route 'clips'. */
    std::string object;
    std::string message;
    /** What the operator can do. */
    std::string remedy;

    bool operator==(const config_problem &) const = default;
};

/** Formats a problem as one line: file:line: object: message; remedy. Parts that are empty are left out. */
[[nodiscard]] std::string toText(const config_problem &problem);

/** Sorts problems by file, line, object and message, and drops repeated ones. */
void sortProblems(std::vector<config_problem> &problems);

/** Returns the known name closest to a mistyped one, or an empty string when none is close. */
[[nodiscard]] std::string nearestName(std::string_view name, const std::vector<std::string> &known);

/** Returns "did you mean 'X'?" for the closest known name, else the list of known names. */
[[nodiscard]] std::string nameSuggestion(std::string_view name, const std::vector<std::string> &known);

} // namespace ragwortpin

#endif
