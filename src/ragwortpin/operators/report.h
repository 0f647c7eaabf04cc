#ifndef RAGWORTPIN_OPERATORS_REPORT_H
#define RAGWORTPIN_OPERATORS_REPORT_H

#include "ragwortpin/config/diff.h"
#include "ragwortpin/config/problem.h"
#include "ragwortpin/config/publication.h"
#include "ragwortpin/operators/fleet_status.h"
#include "ragwortpin/operators/fwd.h"

#include <jsoncpp/json/value.h>

#include <string>
#include <vector>

namespace ragwortpin {

/** Returns JSON text indented by two spaces, with a newline at the end. */
[[nodiscard]] std::string writeJson(const Json::Value &value);

/** Formats a wall-clock time in UTC, for example 2026-01-31T12:00:00Z. Returns "unknown" when it is out of range. */
[[nodiscard]] std::string formatTime(microseconds sinceEpoch);

/** Returns an array with one object for each problem: file, line, object, message and remedy. */
[[nodiscard]] Json::Value toJson(const std::vector<config_problem> &problems);

/** Returns an array with one object for each change: change, kind and name. */
[[nodiscard]] Json::Value toJson(const std::vector<object_change> &changes);

/** Returns the revision and all objects of a configuration, with the field names of the configuration files. */
[[nodiscard]] Json::Value toJson(const configuration &value);

/** Returns an array with one object for each publication. */
[[nodiscard]] Json::Value toJson(const std::vector<publication_entry> &history);

/** Returns an array with one object for each node, which says whether the node is behind the newest revision. */
[[nodiscard]] Json::Value toJson(const std::vector<node_report> &reports, std::uint64_t newest);

/** Returns the status, revision, changes, conflicts, problems and error of a publication. */
[[nodiscard]] Json::Value toJson(const publication_result &result);

/** Returns one line for each change, for example: "+ route 'clips'". */
[[nodiscard]] std::string toText(const std::vector<object_change> &changes);

/** Returns one line for each publication. */
[[nodiscard]] std::string toText(const std::vector<publication_entry> &history);

/** Returns one line for each node. */
[[nodiscard]] std::string toText(const std::vector<node_report> &reports);

} // namespace ragwortpin

#endif
