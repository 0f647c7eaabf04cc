#ifndef RAGWORTPIN_CONFIG_YAML_READER_H
#define RAGWORTPIN_CONFIG_YAML_READER_H

#include "ragwortpin/config/problem.h"
#include "ragwortpin/core/time.h"

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** Bounds on what is accepted as input, checked before a tree is built. */
struct yaml_limits
{
    std::size_t bytes{1024UL * 1024UL};
    std::size_t depth{16};
    /** Scalars, lists and mappings together. */
    std::size_t nodes{200'000};

    bool operator==(const yaml_limits &) const = default;
};

/** Inclusive bounds of a number. */
struct number_range
{
    double least{0.0};
    double most{0.0};

    bool operator==(const number_range &) const = default;
};

/** Inclusive bounds of a whole number. */
struct integer_range
{
    std::uint64_t least{0};
    std::uint64_t most{0};

    bool operator==(const integer_range &) const = default;
};

/** Inclusive bounds of a span of time. */
struct milliseconds_range
{
    milliseconds least{0};
    milliseconds most{0};

    bool operator==(const milliseconds_range &) const = default;
};

/**
 * Parses one YAML document. Anchors, aliases, tags, a second document and input beyond the limits are refused. Returns
 * nothing, with a problem added, when the text is not acceptable. Never throws for any input.
 */
[[nodiscard]] std::optional<YAML::Node>
loadYaml(const std::string &file, const std::string &text, std::vector<config_problem> &problems, const yaml_limits &limits = {});

/**
 * Reads the fields of one mapping and collects every problem instead of throwing. A field read without a fallback is
 * required. After a problem a read returns the fallback or an empty value. The fields that were read are the known ones:
 * finish() reports all others.
 */
class yaml_reader
{
public:
    /** Reads from a node that has to be a mapping. The problems must outlive the reader. */
    yaml_reader(std::string file, std::string object, const YAML::Node &node, std::vector<config_problem> &problems);

    /** Reads a text without control characters; a required one is not empty. */
    [[nodiscard]] std::string readString(std::string_view field, const std::optional<std::string> &fallback = std::nullopt);

    /** Reads a finite number within bounds. */
    [[nodiscard]] double readNumber(std::string_view field, number_range range, std::optional<double> fallback = std::nullopt);

    /** Reads a whole number within bounds. */
    [[nodiscard]] std::uint64_t
    readInteger(std::string_view field, integer_range range, std::optional<std::uint64_t> fallback = std::nullopt);

    /** Reads true or false; yes, no, on and off are refused. */
    [[nodiscard]] bool readBool(std::string_view field, std::optional<bool> fallback = std::nullopt);

    /** Reads a whole number of milliseconds within bounds. */
    [[nodiscard]] milliseconds
    readMilliseconds(std::string_view field, milliseconds_range range, std::optional<milliseconds> fallback = std::nullopt);

    /** Reads a list of texts; a missing field is an empty list. */
    [[nodiscard]] std::vector<std::string> readStrings(std::string_view field);

    /**
     * Reads a list of mappings; a missing field is an empty list. Each reader names its object by the kind and the
     * mapping's name field, or by its position when it has none.
     */
    [[nodiscard]] std::vector<yaml_reader> readMappings(std::string_view field, std::string_view kind);

    /** Reads a nested mapping; nothing when the field is missing. */
    [[nodiscard]] std::optional<yaml_reader> readMapping(std::string_view field);

    /** Reports the fields that were not read, each with the nearest known name. Call it after the last read. */
    void finish();

    /** Reports a problem at a field's line, or at the mapping's own line when the field is missing. */
    void report(std::string_view field, std::string message, std::string remedy);

    /** Whether the field is present. */
    [[nodiscard]] bool has(std::string_view field) const noexcept;

    /** Line of a field from 1; the line of the mapping when the field is missing. */
    [[nodiscard]] int line(std::string_view field) const noexcept;

    /** Line of the mapping, from 1. */
    [[nodiscard]] int line() const noexcept;

    /** Object that problems are reported for. */
    [[nodiscard]] const std::string &object() const noexcept;

private:
    struct entry
    {
        std::string name;
        YAML::Node value;
        int line{0};
    };

    [[nodiscard]] const entry *find(std::string_view field) const noexcept;
    [[nodiscard]] const entry *take(std::string_view field, bool required);
    [[nodiscard]] std::optional<std::string> takeScalar(std::string_view field, bool required);
    void collectEntries(const YAML::Node &node);

    std::string m_file;
    std::string m_object;
    int m_line{0};
    bool m_isMapping{false};
    std::vector<entry> m_entries;
    std::vector<std::string> m_known;
    std::vector<config_problem> *m_problems;
};

} // namespace ragwortpin

#endif
