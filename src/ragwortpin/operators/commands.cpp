#include "ragwortpin/operators/commands.h"

#include "ragwortpin/config/check.h"
#include "ragwortpin/config/error.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/publication.h"
#include "ragwortpin/config/serialise.h"
#include "ragwortpin/http/address.h"
#include "ragwortpin/identity/digest.h"
#include "ragwortpin/operators/report.h"

#include <algorithm>
#include <ostream>
#include <utility>

namespace ragwortpin {

namespace internal {

/** Entropy of a publication id. */
constexpr std::size_t PublicationIdBytes{16};
/** Entropy of a key's secret. */
constexpr std::size_t SecretBytes{32};

/** Runs commands of one command line. */
class command_runner
{
public:
    command_runner(const command_line &line, const operator_environment &environment)
        : m_line{line}
        , m_environment{environment}
    { }

    exit_code run()
    {
        switch (m_line.command) {
        case operator_command::Help:
            m_environment.output << helpText();
            return exit_code::Ok;
        case operator_command::Version:
            m_environment.output << "ragwortpinctl " RAGWORTPIN_VERSION "\n";
            return exit_code::Ok;
        case operator_command::Check:
            return check();
        case operator_command::Diff:
            return diff();
        case operator_command::Publish:
            return publishFiles();
        case operator_command::Show:
            return show();
        case operator_command::History:
            return history();
        case operator_command::Status:
            return status();
        case operator_command::KeysMake:
            return makeKey();
        case operator_command::KeysWithdraw:
            return withdrawKey();
        }
        return exit_code::Usage;
    }

private:
    [[nodiscard]] store_call connect() const
    {
        return m_environment.connect(m_line.store, m_line.timeout);
    }

    /** Reports an error, as JSON on the output or as a line on the errors. */
    [[nodiscard]] exit_code fail(exit_code code, const std::string &message) const
    {
        if (m_line.json) {
            Json::Value value{Json::objectValue};
            value["error"] = message;
            m_environment.output << writeJson(value);
        } else {
            m_environment.errors << "ragwortpinctl: " << message << "\n";
        }
        return code;
    }

    [[nodiscard]] exit_code failReading(const std::error_code &error) const
    {
        const bool stored = error.category() == configCategory();
        if (stored) {
            return fail(exit_code::Rejected, error.message());
        }
        return fail(exit_code::StoreUnreachable, "nothing was changed; the store could not be read (" + error.message() + ")");
    }

    /** Reads and checks the files; nothing, with the exit code set, when they are not a valid set. */
    [[nodiscard]] std::optional<configuration> readFiles(exit_code &code) const
    {
        std::vector<configuration_text> texts;
        for (const auto &file : m_line.files) {
            auto content = m_environment.readFile(file);
            if (content.error) {
                code = fail(exit_code::Usage, "cannot read " + file + ": " + content.error.message() + "; check the path");
                return std::nullopt;
            }
            texts.push_back({file, std::move(content.text)});
        }
        auto parsed = readConfiguration(texts);
        if (parsed.problems.empty()) {
            return std::move(parsed.value);
        }
        code = exit_code::Rejected;
        reportProblems(parsed.problems);
        return std::nullopt;
    }

    void reportProblems(const std::vector<config_problem> &problems) const
    {
        if (m_line.json) {
            Json::Value value{Json::objectValue};
            value["valid"] = false;
            value["problems"] = toJson(problems);
            m_environment.output << writeJson(value);
            return;
        }
        for (const auto &problem : problems) {
            m_environment.errors << toText(problem) << "\n";
        }
        m_environment.errors << problems.size() << (problems.size() == 1 ? " problem" : " problems") << "; nothing was changed\n";
    }

    [[nodiscard]] exit_code check() const
    {
        auto code = exit_code::Ok;
        const auto value = readFiles(code);
        if (!value) {
            return code;
        }
        if (m_line.json) {
            Json::Value result{Json::objectValue};
            result["valid"] = true;
            result["problems"] = Json::Value{Json::arrayValue};
            m_environment.output << writeJson(result);
            return code;
        }
        m_environment.output << "valid:";
        visitObjects(*value, [this](object_kind kind, const auto &objects) {
            m_environment.output << " " << objects.size() << " " << describe(kind).listName;
        });
        m_environment.output << "\n";
        return code;
    }

    [[nodiscard]] exit_code diff() const
    {
        auto code = exit_code::Ok;
        const auto desired = readFiles(code);
        if (!desired) {
            return code;
        }
        const auto call = connect();
        const auto head = loadHead(call);
        if (head.error) {
            return failReading(head.error);
        }
        const auto headRevision = head.head ? head.head->revision : 0;
        const auto base = loadRevision(call, m_line.base.value_or(headRevision));
        if (base.error) {
            return failReading(base.error);
        }
        const auto changes = diffConfigurations(*base.value, *desired);
        if (m_line.json) {
            Json::Value result{Json::objectValue};
            result["base_revision"] = static_cast<Json::UInt64>(base.value->revision);
            result["changes"] = toJson(changes);
            m_environment.output << writeJson(result);
        } else {
            m_environment.output << toText(changes) << "against revision " << base.value->revision << ": " << summarise(changes) << "\n";
        }
        return code;
    }

    [[nodiscard]] exit_code publishFiles() const
    {
        auto code = exit_code::Ok;
        auto desired = readFiles(code);
        if (!desired) {
            return code;
        }
        const auto call = connect();
        if (m_line.base) {
            return publishSet(call, *m_line.base, *std::move(desired));
        }
        const auto head = loadHead(call);
        if (head.error) {
            return failReading(head.error);
        }
        const auto inForce = head.head ? head.head->revision : 0;
        if (inForce > 0 && !m_line.baseIsHead && !holds(call, inForce, *desired)) {
            return fail(exit_code::Usage,
                        "revision " + std::to_string(inForce)
                            + " is in force; say with --base which revision the files were written from, or '--base head' to replace it by "
                              "the files");
        }
        return publishSet(call, inForce, *std::move(desired));
    }

    /** Whether a revision equals the set, as after a first publication whose outcome was unknown. */
    static bool holds(const store_call &call, std::uint64_t revision, const configuration &desired)
    {
        const auto reading = loadRevision(call, revision);
        return reading.value && diffConfigurations(*reading.value, desired).empty();
    }

    [[nodiscard]] exit_code publishSet(const store_call &call, std::uint64_t base, configuration desired) const
    {
        publication_request request;
        request.publicationId = m_environment.randomHex(PublicationIdBytes);
        request.baseRevision = base;
        request.desired = std::move(desired);
        request.author = m_line.author.empty() ? m_environment.userName : m_line.author;
        request.publishedAt = m_environment.wallClock();
        request.revisionFloor = m_line.revisionFloor;
        return reportPublication(publish(call, request), base);
    }

    [[nodiscard]] exit_code reportPublication(const publication_result &result, std::uint64_t base) const
    {
        if (m_line.json) {
            m_environment.output << writeJson(toJson(result));
            return exitCodeOf(result);
        }
        switch (result.status) {
        case publication_status::Accepted:
            m_environment.output << toText(result.changes) << "revision " << result.revision << " accepted: " << summarise(result.changes)
                                 << (result.rebased ? ", carried over to the changes of other operators" : "") << "\n";
            break;
        case publication_status::Unchanged:
            m_environment.output << "nothing to change: revision " << result.revision << " already holds the set\n";
            break;
        case publication_status::Refused:
            reportRefusal(result, base);
            break;
        case publication_status::Unreachable:
            m_environment.errors << "ragwortpinctl: nothing was changed; run the same command again when the store answers (last error: "
                                 << result.error.message() << ")\n";
            break;
        case publication_status::Unknown:
            m_environment.errors << "ragwortpinctl: it is unknown whether the set was accepted; run the same command again, which changes "
                                    "nothing if it was (last error: "
                                 << result.error.message() << ")\n";
            break;
        }
        return exitCodeOf(result);
    }

    void reportRefusal(const publication_result &result, std::uint64_t base) const
    {
        auto &errors = m_environment.errors;
        if (!result.conflicts.empty()) {
            errors << "ragwortpinctl: not published: after revision " << base << " another operator changed the same objects:\n";
            for (const auto &object : result.conflicts) {
                errors << "  " << toText(object) << "\n";
            }
            errors << "see 'ragwortpinctl show', carry your edits over and publish with --base " << result.revision << "\n";
            return;
        }
        if (!result.problems.empty()) {
            errors << "ragwortpinctl: not published: together with the changes of other operators up to revision " << result.revision
                   << " the set fails the checks:\n";
            for (const auto &problem : result.problems) {
                errors << "  " << toText(problem) << "\n";
            }
            return;
        }
        errors << "ragwortpinctl: not published: " << result.error.message() << "\n";
        if (result.error == config_errc::Pruned || result.error == config_errc::WrongBase) {
            errors << "see 'ragwortpinctl show', carry your edits over and publish with --base " << result.revision << "\n";
        }
    }

    static exit_code exitCodeOf(const publication_result &result)
    {
        switch (result.status) {
        case publication_status::Accepted:
        case publication_status::Unchanged:
            return exit_code::Ok;
        case publication_status::Refused:
            return exit_code::Rejected;
        case publication_status::Unreachable:
            return exit_code::StoreUnreachable;
        case publication_status::Unknown:
            break;
        }
        return exit_code::Unknown;
    }

    /** Loads the revision asked for, or the one in force. */
    [[nodiscard]] configuration_reading loadShown(const store_call &call) const
    {
        if (m_line.revision) {
            return loadRevision(call, *m_line.revision);
        }
        const auto head = loadHead(call);
        if (head.error) {
            return {head.error, std::nullopt};
        }
        if (!head.head) {
            return {config_errc::NotPublished, std::nullopt};
        }
        return loadRevision(call, head.head->revision);
    }

    [[nodiscard]] exit_code show() const
    {
        const auto reading = loadShown(connect());
        if (reading.error) {
            return failReading(reading.error);
        }
        if (m_line.json) {
            m_environment.output << writeJson(toJson(*reading.value));
            return exit_code::Ok;
        }
        const auto revision = reading.value->revision;
        m_environment.output << "# Revision " << revision << ". Publish edits of this text with --base " << revision << ".\n"
                             << toYaml(*reading.value);
        return exit_code::Ok;
    }

    [[nodiscard]] exit_code history() const
    {
        const auto reading = loadHistory(connect());
        if (reading.error) {
            return failReading(reading.error);
        }
        if (m_line.json) {
            m_environment.output << writeJson(toJson(reading.history));
        } else {
            m_environment.output << toText(reading.history);
        }
        return exit_code::Ok;
    }

    /** The published revision, when a store was named and answers. */
    [[nodiscard]] std::optional<std::uint64_t> publishedRevision() const
    {
        if (m_line.store.empty()) {
            return std::nullopt;
        }
        const auto head = loadHead(connect());
        if (head.error) {
            m_environment.errors << "warning: " << head.error.message() << "; nodes are compared with each other only\n";
            return std::nullopt;
        }
        return head.head ? head.head->revision : 0;
    }

    [[nodiscard]] exit_code status() const
    {
        const auto published = publishedRevision();
        const auto reports = m_environment.queryNodes(m_line.nodes, m_line.timeout);
        const auto newest = newestRevision(reports, published);
        const bool allCurrent = std::all_of(reports.begin(), reports.end(), [newest](const node_report &report) {
            return report.problem.empty() && report.revision == newest;
        });
        if (m_line.json) {
            Json::Value value{Json::objectValue};
            value["newest_revision"] = static_cast<Json::UInt64>(newest);
            value["all_current"] = allCurrent;
            value["nodes"] = toJson(reports, newest);
            m_environment.output << writeJson(value);
        } else {
            m_environment.output << toText(reports);
            warnOfLaggards(reports, newest);
        }
        return allCurrent ? exit_code::Ok : exit_code::Rejected;
    }

    void warnOfLaggards(const std::vector<node_report> &reports, std::uint64_t newest) const
    {
        for (const auto &report : reports) {
            if (report.problem.empty() && report.revision < newest) {
                m_environment.errors << "warning: " << report.instance << " at " << toText(report.address) << " has revision "
                                     << report.revision << ", " << newest
                                     << " is the newest; if it stays behind, check that it reaches its peers or the store\n";
            }
        }
    }

    [[nodiscard]] exit_code makeKey() const
    {
        const auto secret = m_environment.randomHex(SecretBytes);
        configuration value;
        value.keys.push_back({m_line.keyName, m_line.workspace, sha256Hex(secret)});
        if (!isObjectName(m_line.keyName) || !isObjectName(m_line.workspace)) {
            return fail(exit_code::Usage,
                        "the key and the workspace need names of 1 to 63 lower-case letters, digits, '-', '_' and '.', beginning with a "
                        "letter or digit");
        }
        if (m_line.json) {
            Json::Value result{Json::objectValue};
            result["secret"] = secret;
            result["key"] = toJson(value)["keys"][0];
            m_environment.output << writeJson(result);
            return exit_code::Ok;
        }
        m_environment.output << "# The secret is shown this once; give it to the workspace's callers and store it nowhere else.\n"
                             << "# secret: " << secret << "\n"
                             << "# Add the object to the set under keys and publish it.\n"
                             << "  - name: " << m_line.keyName << "\n    workspace: " << m_line.workspace
                             << "\n    sha256: " << value.keys.front().sha256 << "\n";
        return exit_code::Ok;
    }

    [[nodiscard]] exit_code withdrawKey() const
    {
        const auto call = connect();
        auto reading = loadShown(call);
        if (reading.error) {
            return failReading(reading.error);
        }
        std::vector<std::string> names;
        for (const auto &key : reading.value->keys) {
            names.push_back(key.name);
        }
        const auto removed = std::erase_if(reading.value->keys, [this](const api_key &key) {
            return key.name == m_line.keyName;
        });
        if (removed == 0) {
            return fail(exit_code::Rejected,
                        "revision " + std::to_string(reading.value->revision) + " has no key '" + m_line.keyName + "'; "
                            + nameSuggestion(m_line.keyName, names));
        }
        const auto base = reading.value->revision;
        return publishSet(call, base, *std::move(reading.value));
    }

    const command_line &m_line;
    const operator_environment &m_environment;
};

} // namespace internal

exit_code runCommand(const command_line &line, const operator_environment &environment)
{
    return internal::command_runner{line, environment}.run();
}

} // namespace ragwortpin
