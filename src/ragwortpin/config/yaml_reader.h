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

/** Limits on the size and nesting of the input, checked before the tree of nodes is built. */
struct yaml_limits
{
    std::size_t bytes{1024UL * 1024UL};
    /** Maximum nesting of lists and mappings. */
    std::size_t depth{16};
    /** Maximum number of scalars, lists and mappings together. */
    std::size_t nodes{200'000};

    bool operator==(const yaml_limits &) const = default;
};

/** Inclusive bounds of a number. */
struct number_range
{
    double minimum{0.0};
    double maximum{0.0};

    bool operator==(const number_range &) const = default;
};

/** Inclusive bounds of an integer. */
struct integer_range
{
    std::uint64_t minimum{0};
    std::uint64_t maximum{0};

    bool operator==(const integer_range &) const = default;
};

/** Inclusive bounds of a duration. */
struct milliseconds_range
{
    milliseconds minimum{0};
    milliseconds maximum{0};

    bool operator==(const milliseconds_range &) const = default;
};

/**
 * Parses one YAML document. Rejects anchors, aliases, tags, a second document and input that exceeds the limits. Returns
 * nothing and adds a problem if the text is rejected or is not valid YAML. Does not throw for any input.
 */
[[nodiscard]] std::optional<YAML::Node>
loadYaml(const std::string &file, const std::string &text, std::vector<config_problem> &problems, const yaml_limits &limits = {});

/**
 * Reads the fields of one mapping and collects all problems instead of throwing. A scalar field that is read without a fallback is
 * required. If there is a problem with a field, its read function returns the fallback, or an empty value or the lower bound of
 * the range without a fallback. Fields that were never read are unknown, and finish() reports them.
 */
class yaml_reader
{
public:
    /** Creates a reader of a node and reports a problem if the node is not a mapping. The problems must outlive the reader. */
    yaml_reader(std::string file, std::string object, const YAML::Node &node, std::vector<config_problem> &problems);

    /** Reads a string without control characters. A required string must not be empty. */
    [[nodiscard]] std::string readString(std::string_view field, const std::optional<std::string> &fallback = std::nullopt);

    /** Reads a finite number within the range. */
    [[nodiscard]] double readNumber(std::string_view field, number_range range, std::optional<double> fallback = std::nullopt);

    /** Reads an integer within the range. */
    [[nodiscard]] std::uint64_t
    readInteger(std::string_view field, integer_range range, std::optional<std::uint64_t> fallback = std::nullopt);

    /** Reads true or false. Rejects the other YAML booleans such as yes, no, on and off. */
    [[nodiscard]] bool readBool(std::string_view field, std::optional<bool> fallback = std::nullopt);

    /** Reads an integer number of milliseconds within the range. */
    [[nodiscard]] milliseconds
    readMilliseconds(std::string_view field, milliseconds_range range, std::optional<milliseconds> fallback = std::nullopt);

    /** Reads a list of non-empty strings. Returns an empty list if the field is missing. */
    [[nodiscard]] std::vector<std::string> readStrings(std::string_view field);

    /**
     * Reads a list of mappings. Returns an empty list if the field is missing. Each reader reports problems under the kind and
     * the mapping's name field, or under the kind and the position in the list if the mapping has no name.
     */
    [[nodiscard]] std::vector<yaml_reader> readMappings(std::string_view field, std::string_view kind);

    /** Reads a nested mapping. Returns nothing if the field is missing. */
    [[nodiscard]] std::optional<yaml_reader> readMapping(std::string_view field);

    /** Reports the fields that were not read as unknown, each with the most similar known name. Must be called after the last read. */
    void finish();

    /** Reports a problem at the line of a field, or at the line of the mapping if the field is missing. */
    void report(std::string_view field, std::string message, std::string remedy);

    /** Returns whether the field is present. */
    [[nodiscard]] bool has(std::string_view field) const noexcept;

    /** Returns the line of a field, from 1, or the line of the mapping if the field is missing. */
    [[nodiscard]] int line(std::string_view field) const noexcept;

    /** Returns the line of the mapping, from 1. */
    [[nodiscard]] int line() const noexcept;

    /** Returns the object that problems are reported for. */
    [[nodiscard]] const std::string &object() const noexcept;

private:
    struct entry
    {
        std::string name;
        YAML::Node value;
        int line{0};
    };

    [[nodiscard]] const entry *find(std::string_view field) const noexcept;
    /** Records the field as known and returns its entry. Reports a missing required field and a field without a value. */
    [[nodiscard]] const entry *readEntry(std::string_view field, bool required);
    [[nodiscard]] std::optional<std::string> readScalar(std::string_view field, bool required);
    void collectEntries(const YAML::Node &node);

    std::string m_file;
    std::string m_object;
    int m_line{0};
    bool m_isMapping{false};
    std::vector<entry> m_entries;
    std::vector<std::string> m_knownFields;
    std::vector<config_problem> *m_problems;
};

} // namespace ragwortpin

#endif
