#ifndef RAGWORTPIN_NODE_DAEMON_H
#define RAGWORTPIN_NODE_DAEMON_H

#include "ragwortpin/config/yaml_reader.h"
#include "ragwortpin/node/node.h"
#include "ragwortpin/node/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace ragwortpin {

/** Reads what a program adds to the settings of a node, and returns what it brings to the node. Problems go into the reader. */
using extension_reader = std::function<node_extensions(yaml_reader &settings, node_settings &node)>;

/**
 * Runs a node as a daemon until SIGTERM or SIGINT; SIGHUP has it read its settings again. The arguments are those of the
 * command line without the program's name. Returns the exit code: 0 ended or checked, 1 settings or addresses unusable, 2 wrong
 * usage. It ends the process itself after a graceful shutdown.
 */
[[nodiscard]] int runDaemon(const std::string &program, const std::vector<std::string> &arguments, const extension_reader &extension = {});

} // namespace ragwortpin

#endif
