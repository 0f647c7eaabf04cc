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

/** Content of a file, or the error that prevented reading it. */
struct file_content
{
    std::error_code error;
    std::string text;

    bool operator==(const file_content &) const = default;
};

/** Input, output and services that commands use. Tests replace them. */
struct command_environment
{
    /** Stream for results. */
    std::ostream &output;
    /** Stream for errors and warnings. */
    std::ostream &errors;
    std::function<file_content(const std::string &)> readFile;
    /** Connects to the store at the given addresses, with a timeout for each call. */
    std::function<store_call(const std::vector<endpoint> &, duration)> connect;
    /** Queries the status of the nodes at the given admin addresses, with a timeout for each. */
    std::function<std::vector<node_report>(const std::vector<endpoint> &, duration)> queryNodes;
    /** Returns the given number of random bytes as hexadecimal digits, two for each byte. */
    std::function<std::string(std::size_t)> randomHex;
    /** Returns the wall-clock time since the Unix epoch. */
    std::function<microseconds()> wallClock;
    /** Author of publications when --author is not given. */
    std::string userName;
};

/** Runs the command of a command line and returns the exit code of the program. */
[[nodiscard]] exit_code runCommand(const command_line &line, const command_environment &environment);

} // namespace ragwortpin

#endif
