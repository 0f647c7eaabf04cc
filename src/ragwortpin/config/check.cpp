#include "ragwortpin/config/check.h"

#include "ragwortpin/config/limits.h"
#include "ragwortpin/config/object_kind.h"
#include "ragwortpin/config/path.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <map>
#include <sstream>
#include <string_view>
#include <tuple>
#include <utility>

namespace ragwortpin {

namespace internal {

constexpr std::array<std::string_view, 7> Methods{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"};
constexpr std::size_t DigestLength{64};

bool isLowerAlphanumeric(char character) noexcept
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

/** Returns whether a text is valid as the host of a route. The empty text is valid and matches every host. */
bool isHost(std::string_view text) noexcept
{
    return text.size() <= limits::HostLength && std::all_of(text.begin(), text.end(), [](char character) {
               return isLowerAlphanumeric(character) || character == '-' || character == '.';
           });
}

bool isDigest(std::string_view text) noexcept
{
    return text.size() == DigestLength && std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
           });
}

std::string quoteTruncated(std::string_view text)
{
    constexpr std::size_t MaxQuotedLength{80};
    std::string quoted{"'"};
    quoted += text.substr(0, MaxQuotedLength);
    quoted += text.size() > MaxQuotedLength ? "...'" : "'";
    return quoted;
}

std::string formatCheckedNumber(double value)
{
    std::ostringstream text;
    text.precision(9);
    text << value;
    return text.str();
}

template<typename Object>
std::vector<std::string> namesOf(const std::vector<Object> &objects)
{
    std::vector<std::string> names;
    names.reserve(objects.size());
    for (const auto &object : objects) {
        names.push_back(object.name);
    }
    return names;
}

/** Validates one configuration and collects its problems. */
class configuration_checker
{
public:
    configuration_checker(const configuration &value, const configuration_sources &sources)
        : m_configuration{value}
        , m_sources{sources}
        , m_serviceNames{namesOf(value.services)}
        , m_importanceNames{namesOf(value.importances)}
        , m_workspaceNames{namesOf(value.workspaces)}
    { }

    std::vector<config_problem> run()
    {
        visitObjects(m_configuration, [this](object_kind kind, const auto &objects) {
            checkNames(kind, objects);
        });
        checkAvailabilityZones();
        checkImportances();
        checkWorkspaces();
        checkKeys();
        checkServices();
        checkRoutes();
        sortProblems(m_problems);
        return std::move(m_problems);
    }

private:
    /** Identifies an object by its kind and its position in the list of that kind. */
    struct object_location
    {
        object_kind kind;
        std::size_t index;
        const std::string &name;
    };

    [[nodiscard]] const object_source *sourceOf(const object_location &location) const
    {
        const auto &sources = m_sources.kinds[static_cast<std::size_t>(location.kind)];
        return location.index < sources.size() ? &sources[location.index] : nullptr;
    }

    [[nodiscard]] int lineOf(const object_source &source, std::string_view field) const
    {
        const auto found = std::find_if(source.fields.begin(), source.fields.end(), [field](const field_source &item) {
            return item.field == field;
        });
        return found == source.fields.end() ? source.line : found->line;
    }

    void report(const object_location &location, std::string_view field, std::string message, std::string remedy)
    {
        config_problem problem{{}, 0, toText(object_ref{location.kind, location.name}), std::move(message), std::move(remedy)};
        if (const auto *source = sourceOf(location)) {
            problem.file = source->file;
            problem.line = lineOf(*source, field);
        }
        m_problems.push_back(std::move(problem));
    }

    void reportConfiguration(std::string message, std::string remedy)
    {
        m_problems.push_back({{}, 0, "configuration", std::move(message), std::move(remedy)});
    }

    [[nodiscard]] std::string describeLocation(const object_location &location) const
    {
        const auto *source = sourceOf(location);
        const auto label = toText(object_ref{location.kind, location.name});
        return source == nullptr ? label : label + " (" + source->file + ":" + std::to_string(source->line) + ")";
    }

    template<typename Object>
    void checkNames(object_kind kind, const std::vector<Object> &objects)
    {
        for (std::size_t index{0}; index < objects.size(); ++index) {
            const object_location location{kind, index, objects[index].name};
            checkName(location);
            if (index > 0 && objects[index - 1].name == location.name) {
                const object_location earlier{kind, index - 1, location.name};
                report(location, "name", "the name is already used by " + describeLocation(earlier), "rename or remove one of the two");
            }
        }
    }

    void checkName(const object_location &location)
    {
        if (!isObjectName(location.name)) {
            report(location,
                   "name",
                   "the name " + quoteTruncated(location.name) + " is not acceptable",
                   "use 1 to " + std::to_string(limits::NameLength)
                       + " lower-case letters, digits, '-', '_' and '.', beginning with a letter or digit");
        }
    }

    void checkNumber(const object_location &location, std::string_view field, double value, number_range range)
    {
        if (!std::isfinite(value) || value < range.minimum || value > range.maximum) {
            report(location,
                   field,
                   std::string{field} + " is " + formatCheckedNumber(value),
                   "use a number from " + formatCheckedNumber(range.minimum) + " to " + formatCheckedNumber(range.maximum));
        }
    }

    void checkReference(const object_location &location,
                        std::string_view field,
                        const std::string &referencedName,
                        const std::vector<std::string> &known)
    {
        if (!std::binary_search(known.begin(), known.end(), referencedName)) {
            report(location,
                   field,
                   std::string{field} + " " + quoteTruncated(referencedName) + " is not defined",
                   nameSuggestion(referencedName, known));
        }
    }

    void checkAvailabilityZones()
    {
        if (m_configuration.availabilityZones.empty()) {
            reportConfiguration("no availability_zone is defined", "add at least one under availability_zones; their shares sum to 1");
            return;
        }
        double sum{0.0};
        for (std::size_t index{0}; index < m_configuration.availabilityZones.size(); ++index) {
            const auto &zone = m_configuration.availabilityZones[index];
            const object_location location{object_kind::AvailabilityZone, index, zone.name};
            checkNumber(location, "share", zone.share, limits::Share);
            if (zone.share == 0.0) {
                report(
                    location, "share", "share is 0, so no workspace could be served in this zone", "give it a share above 0 or remove it");
            }
            if (!isObjectName(zone.region)) {
                report(location,
                       "region",
                       "region " + quoteTruncated(zone.region) + " is not acceptable",
                       "use lower-case letters, digits and '-'");
            }
            sum += zone.share;
        }
        if (!(std::abs(sum - 1.0) <= limits::ShareTolerance)) {
            const object_location first{object_kind::AvailabilityZone, 0, m_configuration.availabilityZones.front().name};
            report(first,
                   "share",
                   "the shares of all availability zones sum to " + formatCheckedNumber(sum),
                   "change them so that they sum to 1");
        }
    }

    void checkImportances()
    {
        if (m_configuration.importances.empty()) {
            reportConfiguration("no importance is defined", "add at least one under importances, with rank 0");
        }
        std::map<unsigned, std::size_t> seen;
        for (std::size_t index{0}; index < m_configuration.importances.size(); ++index) {
            const auto &item = m_configuration.importances[index];
            const object_location location{object_kind::Importance, index, item.name};
            if (item.rank > limits::Rank.maximum) {
                report(location, "rank", "rank is too large", "use a rank from 0 to " + std::to_string(limits::Rank.maximum));
            }
            const auto [other, isNew] = seen.emplace(item.rank, index);
            if (!isNew) {
                const object_location earlier{object_kind::Importance, other->second, m_configuration.importances[other->second].name};
                report(location,
                       "rank",
                       "rank " + std::to_string(item.rank) + " is already used by " + describeLocation(earlier),
                       "give each importance its own rank; 0 is shed last");
            }
        }
    }

    void checkWorkspaces()
    {
        for (std::size_t index{0}; index < m_configuration.workspaces.size(); ++index) {
            const auto &item = m_configuration.workspaces[index];
            const object_location location{object_kind::Workspace, index, item.name};
            checkNumber(location, "rate", item.rate, limits::Rate);
            checkNumber(location, "burst", item.burst, limits::Burst);
            checkNumber(location, "weight", item.weight, limits::Weight);
            if (!item.importance.empty()) {
                checkReference(location, "importance", item.importance, m_importanceNames);
            }
        }
    }

    void checkKeys()
    {
        std::map<std::string, std::size_t> seen;
        for (std::size_t index{0}; index < m_configuration.keys.size(); ++index) {
            const auto &item = m_configuration.keys[index];
            const object_location location{object_kind::ApiKey, index, item.name};
            checkReference(location, "workspace", item.workspace, m_workspaceNames);
            if (!isDigest(item.sha256)) {
                report(location,
                       "sha256",
                       "sha256 is not a digest",
                       "write the 64 lower-case hexadecimal digits printed by 'ragwortpinctl keys make', never the secret itself");
                continue;
            }
            const auto [other, isNew] = seen.emplace(item.sha256, index);
            if (!isNew) {
                const object_location earlier{object_kind::ApiKey, other->second, m_configuration.keys[other->second].name};
                report(location,
                       "sha256",
                       "the digest is already used by " + describeLocation(earlier),
                       "create a new secret with 'ragwortpinctl keys make'; each key needs its own secret");
            }
        }
    }

    void checkServices()
    {
        for (std::size_t index{0}; index < m_configuration.services.size(); ++index) {
            const auto &item = m_configuration.services[index];
            checkNumber({object_kind::Service, index, item.name}, "retry_ratio", item.retryRatio, limits::RetryRatio);
        }
    }

    void checkRoutes()
    {
        std::map<std::tuple<std::string, std::string, std::string>, std::size_t> seen;
        for (std::size_t index{0}; index < m_configuration.routes.size(); ++index) {
            const auto &item = m_configuration.routes[index];
            const object_location location{object_kind::Route, index, item.name};
            checkServicesOf(location, item);
            checkReference(location, "importance", item.importance, m_importanceNames);
            checkMatchFields(location, item);
            checkFieldRules(location, item);
            const auto [other, isNew] = seen.emplace(std::tuple{item.host, item.path, item.method}, index);
            if (!isNew) {
                const object_location earlier{object_kind::Route, other->second, m_configuration.routes[other->second].name};
                report(location,
                       "path",
                       "matches the same host, method and path as " + describeLocation(earlier),
                       "change the host, the method or the path, or remove one of the two");
            }
        }
    }

    void checkServicesOf(const object_location &location, const route &item)
    {
        if (item.split.empty()) {
            checkReference(location, "service", item.service, m_serviceNames);
            return;
        }
        if (!item.service.empty()) {
            report(location, "service", "has both a service and a split", "remove one of the two");
        }
        if (item.split.size() > limits::SplitParts) {
            report(location, "split", "has too many parts", "use at most " + std::to_string(limits::SplitParts));
        }
        for (const auto &part : item.split) {
            checkReference(location, "split", part.service, m_serviceNames);
            checkNumber(location, "split", part.weight, limits::Weight);
        }
    }

    void checkMatchFields(const object_location &location, const route &item)
    {
        if (!isHost(item.host)) {
            report(location,
                   "host",
                   "host " + quoteTruncated(item.host) + " is not acceptable",
                   "use lower-case letters, digits, '-' and '.', without a port, or leave it out to match every host");
        }
        if (!item.method.empty() && std::find(Methods.begin(), Methods.end(), item.method) == Methods.end()) {
            report(location,
                   "method",
                   "method " + quoteTruncated(item.method) + " is not known",
                   "use one of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT, or leave it out to match every method");
        }
        if (item.path.size() > limits::PathLength || !isRoutePath(item.path)) {
            report(location,
                   "path",
                   "path " + quoteTruncated(item.path) + " is not acceptable",
                   "begin it with '/', without query, empty or dot segments, percent signs or a '/' at the end");
        }
    }

    void checkFieldRules(const object_location &location, const route &item)
    {
        if (item.once && item.retryable) {
            report(location,
                   "once",
                   "is both once and retryable",
                   "remove 'retryable: true'; a request that runs at most once is never sent again after an unknown outcome");
        }
        if (item.open && item.once) {
            report(location,
                   "open",
                   "is both open and once",
                   "remove 'open: true'; idempotency keys are kept per workspace, and a request without a key has none");
        }
        if (item.open && m_configuration.importances.size() > 1 && isShedLast(item.importance)) {
            report(location,
                   "importance",
                   "is open and has the importance that is shed last",
                   "give it another importance; requests without a key would displace the most important requests of workspaces");
        }
        if (item.attempts < limits::Attempts.minimum || item.attempts > limits::Attempts.maximum) {
            report(location,
                   "attempts",
                   "attempts is " + std::to_string(item.attempts),
                   "use a number from " + std::to_string(limits::Attempts.minimum) + " to " + std::to_string(limits::Attempts.maximum));
        }
        if (item.deadline < limits::Deadline.minimum || item.deadline > limits::Deadline.maximum) {
            report(location,
                   "deadline_ms",
                   "deadline_ms is " + std::to_string(item.deadline.count()),
                   "use a number from " + std::to_string(limits::Deadline.minimum.count()) + " to "
                       + std::to_string(limits::Deadline.maximum.count()));
        }
    }

    [[nodiscard]] bool isShedLast(const std::string &name) const
    {
        const auto first = std::min_element(m_configuration.importances.begin(),
                                            m_configuration.importances.end(),
                                            [](const ragwortpin::importance &left, const ragwortpin::importance &right) {
                                                return left.rank < right.rank;
                                            });
        return first != m_configuration.importances.end() && first->name == name;
    }

    const configuration &m_configuration;
    const configuration_sources &m_sources;
    std::vector<std::string> m_serviceNames;
    std::vector<std::string> m_importanceNames;
    std::vector<std::string> m_workspaceNames;
    std::vector<config_problem> m_problems;
};

} // namespace internal

bool isObjectName(std::string_view name) noexcept
{
    if (name.empty() || name.size() > limits::NameLength || !internal::isLowerAlphanumeric(name.front())) {
        return false;
    }
    return std::all_of(name.begin(), name.end(), [](char character) {
        return internal::isLowerAlphanumeric(character) || character == '-' || character == '_' || character == '.';
    });
}

std::vector<config_problem> checkConfiguration(const configuration &value, const configuration_sources &sources)
{
    return internal::configuration_checker{value, sources}.run();
}

} // namespace ragwortpin
