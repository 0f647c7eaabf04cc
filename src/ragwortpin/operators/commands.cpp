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

/** Number of random bytes in a publication id. */
constexpr std::size_t PublicationIdBytes{16};
/** Number of random bytes in the secret of a key. */
constexpr std::size_t SecretBytes{32};

/** Runs the command of one command line. */
class command_runner
{
public:
    command_runner(const command_line &line, const command_environment &environment)
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

    /** Writes an error message, as JSON to the output stream or as text to the error stream, and returns the exit code. */
    [[nodiscard]] exit_code reportError(exit_code code, const std::string &message) const
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

    /** Reports a failed read: an error in the stored configuration is Rejected, any other error is StoreUnreachable. */
    [[nodiscard]] exit_code reportReadError(const std::error_code &error) const
    {
        const bool isConfigurationError = error.category() == configCategory();
        if (isConfigurationError) {
            return reportError(exit_code::Rejected, error.message());
        }
        return reportError(exit_code::StoreUnreachable, "the store could not be read (" + error.message() + "); nothing was changed");
    }

    /** Reads and checks the files. Reports errors, sets the exit code and returns nothing when they are not a valid configuration. */
    [[nodiscard]] std::optional<configuration> readFiles(exit_code &code) const
    {
        std::vector<configuration_text> texts;
        for (const auto &file : m_line.files) {
            auto content = m_environment.readFile(file);
            if (content.error) {
                code = reportError(exit_code::Usage, "cannot read " + file + ": " + content.error.message() + "; check the path");
                return std::nullopt;
            }
            texts.push_back({file, std::move(content.text)});
        }
        auto parsed = parseAndCheckConfiguration(texts);
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
            return reportReadError(head.error);
        }
        const auto headRevision = head.head ? head.head->revision : 0;
        const auto base = loadRevision(call, m_line.base.value_or(headRevision));
        if (base.error) {
            return reportReadError(base.error);
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
            return publishConfiguration(call, *m_line.base, *std::move(desired));
        }
        const auto head = loadHead(call);
        if (head.error) {
            return reportReadError(head.error);
        }
        const auto currentRevision = head.head ? head.head->revision : 0;
        if (currentRevision > 0 && !m_line.baseIsHead && !revisionEquals(call, currentRevision, *desired)) {
            return reportError(
                exit_code::Usage,
                "revision " + std::to_string(currentRevision)
                    + " is in force; pass the revision that the files were derived from with --base, or pass '--base head' to "
                      "replace the configuration in force by the files");
        }
        return publishConfiguration(call, currentRevision, *std::move(desired));
    }

    /**
     * Returns whether a revision equals the desired configuration. It does when an earlier run of the command published it but
     * could not learn the outcome.
     */
    static bool revisionEquals(const store_call &call, std::uint64_t revision, const configuration &desired)
    {
        const auto reading = loadRevision(call, revision);
        return reading.value && diffConfigurations(*reading.value, desired).empty();
    }

    [[nodiscard]] exit_code publishConfiguration(const store_call &call, std::uint64_t base, configuration desired) const
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
                                 << (result.rebased ? ", merged with the changes of other operators" : "") << "\n";
            break;
        case publication_status::Unchanged:
            m_environment.output << "nothing to change: revision " << result.revision << " already equals the configuration\n";
            break;
        case publication_status::Refused:
            reportRefusal(result, base);
            break;
        case publication_status::Unreachable:
            m_environment.errors << "ragwortpinctl: the store could not be reached, nothing was changed; run the same command again when "
                                    "it is available (last error: "
                                 << result.error.message() << ")\n";
            break;
        case publication_status::Unknown:
            m_environment.errors << "ragwortpinctl: the outcome of the publication is unknown; run the same command again, which changes "
                                    "nothing if the configuration was accepted (last error: "
                                 << result.error.message() << ")\n";
            break;
        }
        return exitCodeOf(result);
    }

    void reportRefusal(const publication_result &result, std::uint64_t base) const
    {
        auto &errors = m_environment.errors;
        if (!result.conflicts.empty()) {
            errors << "ragwortpinctl: not published: another operator changed the same objects after revision " << base << ":\n";
            for (const auto &object : result.conflicts) {
                errors << "  " << toText(object) << "\n";
            }
            errors << "apply your edits to the output of 'ragwortpinctl show' and publish with --base " << result.revision << "\n";
            return;
        }
        if (!result.problems.empty()) {
            errors << "ragwortpinctl: not published: the configuration fails the checks when merged with the changes of other operators up "
                      "to revision "
                   << result.revision << ":\n";
            for (const auto &problem : result.problems) {
                errors << "  " << toText(problem) << "\n";
            }
            return;
        }
        errors << "ragwortpinctl: not published: " << result.error.message() << "\n";
        if (result.error == config_errc::Pruned || result.error == config_errc::WrongBase) {
            errors << "apply your edits to the output of 'ragwortpinctl show' and publish with --base " << result.revision << "\n";
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

    /** Loads the revision given with --revision, or the one in force when the option is missing. */
    [[nodiscard]] configuration_load_result loadSelectedRevision(const store_call &call) const
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
        const auto reading = loadSelectedRevision(connect());
        if (reading.error) {
            return reportReadError(reading.error);
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
            return reportReadError(reading.error);
        }
        if (m_line.json) {
            m_environment.output << writeJson(toJson(reading.history));
        } else {
            m_environment.output << toText(reading.history);
        }
        return exit_code::Ok;
    }

    /** Returns the revision in force at the store; nothing when --store is missing or the store cannot be read. */
    [[nodiscard]] std::optional<std::uint64_t> publishedRevision() const
    {
        if (m_line.store.empty()) {
            return std::nullopt;
        }
        const auto head = loadHead(connect());
        if (head.error) {
            m_environment.errors << "warning: " << head.error.message() << "; nodes are only compared with each other\n";
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
            warnAboutOutdatedNodes(reports, newest);
        }
        return allCurrent ? exit_code::Ok : exit_code::Rejected;
    }

    void warnAboutOutdatedNodes(const std::vector<node_report> &reports, std::uint64_t newest) const
    {
        for (const auto &report : reports) {
            if (report.problem.empty() && report.revision < newest) {
                m_environment.errors << "warning: " << report.instance << " at " << toText(report.address) << " has revision "
                                     << report.revision << ", " << newest
                                     << " is the newest; if the node stays behind, check that it can reach its peers or the store\n";
            }
        }
    }

    [[nodiscard]] exit_code makeKey() const
    {
        const auto secret = m_environment.randomHex(SecretBytes);
        configuration value;
        value.keys.push_back({m_line.keyName, m_line.workspace, sha256Hex(secret)});
        if (!isObjectName(m_line.keyName) || !isObjectName(m_line.workspace)) {
            return reportError(
                exit_code::Usage,
                "names of keys and workspaces must have 1 to 63 lower-case letters, digits, '-', '_' and '.', starting with a "
                "letter or digit");
        }
        if (m_line.json) {
            Json::Value result{Json::objectValue};
            result["secret"] = secret;
            result["key"] = toJson(value)["keys"][0];
            m_environment.output << writeJson(result);
            return exit_code::Ok;
        }
        m_environment.output << "# The secret is not stored and cannot be shown again. Give it to the callers of the "
                                "workspace and keep no other copy.\n"
                             << "# secret: " << secret << "\n"
                             << "# Add this object to the keys of the configuration and publish the configuration.\n"
                             << "  - name: " << m_line.keyName << "\n    workspace: " << m_line.workspace
                             << "\n    sha256: " << value.keys.front().sha256 << "\n";
        return exit_code::Ok;
    }

    [[nodiscard]] exit_code withdrawKey() const
    {
        const auto call = connect();
        auto reading = loadSelectedRevision(call);
        if (reading.error) {
            return reportReadError(reading.error);
        }
        std::vector<std::string> names;
        for (const auto &key : reading.value->keys) {
            names.push_back(key.name);
        }
        const auto removedCount = std::erase_if(reading.value->keys, [this](const api_key &key) {
            return key.name == m_line.keyName;
        });
        if (removedCount == 0) {
            return reportError(exit_code::Rejected,
                               "revision " + std::to_string(reading.value->revision) + " has no key '" + m_line.keyName + "'; "
                                   + nameSuggestion(m_line.keyName, names));
        }
        const auto base = reading.value->revision;
        return publishConfiguration(call, base, *std::move(reading.value));
    }

    const command_line &m_line;
    const command_environment &m_environment;
};

} // namespace internal

exit_code runCommand(const command_line &line, const command_environment &environment)
{
    return internal::command_runner{line, environment}.run();
}

} // namespace ragwortpin
