#ifndef RAGWORTPIN_CONFIG_CHECK_H
#define RAGWORTPIN_CONFIG_CHECK_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/problem.h"

#include <string_view>
#include <vector>

namespace ragwortpin {

/**
 * Returns whether a name is valid for an object: 1 to 63 lower-case letters, digits, '-', '_' and '.',
 * beginning with a letter or digit.
 */
[[nodiscard]] bool isObjectName(std::string_view name) noexcept;

/**
 * Validates a whole configuration: names, references, ranges, uniqueness, overlapping routes and constraints between fields.
 * Returns the problems sorted by file and line, empty for a valid configuration. Without sources the problems have no file
 * and line and name the object only.
 */
[[nodiscard]] std::vector<config_problem> checkConfiguration(const configuration &value, const configuration_sources &sources = {});

} // namespace ragwortpin

#endif
