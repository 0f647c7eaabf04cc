#ifndef RAGWORTPIN_NODE_DAEMON_H
#define RAGWORTPIN_NODE_DAEMON_H

#include "ragwortpin/config/yaml_reader.h"
#include "ragwortpin/node/node.h"
#include "ragwortpin/node/settings.h"

#include <functional>
#include <string>
#include <vector>

namespace ragwortpin {

/**
 * Reads the settings fields that a program adds to those of a node and returns the extensions for the node. Problems are reported
 * through the reader.
 */
using extension_reader = std::function<node_extensions(yaml_reader &settings, node_settings &node)>;

/**
 * Runs a node as a daemon until SIGTERM or SIGINT. SIGHUP reloads the settings. The arguments are those of the command line
 * without the program name. Returns the exit code: 0 if there was nothing to run (--help, --version or a passed --check), 1 if
 * the settings are invalid or the node cannot start, 2 for wrong usage. After a graceful shutdown the function does not return:
 * it ends the process with exit code 0.
 */
[[nodiscard]] int runDaemon(const std::string &program, const std::vector<std::string> &arguments, const extension_reader &extension = {});

} // namespace ragwortpin

#endif
