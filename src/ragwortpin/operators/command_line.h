#ifndef RAGWORTPIN_OPERATORS_COMMAND_LINE_H
#define RAGWORTPIN_OPERATORS_COMMAND_LINE_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/operators/fwd.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** What ragwortpinctl is asked to do. */
enum class operator_command : unsigned char {
    Help,
    Version,
    Check,
    Diff,
    Publish,
    Show,
    History,
    Status,
    KeysMake,
    KeysWithdraw,
};

/** Exit codes of ragwortpinctl. */
enum class exit_code : int {
    Ok = 0,
    /** Rejected by the checks or for a conflict; or, for status, a node that is behind or cannot be reached. */
    Rejected = 1,
    Usage = 2,
    StoreUnreachable = 3,
    /** An answer was lost; run the same command again. */
    Unknown = 4,
};

/** Parsed command line. */
struct command_line
{
    operator_command command{operator_command::Help};
    /** Files of check, diff and publish. */
    std::vector<std::string> files;
    /** Name of the key for keys make and keys withdraw. */
    std::string keyName;
    std::string workspace;
    std::vector<endpoint> store;
    std::vector<endpoint> nodes;
    /** Time for a call to the store or to a node. */
    duration timeout{seconds{5}};
    /** Revision that the files were written from; nothing when not given. */
    std::optional<std::uint64_t> base;
    /** Whether the revision in force was given as the base, which replaces whatever it holds. */
    bool baseIsHead{false};
    std::optional<std::uint64_t> revision;
    std::uint64_t revisionFloor{0};
    std::string author;
    bool json{false};

    bool operator==(const command_line &) const = default;
};

/** Either a command line, or what is wrong with it. */
struct command_line_result
{
    std::optional<command_line> value;
    /** Sentence that names the remedy; empty when there is a value. */
    std::string problem;

    bool operator==(const command_line_result &) const = default;
};

/** Parses the arguments after the program's name. Not thread-safe: getopt_long keeps global state. */
[[nodiscard]] command_line_result parseCommandLine(const std::vector<std::string> &arguments);

/** Text of --help. */
[[nodiscard]] std::string_view helpText() noexcept;

} // namespace ragwortpin

#endif
