#include "ragwortpin/config/yaml_reader.h"

#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace ragwortpin {

namespace internal {

/** Maximum length of a string value, in bytes. */
constexpr std::size_t MaxStringLength{4096};

/** Thrown by limit_checker for rejected input. Caught in loadYaml(). */
struct rejected_yaml : std::runtime_error
{
    rejected_yaml(const YAML::Mark &mark, const std::string &message, std::string remedyMessage)
        : std::runtime_error{message}
        , line{mark.line + 1}
        , remedy{std::move(remedyMessage)}
    { }

    int line;
    std::string remedy;
};

/** Rejects input that exceeds the limits, and YAML features that configurations do not need or that expand a small text to a large tree. */
class limit_checker final : public YAML::EventHandler
{
public:
    explicit limit_checker(const yaml_limits &limits)
        : m_limits{limits}
    { }

    void OnDocumentStart(const YAML::Mark &mark) override
    {
        if (++m_documents > 1) {
            throw rejected_yaml{mark, "the file contains more than one document", "remove the line '---' or split the file"};
        }
    }

    void OnDocumentEnd() override
    { }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        countNode(mark, anchor);
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        rejectAnchor(mark);
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, const std::string & /*value*/) override
    {
        checkTag(mark, tag);
        countNode(mark, anchor);
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        enterCollection(mark, tag, anchor);
    }

    void OnSequenceEnd() override
    {
        --m_depth;
    }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, YAML::EmitterStyle::value) override
    {
        enterCollection(mark, tag, anchor);
    }

    void OnMapEnd() override
    {
        --m_depth;
    }

private:
    [[noreturn]] static void rejectAnchor(const YAML::Mark &mark)
    {
        throw rejected_yaml{mark, "anchors and aliases are not accepted", "write the value out where it is used"};
    }

    static void checkTag(const YAML::Mark &mark, const std::string &tag)
    {
        if (!tag.empty() && tag != "?" && tag != "!") {
            throw rejected_yaml{mark, "the tag '" + tag + "' is not accepted", "remove the tag"};
        }
    }

    void enterCollection(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor)
    {
        checkTag(mark, tag);
        countNode(mark, anchor);
        if (++m_depth > m_limits.depth) {
            throw rejected_yaml{mark,
                                "lists and mappings are nested deeper than " + std::to_string(m_limits.depth),
                                "check the brackets and the indentation; no field needs such deep nesting"};
        }
    }

    void countNode(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != YAML::NullAnchor) {
            rejectAnchor(mark);
        }
        if (++m_nodes > m_limits.nodes) {
            throw rejected_yaml{mark,
                                "the file contains more than " + std::to_string(m_limits.nodes) + " values",
                                "remove objects that are no longer needed"};
        }
    }

    yaml_limits m_limits;
    std::size_t m_documents{0};
    std::size_t m_nodes{0};
    std::size_t m_depth{0};
};

void checkLimits(const std::string &text, const yaml_limits &limits)
{
    std::istringstream input{text};
    YAML::Parser parser{input};
    limit_checker checker{limits};
    while (parser.HandleNextDocument(checker)) { }
}

template<typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number value{};
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

bool isControl(char character) noexcept
{
    const auto code = static_cast<unsigned char>(character);
    return code < 0x20 || code == 0x7f;
}

/** Returns a number as text without trailing zeros. */
std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace internal

std::optional<YAML::Node>
loadYaml(const std::string &file, const std::string &text, std::vector<config_problem> &problems, const yaml_limits &limits)
{
    if (text.size() > limits.bytes) {
        problems.push_back({file,
                            0,
                            "file",
                            "contains " + std::to_string(text.size()) + " bytes, more than " + std::to_string(limits.bytes),
                            "remove objects that are no longer needed"});
        return std::nullopt;
    }
    try {
        internal::checkLimits(text, limits);
        return YAML::Load(text);
    } catch (const internal::rejected_yaml &error) {
        problems.push_back({file, error.line, "file", error.what(), error.remedy});
    } catch (const YAML::Exception &error) {
        problems.push_back({file, error.mark.line + 1, "file", "is not valid YAML: " + error.msg, "correct the syntax at this line"});
    } catch (const std::exception &error) {
        problems.push_back({file, 0, "file", std::string{"cannot be read as YAML: "} + error.what(), "correct the syntax"});
    }
    return std::nullopt;
}

yaml_reader::yaml_reader(std::string file, std::string object, const YAML::Node &node, std::vector<config_problem> &problems)
    : m_file{std::move(file)}
    , m_object{std::move(object)}
    , m_line{std::max(node.Mark().line + 1, 1)}
    , m_isMapping{node.IsMap()}
    , m_problems{&problems}
{
    if (!m_isMapping) {
        report({}, "is not a mapping", "write its fields as 'name: value' lines");
        return;
    }
    collectEntries(node);
}

std::string yaml_reader::readString(std::string_view field, const std::optional<std::string> &fallback)
{
    const auto scalar = readScalar(field, !fallback.has_value());
    if (!scalar) {
        return fallback.value_or("");
    }
    if (scalar->size() > internal::MaxStringLength) {
        report(field, "field '" + std::string{field} + "' is too long", "shorten it");
        return fallback.value_or("");
    }
    if (std::any_of(scalar->begin(), scalar->end(), internal::isControl)) {
        report(field, "field '" + std::string{field} + "' contains a control character", "remove it");
        return fallback.value_or("");
    }
    if (scalar->empty() && !fallback) {
        report(field, "field '" + std::string{field} + "' is empty", "give it a value");
    }
    return *scalar;
}

double yaml_reader::readNumber(std::string_view field, number_range range, std::optional<double> fallback)
{
    const auto scalar = readScalar(field, !fallback.has_value());
    if (!scalar) {
        return fallback.value_or(0.0);
    }
    const auto value = internal::parseNumber<double>(*scalar);
    if (!value || !std::isfinite(*value) || *value < range.minimum || *value > range.maximum) {
        report(field,
               "field '" + std::string{field} + "' is '" + scalar->substr(0, 64) + "'",
               "write a number from " + internal::formatNumber(range.minimum) + " to " + internal::formatNumber(range.maximum));
        return fallback.value_or(range.minimum);
    }
    return *value;
}

std::uint64_t yaml_reader::readInteger(std::string_view field, integer_range range, std::optional<std::uint64_t> fallback)
{
    const auto scalar = readScalar(field, !fallback.has_value());
    if (!scalar) {
        return fallback.value_or(range.minimum);
    }
    const auto value = internal::parseNumber<std::uint64_t>(*scalar);
    if (!value || *value < range.minimum || *value > range.maximum) {
        report(field,
               "field '" + std::string{field} + "' is '" + scalar->substr(0, 64) + "'",
               "write a whole number from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum));
        return fallback.value_or(range.minimum);
    }
    return *value;
}

bool yaml_reader::readBool(std::string_view field, std::optional<bool> fallback)
{
    const auto scalar = readScalar(field, !fallback.has_value());
    if (!scalar) {
        return fallback.value_or(false);
    }
    if (*scalar != "true" && *scalar != "false") {
        report(field, "field '" + std::string{field} + "' is '" + scalar->substr(0, 64) + "'", "write true or false");
        return fallback.value_or(false);
    }
    return *scalar == "true";
}

milliseconds yaml_reader::readMilliseconds(std::string_view field, milliseconds_range range, std::optional<milliseconds> fallback)
{
    const integer_range counts{static_cast<std::uint64_t>(range.minimum.count()), static_cast<std::uint64_t>(range.maximum.count())};
    std::optional<std::uint64_t> fallbackCount;
    if (fallback) {
        fallbackCount = static_cast<std::uint64_t>(fallback->count());
    }
    return milliseconds{static_cast<milliseconds::rep>(readInteger(field, counts, fallbackCount))};
}

std::vector<std::string> yaml_reader::readStrings(std::string_view field)
{
    std::vector<std::string> values;
    const auto *found = readEntry(field, false);
    if (found == nullptr) {
        return values;
    }
    if (!found->value.IsSequence()) {
        report(field, "field '" + std::string{field} + "' is not a list", "write its values as '- value' lines");
        return values;
    }
    for (const auto &item : found->value) {
        if (!item.IsScalar() || item.Scalar().empty()) {
            report(field,
                   "field '" + std::string{field} + "' contains an entry that is empty or not a string",
                   "write one value in each entry");
            continue;
        }
        values.push_back(item.Scalar());
    }
    return values;
}

std::vector<yaml_reader> yaml_reader::readMappings(std::string_view field, std::string_view kind)
{
    std::vector<yaml_reader> readers;
    const auto *found = readEntry(field, false);
    if (found == nullptr) {
        return readers;
    }
    if (!found->value.IsSequence()) {
        report(field, "field '" + std::string{field} + "' is not a list", "write its objects as a list, each beginning with '- name:'");
        return readers;
    }
    std::size_t position{0};
    for (const auto &item : found->value) {
        ++position;
        auto label = std::string{kind} + " number " + std::to_string(position);
        if (item.IsMap()) {
            const auto name = item["name"];
            if (name && name.IsScalar() && !name.Scalar().empty() && name.Scalar().size() <= internal::MaxStringLength) {
                label = std::string{kind} + " '" + name.Scalar() + "'";
            }
        }
        readers.emplace_back(m_file, std::move(label), item, *m_problems);
    }
    return readers;
}

std::optional<yaml_reader> yaml_reader::readMapping(std::string_view field)
{
    const auto *found = readEntry(field, false);
    if (found == nullptr) {
        return std::nullopt;
    }
    return yaml_reader{m_file, std::string{field}, found->value, *m_problems};
}

void yaml_reader::finish()
{
    for (const auto &item : m_entries) {
        if (std::find(m_knownFields.begin(), m_knownFields.end(), item.name) == m_knownFields.end()) {
            report(item.name, "field '" + item.name.substr(0, 64) + "' is unknown", nameSuggestion(item.name, m_knownFields));
        }
    }
}

void yaml_reader::report(std::string_view field, std::string message, std::string remedy)
{
    m_problems->push_back({m_file, line(field), m_object, std::move(message), std::move(remedy)});
}

bool yaml_reader::has(std::string_view field) const noexcept
{
    return find(field) != nullptr;
}

int yaml_reader::line(std::string_view field) const noexcept
{
    const auto *found = find(field);
    return found == nullptr ? m_line : found->line;
}

int yaml_reader::line() const noexcept
{
    return m_line;
}

const std::string &yaml_reader::object() const noexcept
{
    return m_object;
}

const yaml_reader::entry *yaml_reader::find(std::string_view field) const noexcept
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [field](const entry &item) {
        return item.name == field;
    });
    return found == m_entries.end() ? nullptr : &*found;
}

const yaml_reader::entry *yaml_reader::readEntry(std::string_view field, bool required)
{
    m_knownFields.emplace_back(field);
    const auto *found = find(field);
    if (found == nullptr) {
        if (required && m_isMapping) {
            report({}, "field '" + std::string{field} + "' is missing", "add '" + std::string{field} + ": VALUE'");
        }
        return nullptr;
    }
    if (found->value.IsNull()) {
        report(field, "field '" + std::string{field} + "' has no value", "give it a value or remove the line");
        return nullptr;
    }
    return found;
}

std::optional<std::string> yaml_reader::readScalar(std::string_view field, bool required)
{
    const auto *found = readEntry(field, required);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->value.IsScalar()) {
        report(field, "field '" + std::string{field} + "' is not a single value", "write one value after the colon");
        return std::nullopt;
    }
    return found->value.Scalar();
}

void yaml_reader::collectEntries(const YAML::Node &node)
{
    for (const auto &pair : node) {
        const auto keyLine = std::max(pair.first.Mark().line + 1, 0);
        if (!pair.first.IsScalar()) {
            m_problems->push_back({m_file, keyLine, m_object, "has a field name that is not a string", "write 'name: value'"});
            continue;
        }
        const auto &name = pair.first.Scalar();
        if (has(name)) {
            m_problems->push_back(
                {m_file, keyLine, m_object, "field '" + name.substr(0, 64) + "' is given twice", "remove one of the two lines"});
            continue;
        }
        m_entries.push_back({name, pair.second, keyLine});
    }
}

} // namespace ragwortpin
