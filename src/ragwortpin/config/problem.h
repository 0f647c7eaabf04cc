#ifndef RAGWORTPIN_CONFIG_PROBLEM_H
#define RAGWORTPIN_CONFIG_PROBLEM_H

#include "ragwortpin/config/fwd.h"

#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** A problem in a settings or configuration file, described so that an operator can fix it without reading the code. */
struct config_problem
{
    /** Name of the file as given by the operator; empty for a configuration that was loaded from the store. */
    std::string file;
    /** Line number from 1; 0 if the problem has no line. */
    int line{0};
    /** Object with the problem, for example: route 'clips'. */
    std::string object;
    std::string message;
    /** How the operator can fix the problem. */
    std::string remedy;

    bool operator==(const config_problem &) const = default;
};

/** Formats a problem as one line: file:line: object: message; remedy. Empty parts are left out. */
[[nodiscard]] std::string toText(const config_problem &problem);

/** Sorts problems by file, line, object, message and remedy, and removes duplicates. */
void sortProblems(std::vector<config_problem> &problems);

/** Returns the known name with the smallest edit distance to a mistyped one, or an empty string if none is close. */
[[nodiscard]] std::string nearestName(std::string_view name, const std::vector<std::string> &known);

/** Returns "did you mean 'X'?" for the closest known name, or a list of known names if none is close. */
[[nodiscard]] std::string nameSuggestion(std::string_view name, const std::vector<std::string> &known);

} // namespace ragwortpin

#endif
