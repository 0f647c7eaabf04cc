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

bool isNameStart(char character) noexcept
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

/** Whether a text may be the host of a route; the empty one stands for every host. */
bool isHost(std::string_view text) noexcept
{
    return text.size() <= limits::HostLength && std::all_of(text.begin(), text.end(), [](char character) {
               return isNameStart(character) || character == '-' || character == '.';
           });
}

bool isDigest(std::string_view text) noexcept
{
    return text.size() == DigestLength && std::all_of(text.begin(), text.end(), [](char character) {
               return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
           });
}

std::string quoted(std::string_view text)
{
    constexpr std::size_t ShownLength{80};
    return "'" + std::string{text.substr(0, ShownLength)} + (text.size() > ShownLength ? "...'" : "'");
}

std::string formatShare(double value)
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

/** Collects the problems of one set. */
class set_checker
{
public:
    set_checker(const configuration &value, const configuration_sources &sources)
        : m_value{value}
        , m_sources{sources}
        , m_serviceNames{namesOf(value.services)}
        , m_importanceNames{namesOf(value.importances)}
        , m_workspaceNames{namesOf(value.workspaces)}
    { }

    std::vector<config_problem> run()
    {
        visitObjects(m_value, [this](object_kind kind, const auto &objects) {
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
    /** One object of a list, by kind and position. */
    struct place
    {
        object_kind kind;
        std::size_t index;
        const std::string &name;
    };

    [[nodiscard]] const object_source *sourceOf(const place &where) const
    {
        const auto &sources = m_sources.kinds[static_cast<std::size_t>(where.kind)];
        return where.index < sources.size() ? &sources[where.index] : nullptr;
    }

    [[nodiscard]] int lineOf(const object_source &source, std::string_view field) const
    {
        const auto found = std::find_if(source.fields.begin(), source.fields.end(), [field](const field_source &item) {
            return item.field == field;
        });
        return found == source.fields.end() ? source.line : found->line;
    }

    void report(const place &where, std::string_view field, std::string message, std::string remedy)
    {
        config_problem problem{{}, 0, toText(object_ref{where.kind, where.name}), std::move(message), std::move(remedy)};
        if (const auto *source = sourceOf(where)) {
            problem.file = source->file;
            problem.line = lineOf(*source, field);
        }
        m_problems.push_back(std::move(problem));
    }

    void reportSet(std::string message, std::string remedy)
    {
        m_problems.push_back({{}, 0, "configuration", std::move(message), std::move(remedy)});
    }

    [[nodiscard]] std::string describePlace(const place &where) const
    {
        const auto *source = sourceOf(where);
        const auto label = toText(object_ref{where.kind, where.name});
        return source == nullptr ? label : label + " (" + source->file + ":" + std::to_string(source->line) + ")";
    }

    template<typename Object>
    void checkNames(object_kind kind, const std::vector<Object> &objects)
    {
        for (std::size_t index{0}; index < objects.size(); ++index) {
            const place where{kind, index, objects[index].name};
            checkName(where);
            if (index > 0 && objects[index - 1].name == where.name) {
                const place earlier{kind, index - 1, where.name};
                report(where, "name", "the name is already used by " + describePlace(earlier), "rename or remove one of the two");
            }
        }
    }

    void checkName(const place &where)
    {
        if (!isObjectName(where.name)) {
            report(where,
                   "name",
                   "the name " + quoted(where.name) + " is not acceptable",
                   "use 1 to " + std::to_string(limits::NameLength)
                       + " lower-case letters, digits, '-', '_' and '.', beginning with a letter or digit");
        }
    }

    void checkNumber(const place &where, std::string_view field, double value, number_range range)
    {
        if (!std::isfinite(value) || value < range.least || value > range.most) {
            report(where,
                   field,
                   std::string{field} + " is " + formatShare(value),
                   "use a number from " + formatShare(range.least) + " to " + formatShare(range.most));
        }
    }

    void checkReference(const place &where, std::string_view field, const std::string &target, const std::vector<std::string> &known)
    {
        if (!std::binary_search(known.begin(), known.end(), target)) {
            report(where, field, std::string{field} + " " + quoted(target) + " is not defined", nameSuggestion(target, known));
        }
    }

    void checkAvailabilityZones()
    {
        if (m_value.availabilityZones.empty()) {
            reportSet("no availability_zone is defined", "add at least one under availability_zones; their shares sum to 1");
            return;
        }
        double sum{0.0};
        for (std::size_t index{0}; index < m_value.availabilityZones.size(); ++index) {
            const auto &zone = m_value.availabilityZones[index];
            const place where{object_kind::AvailabilityZone, index, zone.name};
            checkNumber(where, "share", zone.share, limits::Share);
            if (zone.share == 0.0) {
                report(where, "share", "share is 0, so no workspace could be served there", "give it a share above 0 or remove it");
            }
            if (!isObjectName(zone.region)) {
                report(where, "region", "region " + quoted(zone.region) + " is not acceptable", "use lower-case letters, digits and '-'");
            }
            sum += zone.share;
        }
        if (!(std::abs(sum - 1.0) <= limits::ShareTolerance)) {
            const place first{object_kind::AvailabilityZone, 0, m_value.availabilityZones.front().name};
            report(first, "share", "the shares of all availability zones sum to " + formatShare(sum), "change them so that they sum to 1");
        }
    }

    void checkImportances()
    {
        if (m_value.importances.empty()) {
            reportSet("no importance is defined", "add at least one under importances, with rank 0");
        }
        std::map<unsigned, std::size_t> seen;
        for (std::size_t index{0}; index < m_value.importances.size(); ++index) {
            const auto &item = m_value.importances[index];
            const place where{object_kind::Importance, index, item.name};
            if (item.rank > limits::Rank.most) {
                report(where, "rank", "rank is too large", "use a rank from 0 to " + std::to_string(limits::Rank.most));
            }
            const auto [other, isNew] = seen.emplace(item.rank, index);
            if (!isNew) {
                const place earlier{object_kind::Importance, other->second, m_value.importances[other->second].name};
                report(where,
                       "rank",
                       "rank " + std::to_string(item.rank) + " is already used by " + describePlace(earlier),
                       "give each importance its own rank; 0 is shed last");
            }
        }
    }

    void checkWorkspaces()
    {
        for (std::size_t index{0}; index < m_value.workspaces.size(); ++index) {
            const auto &item = m_value.workspaces[index];
            const place where{object_kind::Workspace, index, item.name};
            checkNumber(where, "rate", item.rate, limits::Rate);
            checkNumber(where, "burst", item.burst, limits::Burst);
            checkNumber(where, "weight", item.weight, limits::Weight);
            if (!item.importance.empty()) {
                checkReference(where, "importance", item.importance, m_importanceNames);
            }
        }
    }

    void checkKeys()
    {
        std::map<std::string, std::size_t> seen;
        for (std::size_t index{0}; index < m_value.keys.size(); ++index) {
            const auto &item = m_value.keys[index];
            const place where{object_kind::ApiKey, index, item.name};
            checkReference(where, "workspace", item.workspace, m_workspaceNames);
            if (!isDigest(item.sha256)) {
                report(where,
                       "sha256",
                       "sha256 is not a digest",
                       "write the 64 lower-case hexadecimal digits that 'ragwortpinctl keys make' printed, never the secret itself");
                continue;
            }
            const auto [other, isNew] = seen.emplace(item.sha256, index);
            if (!isNew) {
                const place earlier{object_kind::ApiKey, other->second, m_value.keys[other->second].name};
                report(where,
                       "sha256",
                       "the digest is already used by " + describePlace(earlier),
                       "make a new secret with 'ragwortpinctl keys make'; a secret belongs to one key");
            }
        }
    }

    void checkServices()
    {
        for (std::size_t index{0}; index < m_value.services.size(); ++index) {
            const auto &item = m_value.services[index];
            checkNumber({object_kind::Service, index, item.name}, "retry_ratio", item.retryRatio, limits::RetryRatio);
        }
    }

    void checkRoutes()
    {
        std::map<std::tuple<std::string, std::string, std::string>, std::size_t> seen;
        for (std::size_t index{0}; index < m_value.routes.size(); ++index) {
            const auto &item = m_value.routes[index];
            const place where{object_kind::Route, index, item.name};
            checkServicesOf(where, item);
            checkReference(where, "importance", item.importance, m_importanceNames);
            checkMatch(where, item);
            checkRules(where, item);
            const auto [other, isNew] = seen.emplace(std::tuple{item.host, item.path, item.method}, index);
            if (!isNew) {
                const place earlier{object_kind::Route, other->second, m_value.routes[other->second].name};
                report(where,
                       "path",
                       "matches the same host, method and path as " + describePlace(earlier),
                       "change the host, the method or the path, or remove one of the two");
            }
        }
    }

    void checkServicesOf(const place &where, const route &item)
    {
        if (item.split.empty()) {
            checkReference(where, "service", item.service, m_serviceNames);
            return;
        }
        if (!item.service.empty()) {
            report(where, "service", "has both a service and a split", "remove one of the two");
        }
        if (item.split.size() > limits::SplitParts) {
            report(where, "split", "has too many parts", "use at most " + std::to_string(limits::SplitParts));
        }
        for (const auto &part : item.split) {
            checkReference(where, "split", part.service, m_serviceNames);
            checkNumber(where, "split", part.weight, limits::Weight);
        }
    }

    void checkMatch(const place &where, const route &item)
    {
        if (!isHost(item.host)) {
            report(where,
                   "host",
                   "host " + quoted(item.host) + " is not acceptable",
                   "use lower-case letters, digits, '-' and '.', without a port, or leave it out to match every host");
        }
        if (!item.method.empty() && std::find(Methods.begin(), Methods.end(), item.method) == Methods.end()) {
            report(where,
                   "method",
                   "method " + quoted(item.method) + " is not known",
                   "use one of DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT, or leave it out to match every method");
        }
        if (item.path.size() > limits::PathLength || !isRoutePath(item.path)) {
            report(where,
                   "path",
                   "path " + quoted(item.path) + " is not acceptable",
                   "begin it with '/', without query, empty or dot segments, percent signs or a '/' at the end");
        }
    }

    void checkRules(const place &where, const route &item)
    {
        if (item.once && item.retryable) {
            report(where,
                   "once",
                   "is both once and retryable",
                   "remove 'retryable: true'; a request that runs at most once is never sent again after an unknown outcome");
        }
        if (item.open && item.once) {
            report(where,
                   "open",
                   "is both open and once",
                   "remove 'open: true'; idempotency keys are kept per workspace, and a request without a key has none");
        }
        if (item.open && m_value.importances.size() > 1 && isShedLast(item.importance)) {
            report(where,
                   "importance",
                   "is open and has the importance that is shed last",
                   "give it another importance; callers without a key would displace purchases of workspaces");
        }
        if (item.attempts < limits::Attempts.least || item.attempts > limits::Attempts.most) {
            report(where,
                   "attempts",
                   "attempts is " + std::to_string(item.attempts),
                   "use a number from " + std::to_string(limits::Attempts.least) + " to " + std::to_string(limits::Attempts.most));
        }
        if (item.deadline < limits::Deadline.least || item.deadline > limits::Deadline.most) {
            report(where,
                   "deadline_ms",
                   "deadline_ms is " + std::to_string(item.deadline.count()),
                   "use a number from " + std::to_string(limits::Deadline.least.count()) + " to "
                       + std::to_string(limits::Deadline.most.count()));
        }
    }

    [[nodiscard]] bool isShedLast(const std::string &name) const
    {
        const auto first = std::min_element(m_value.importances.begin(),
                                            m_value.importances.end(),
                                            [](const ragwortpin::importance &left, const ragwortpin::importance &right) {
                                                return left.rank < right.rank;
                                            });
        return first != m_value.importances.end() && first->name == name;
    }

    const configuration &m_value;
    const configuration_sources &m_sources;
    std::vector<std::string> m_serviceNames;
    std::vector<std::string> m_importanceNames;
    std::vector<std::string> m_workspaceNames;
    std::vector<config_problem> m_problems;
};

} // namespace internal

bool isObjectName(std::string_view name) noexcept
{
    if (name.empty() || name.size() > limits::NameLength || !internal::isNameStart(name.front())) {
        return false;
    }
    return std::all_of(name.begin(), name.end(), [](char character) {
        return internal::isNameStart(character) || character == '-' || character == '_' || character == '.';
    });
}

std::vector<config_problem> checkConfiguration(const configuration &value, const configuration_sources &sources)
{
    return internal::set_checker{value, sources}.run();
}

} // namespace ragwortpin
