#ifndef RAGWORTPIN_OPERATORS_COMMANDS_H
#define RAGWORTPIN_OPERATORS_COMMANDS_H

#include "ragwortpin/operators/command_line.h"
#include "ragwortpin/operators/fleet_status.h"
#include "ragwortpin/store/store.h"

#include <cstddef>
#include <functional>
#include <iosfwd>
#include <string>
#include <system_error>
#include <vector>

namespace ragwortpin {

/** Content of a file, or why it cannot be read. */
struct file_content
{
    std::error_code error;
    std::string text;

    bool operator==(const file_content &) const = default;
};

/** What commands need of the world; tests pass their own. */
struct operator_environment
{
    /** Results. */
    std::ostream &output;
    /** Problems and warnings. */
    std::ostream &errors;
    std::function<file_content(const std::string &)> readFile;
    std::function<store_call(const std::vector<endpoint> &, duration)> connect;
    std::function<std::vector<node_report>(const std::vector<endpoint> &, duration)> queryNodes;
    /** Random bytes as hexadecimal digits, two for each byte. */
    std::function<std::string(std::size_t)> randomHex;
    /** Wall clock since the Unix epoch. */
    std::function<microseconds()> wallClock;
    /** Who publishes when --author is not given. */
    std::string userName;
};

/** Runs one command and returns the program's exit code. */
[[nodiscard]] exit_code runCommand(const command_line &line, const operator_environment &environment);

} // namespace ragwortpin

#endif
