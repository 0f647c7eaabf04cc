#ifndef RAGWORTPIN_CONFIG_CHECK_H
#define RAGWORTPIN_CONFIG_CHECK_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/problem.h"

#include <string_view>
#include <vector>

namespace ragwortpin {

/** Whether a text may name an object: 1 to 63 lower-case letters, digits, '-', '_' and '.', beginning with a letter or digit. */
[[nodiscard]] bool isObjectName(std::string_view name) noexcept;

/**
 * Checks a whole set: names, references, ranges, uniqueness, overlaps and rules between fields. Problems are sorted by file
 * and line; without sources they name the object alone.
 */
[[nodiscard]] std::vector<config_problem> checkConfiguration(const configuration &value, const configuration_sources &sources = {});

} // namespace ragwortpin

#endif
