#ifndef RAGWORTPIN_CONFIG_PARSE_H
#define RAGWORTPIN_CONFIG_PARSE_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/config/object_kind.h"
#include "ragwortpin/config/problem.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** A configuration file with its content. */
struct configuration_text
{
    std::string file;
    std::string text;

    bool operator==(const configuration_text &) const = default;
};

/** Line of one field. */
struct field_source
{
    std::string field;
    int line{0};

    bool operator==(const field_source &) const = default;
};

/** Where an object was written. */
struct object_source
{
    std::string name;
    std::string file;
    int line{0};
    std::vector<field_source> fields;

    bool operator==(const object_source &) const = default;
};

/** Where the objects were written: per kind, in the order of the configuration's list of that kind. Empty for a set from the store. */
struct configuration_sources
{
    std::array<std::vector<object_source>, ObjectKindTexts.size()> kinds;

    bool operator==(const configuration_sources &) const = default;
};

/** Result of reading files: the set is only meaningful when there are no problems. */
struct parsed_configuration
{
    configuration value;
    configuration_sources sources;
    std::vector<config_problem> problems;

    bool operator==(const parsed_configuration &) const = default;
};

/**
 * Reads the objects of one or more files into one set and reports what is wrong in each by itself: syntax, unknown and
 * missing fields, numbers out of bounds. References and the like are left to checkConfiguration().
 */
[[nodiscard]] parsed_configuration parseConfiguration(const std::vector<configuration_text> &texts);

/** Parses and checks the whole set; problems are sorted by file and line. */
[[nodiscard]] parsed_configuration readConfiguration(const std::vector<configuration_text> &texts);

} // namespace ragwortpin

#endif
