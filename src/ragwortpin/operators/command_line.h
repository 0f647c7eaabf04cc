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

/** Commands of ragwortpinctl. */
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
    /** The checks failed or a publication conflicts with another; for status, a node is behind or cannot be reached. */
    Rejected = 1,
    /** The command line is wrong or a file cannot be read. */
    Usage = 2,
    /** The store cannot be reached; nothing was changed. */
    StoreUnreachable = 3,
    /** The response to a write was lost, so its outcome is unknown. Running the same command again is safe. */
    Unknown = 4,
};

/** Parsed command line of ragwortpinctl. */
struct command_line
{
    operator_command command{operator_command::Help};
    /** Configuration files for check, diff and publish. */
    std::vector<std::string> files;
    /** Name of the key that keys make creates or keys withdraw removes. */
    std::string keyName;
    /** Workspace of the key that keys make creates. */
    std::string workspace;
    std::vector<endpoint> store;
    /** Admin addresses of the nodes that status queries. */
    std::vector<endpoint> nodes;
    /** Timeout of each call to the store or to a node. */
    duration timeout{seconds{5}};
    /** Revision that the files were derived from; empty when --base is missing or is head. */
    std::optional<std::uint64_t> base;
    /** Whether --base is head: the files then replace the configuration in force, whatever its revision. */
    bool baseIsHead{false};
    /** Revision to show; empty for the one in force. */
    std::optional<std::uint64_t> revision;
    /** Published revisions are numbered above this one, to start an empty store above the revision that nodes still hold. */
    std::uint64_t revisionFloor{0};
    /** Author recorded in the history; empty for the user's name. */
    std::string author;
    /** Whether to print JSON. */
    bool json{false};

    bool operator==(const command_line &) const = default;
};

/** Result of parsing a command line: the value, or a description of the error. */
struct command_line_result
{
    std::optional<command_line> value;
    /** What is wrong and how to correct it; empty when there is a value. */
    std::string problem;

    bool operator==(const command_line_result &) const = default;
};

/** Parses the arguments that follow the program name. Not thread-safe, because getopt_long keeps global state. */
[[nodiscard]] command_line_result parseCommandLine(const std::vector<std::string> &arguments);

/** Returns the text printed by --help. */
[[nodiscard]] std::string_view helpText() noexcept;

} // namespace ragwortpin

#endif
