#ifndef RAGWORTPIN_CONFIG_CHECK_H
#define RAGWORTPIN_CONFIG_CHECK_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/problem.h"

#include <vector>

namespace ragwortpin {

/**
 * Checks a whole set: names, references, ranges, uniqueness, overlaps and rules between fields. Problems are sorted by file
 * and line; without sources they name the object alone.
 */
[[nodiscard]] std::vector<config_problem> checkConfiguration(const configuration &value, const configuration_sources &sources = {});

} // namespace ragwortpin

#endif
