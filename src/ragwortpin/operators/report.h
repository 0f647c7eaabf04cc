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

/** Writes JSON with two spaces of indentation and a newline at the end. */
[[nodiscard]] std::string writeJson(const Json::Value &value);

/** Formats a time as 2026-01-31T12:00:00Z. */
[[nodiscard]] std::string formatTime(microseconds sinceEpoch);

/** One object for each problem: file, line, object, message, remedy. */
[[nodiscard]] Json::Value toJson(const std::vector<config_problem> &problems);

/** One object for each change: change, kind, name. */
[[nodiscard]] Json::Value toJson(const std::vector<object_change> &changes);

/** All objects with the field names of the files, and the revision. */
[[nodiscard]] Json::Value toJson(const configuration &value);

/** One object for each publication. */
[[nodiscard]] Json::Value toJson(const std::vector<publication_entry> &history);

/** One object for each node, with whether it is behind the newest revision. */
[[nodiscard]] Json::Value toJson(const std::vector<node_report> &reports, std::uint64_t newest);

/** Status, revision, changes, conflicts, problems and error of a publication. */
[[nodiscard]] Json::Value toJson(const publication_result &result);

/** One line for each change, for example: "+ route 'clips'". */
[[nodiscard]] std::string toText(const std::vector<object_change> &changes);

/** One line for each publication. */
[[nodiscard]] std::string toText(const std::vector<publication_entry> &history);

/** One line for each node. */
[[nodiscard]] std::string toText(const std::vector<node_report> &reports);

} // namespace ragwortpin

#endif
