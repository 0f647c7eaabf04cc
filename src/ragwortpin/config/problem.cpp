#include "ragwortpin/config/problem.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <tuple>

namespace ragwortpin {

namespace internal {

/** Maximum length of names that are compared, in bytes; longer names are never suggested. */
constexpr std::size_t MaxComparedLength{128};
/** Maximum number of known names that are listed if none is close. */
constexpr std::size_t MaxListedNames{12};

/** Returns the Levenshtein distance between two strings. */
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i{0}; i < left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j{0}; j < right.size(); ++j) {
            const auto substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace internal

std::string toText(const config_problem &problem)
{
    std::string text;
    if (!problem.file.empty()) {
        text += problem.file + ":";
        text += problem.line > 0 ? std::to_string(problem.line) + ": " : " ";
    }
    if (!problem.object.empty()) {
        text += problem.object + ": ";
    }
    text += problem.message;
    if (!problem.remedy.empty()) {
        text += "; " + problem.remedy;
    }
    return text;
}

void sortProblems(std::vector<config_problem> &problems)
{
    std::sort(problems.begin(), problems.end(), [](const config_problem &left, const config_problem &right) {
        return std::tie(left.file, left.line, left.object, left.message, left.remedy)
            < std::tie(right.file, right.line, right.object, right.message, right.remedy);
    });
    problems.erase(std::unique(problems.begin(), problems.end()), problems.end());
}

std::string nearestName(std::string_view name, const std::vector<std::string> &known)
{
    if (name.empty() || name.size() > internal::MaxComparedLength) {
        return {};
    }
    std::string nearest;
    auto smallest = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const auto &candidate : known) {
        if (candidate.size() > internal::MaxComparedLength) {
            continue;
        }
        const auto distance = internal::editDistance(name, candidate);
        if (distance < smallest && distance < candidate.size()) {
            smallest = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string nameSuggestion(std::string_view name, const std::vector<std::string> &known)
{
    const auto nearest = nearestName(name, known);
    if (!nearest.empty()) {
        return "did you mean '" + nearest + "'?";
    }
    if (known.empty()) {
        return "none is defined; define one";
    }
    std::string text{"use one of: "};
    const auto listed = std::min(known.size(), internal::MaxListedNames);
    for (std::size_t index{0}; index < listed; ++index) {
        text += (index == 0 ? "" : ", ") + known[index];
    }
    return listed < known.size() ? text + ", ..." : text;
}

} // namespace ragwortpin
