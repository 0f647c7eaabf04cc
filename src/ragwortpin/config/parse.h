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

/** Name and content of a configuration file. */
struct configuration_text
{
    std::string file;
    std::string text;

    bool operator==(const configuration_text &) const = default;
};

/** Source line of one field. */
struct field_source
{
    std::string field;
    int line{0};

    bool operator==(const field_source &) const = default;
};

/** Source location of an object and of its fields. */
struct object_source
{
    std::string name;
    std::string file;
    int line{0};
    std::vector<field_source> fields;

    bool operator==(const object_source &) const = default;
};

/**
 * Source locations of all objects of a configuration. The locations of each kind are in the order of the configuration's
 * objects of that kind; empty for a configuration that was loaded from the store.
 */
struct configuration_sources
{
    std::array<std::vector<object_source>, ObjectKindTexts.size()> kinds;

    bool operator==(const configuration_sources &) const = default;
};

/** Result of reading configuration files. The configuration is only meaningful if there are no problems. */
struct parsed_configuration
{
    configuration value;
    configuration_sources sources;
    std::vector<config_problem> problems;

    bool operator==(const parsed_configuration &) const = default;
};

/**
 * Parses one or more files into one configuration. Reports problems that concern a single file or object: syntax errors,
 * unknown and missing fields, numbers out of range. Does not check names, references and other constraints between objects, which
 * checkConfiguration() does.
 */
[[nodiscard]] parsed_configuration parseConfiguration(const std::vector<configuration_text> &texts);

/** Parses files and validates the resulting configuration. The problems are sorted by file and line. */
[[nodiscard]] parsed_configuration parseAndCheckConfiguration(const std::vector<configuration_text> &texts);

} // namespace ragwortpin

#endif
