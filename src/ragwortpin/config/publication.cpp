#include "ragwortpin/config/publication.h"

#include "ragwortpin/config/check.h"
#include "ragwortpin/config/error.h"
#include "ragwortpin/config/serialise.h"
#include "ragwortpin/store/error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ragwortpin {

namespace internal {

/** Maximum number of attempts for one publication, counting those repeated after a race with another operator and after a lost answer. */
constexpr int MaxAttempts{8};
/** Larger encoded changes are not stored, and nodes load the snapshot instead. Keeps the size of a transaction near a megabyte. */
constexpr std::size_t MaxChangeBytes{100'000};

/** A transaction that is ready to be sent, with the state that it is based on. */
struct prepared_publication
{
    std::uint64_t revision{0};
    /** Revision of the head that the transaction replaces. */
    std::uint64_t headRevision{0};
    std::int64_t headModRevision{0};
    bool rebased{false};
    std::vector<object_change> changes;
    store_transaction transaction;
};

/** Either a prepared transaction, or the final result if there is nothing to send. */
struct preparation_result
{
    std::optional<prepared_publication> prepared;
    publication_result result;
};

publication_result failureResult(publication_status status, std::error_code error, std::uint64_t revision = 0)
{
    publication_result result;
    result.status = status;
    result.error = error;
    result.revision = revision;
    return result;
}

/**
 * Returns the result for a failed read before anything was written: Refused for an error of the stored configuration
 * (config_errc), Unreachable for an error of the store.
 */
publication_result readFailureResult(const std::error_code &error)
{
    const bool isConfigurationError = error.category() == configCategory();
    return failureResult(isConfigurationError ? publication_status::Refused : publication_status::Unreachable, error);
}

std::uint64_t headRevision(const head_load_result &loaded) noexcept
{
    return loaded.head ? loaded.head->revision : 0;
}

/** Returns the objects that both this publication and others changed since the base, except those with equal final values. */
std::vector<object_ref> findConflicts(const configuration &base,
                                      const configuration &desired,
                                      const configuration &current,
                                      const std::vector<object_change> &otherChanges)
{
    const auto common = commonObjects(diffConfigurations(base, desired), otherChanges);
    std::vector<object_change> commonChanges;
    commonChanges.reserve(common.size());
    for (const auto &object : common) {
        commonChanges.push_back({change_kind::Changed, object});
    }
    return commonObjects(commonChanges, diffConfigurations(desired, current));
}

/** Objects changed by one or more revisions, or the error. */
struct changed_objects
{
    std::error_code error;
    std::vector<object_change> changes;
};

/** Compares the snapshots before and at a revision. Used if the revision's change was too large to be stored. */
changed_objects compareSnapshots(const store_call &call, std::uint64_t before, std::uint64_t revision)
{
    const auto old = loadRevision(call, before);
    if (old.error) {
        return {old.error, {}};
    }
    const auto current = loadRevision(call, revision);
    if (current.error) {
        return {current.error, {}};
    }
    return {{}, diffConfigurations(*old.value, *current.value)};
}

changed_objects loadChangedObjects(const store_call &call, std::uint64_t before, std::uint64_t revision)
{
    const auto loaded = loadChange(call, revision);
    if (loaded.error == config_errc::Pruned) {
        return compareSnapshots(call, before, revision);
    }
    if (loaded.error) {
        return {loaded.error, {}};
    }
    changed_objects changed;
    visitObjects(loaded.value->objects, [&changed](object_kind kind, const auto &objects) {
        for (const auto &object : objects) {
            changed.changes.push_back({change_kind::Changed, {kind, object.name}});
        }
    });
    for (const auto &object : loaded.value->removed) {
        changed.changes.push_back({change_kind::Removed, object});
    }
    return changed;
}

/**
 * Returns the objects that were changed after the base, collected revision by revision. An object that was changed and
 * reverted counts as changed, because an operator set its current value on purpose.
 */
changed_objects loadChangedObjectsSince(const store_call &call, std::uint64_t base, const std::vector<publication_entry> &history)
{
    changed_objects all;
    auto before = base;
    for (const auto &entry : history) {
        if (entry.revision <= base) {
            continue;
        }
        auto changed = loadChangedObjects(call, before, entry.revision);
        if (changed.error) {
            return changed;
        }
        all.changes.insert(all.changes.end(), changed.changes.begin(), changed.changes.end());
        before = entry.revision;
    }
    return all;
}

/** Appends deletions of the oldest stored snapshot and change if the new revision would exceed MaxStoredRevisions. */
void appendPruneWrites(const std::vector<publication_entry> &history, std::vector<store_write> &writes)
{
    if (history.size() < MaxStoredRevisions) {
        return;
    }
    const auto oldest = history[history.size() - MaxStoredRevisions].revision;
    writes.push_back({config_key::snapshot(oldest), std::nullopt, 0});
    writes.push_back({config_key::change(oldest), std::nullopt, 0});
}

std::string encodeHistoryWith(std::vector<publication_entry> history, publication_entry entry)
{
    history.push_back(std::move(entry));
    if (history.size() > MaxHistoryEntries) {
        history.erase(history.begin(), history.end() - MaxHistoryEntries);
    }
    return encodeHistory(history);
}

prepared_publication makeTransaction(const publication_request &request,
                                     const head_load_result &loaded,
                                     const configuration &current,
                                     const configuration &merged)
{
    prepared_publication prepared;
    prepared.revision = merged.revision;
    prepared.headRevision = headRevision(loaded);
    prepared.headModRevision = loaded.modRevision;
    prepared.changes = diffConfigurations(current, merged);
    publication_entry entry{merged.revision, request.publicationId, request.author, request.publishedAt, summarise(prepared.changes)};
    auto &transaction = prepared.transaction;
    transaction.compares.push_back({std::string{config_key::Head}, loaded.modRevision});
    transaction.writes.push_back({std::string{config_key::Head}, encodeHead({merged.revision, request.publicationId}), 0});
    transaction.writes.push_back({config_key::snapshot(merged.revision), encodeConfiguration(merged), 0});
    auto change = encodeChange(makeChange(current, merged));
    if (change.size() <= MaxChangeBytes) {
        transaction.writes.push_back({config_key::change(merged.revision), std::move(change), 0});
    }
    transaction.writes.push_back({std::string{config_key::History}, encodeHistoryWith(loaded.history, std::move(entry)), 0});
    appendPruneWrites(loaded.history, transaction.writes);
    return prepared;
}

/**
 * Merges the desired changes into the current configuration. Returns a transaction that publishes it, or the result if none is
 * needed or possible.
 */
preparation_result mergeAndCheck(const publication_request &request,
                                 const head_load_result &loaded,
                                 const configuration &base,
                                 const configuration &current,
                                 const std::vector<object_change> &otherChanges)
{
    const auto revision = headRevision(loaded);
    preparation_result outcome;
    outcome.result = failureResult(publication_status::Refused, {}, revision);
    outcome.result.conflicts = findConflicts(base, request.desired, current, otherChanges);
    if (!outcome.result.conflicts.empty()) {
        return outcome;
    }
    auto merged = applyObjects(current, makeChange(base, request.desired));
    merged.revision = std::max(revision, request.revisionFloor) + 1;
    outcome.result.problems = checkConfiguration(merged);
    if (!outcome.result.problems.empty()) {
        return outcome;
    }
    if (loaded.head && diffConfigurations(current, merged).empty()) {
        outcome.result.status = publication_status::Unchanged;
        return outcome;
    }
    outcome.result.error = checkEncodedSize(encodeConfiguration(merged).size());
    if (outcome.result.error) {
        return outcome;
    }
    outcome.prepared = makeTransaction(request, loaded, current, merged);
    outcome.prepared->rebased = request.baseRevision != revision;
    return outcome;
}

preparation_result prepare(const store_call &call, const publication_request &request, const head_load_result &loaded)
{
    const auto revision = headRevision(loaded);
    if (request.baseRevision > revision) {
        return {std::nullopt, failureResult(publication_status::Refused, config_errc::WrongBase, revision)};
    }
    const auto base = loadRevision(call, request.baseRevision);
    if (base.error) {
        return {std::nullopt, readFailureResult(base.error)};
    }
    if (request.baseRevision == revision) {
        return mergeAndCheck(request, loaded, *base.value, *base.value, {});
    }
    const auto current = loadRevision(call, revision);
    if (current.error) {
        return {std::nullopt, readFailureResult(current.error)};
    }
    const auto otherChanges = loadChangedObjectsSince(call, request.baseRevision, loaded.history);
    if (otherChanges.error) {
        return {std::nullopt, readFailureResult(otherChanges.error)};
    }
    return mergeAndCheck(request, loaded, *base.value, *current.value, otherChanges.changes);
}

publication_result acceptedResult(const prepared_publication &prepared)
{
    publication_result result;
    result.status = publication_status::Accepted;
    result.revision = prepared.revision;
    result.rebased = prepared.rebased;
    result.changes = prepared.changes;
    return result;
}

/** Outcome of a sent transaction as far as the head and the history show it. */
enum class transaction_outcome : unsigned char {
    /** The transaction was committed. */
    Committed,
    /** Another publication replaced the head first; the transaction can no longer be committed. */
    Superseded,
    /** The head is still the one that the transaction replaces; it may still be committed. */
    Pending,
    /** The history does not cover all publications since the transaction was sent. */
    Undetermined,
};

/** Returns whether the history contains every publication after a revision. */
bool coversRevisionsAfter(const std::vector<publication_entry> &history, std::uint64_t revision)
{
    if (history.empty()) {
        return false;
    }
    return history.front().revision <= revision || (revision == 0 && history.size() < MaxHistoryEntries);
}

transaction_outcome findOutcome(const head_load_result &loaded, const prepared_publication &sent, const std::string &publicationId)
{
    if (loaded.modRevision == sent.headModRevision) {
        return transaction_outcome::Pending;
    }
    for (const auto &entry : loaded.history) {
        if (entry.publicationId == publicationId) {
            return transaction_outcome::Committed;
        }
    }
    return coversRevisionsAfter(loaded.history, sent.headRevision) ? transaction_outcome::Superseded : transaction_outcome::Undetermined;
}

/** Runs one publication. Retains the last transaction that was sent until the history shows its outcome. */
class publication_run
{
public:
    publication_run(const store_call &call, const publication_request &request)
        : m_call{call}
        , m_request{request}
    { }

    publication_result run()
    {
        for (int attempt{0}; attempt < MaxAttempts; ++attempt) {
            if (auto result = runAttempt()) {
                return *std::move(result);
            }
        }
        return resultOfLastAttempt();
    }

private:
    /** Loads the history, determines the outcome of the last transaction, and sends the next one. Returns nothing to try again. */
    std::optional<publication_result> runAttempt()
    {
        const auto loaded = loadHistory(m_call);
        if (loaded.error) {
            return m_sent ? std::nullopt : std::optional{readFailureResult(loaded.error)};
        }
        m_lastRevision = headRevision(loaded);
        if (m_sent) {
            const auto sentOutcome = findOutcome(loaded, *m_sent, m_request.publicationId);
            if (sentOutcome == transaction_outcome::Committed) {
                return acceptedResult(*m_sent);
            }
            if (sentOutcome == transaction_outcome::Undetermined) {
                return failureResult(publication_status::Unknown, m_error, m_lastRevision);
            }
            if (sentOutcome == transaction_outcome::Pending) {
                return send();
            }
            m_sent.reset();
            m_mayBeCommitted = false;
        }
        auto next = prepare(m_call, m_request, loaded);
        if (!next.prepared) {
            return next.result;
        }
        m_sent = std::move(next.prepared);
        return send();
    }

    std::optional<publication_result> send()
    {
        const auto reply = m_call(m_sent->transaction);
        m_error = reply.error;
        if (reply.error) {
            m_mayBeCommitted = m_mayBeCommitted || mayHaveTakenEffect(reply.error);
            return std::nullopt;
        }
        return reply.succeeded ? std::optional{acceptedResult(*m_sent)} : std::nullopt;
    }

    [[nodiscard]] publication_result resultOfLastAttempt() const
    {
        if (m_mayBeCommitted) {
            return failureResult(publication_status::Unknown, m_error, m_lastRevision);
        }
        if (m_error) {
            return failureResult(publication_status::Unreachable, m_error, m_lastRevision);
        }
        return failureResult(publication_status::Refused, config_errc::Contended, m_lastRevision);
    }

    const store_call &m_call;
    const publication_request &m_request;
    std::optional<prepared_publication> m_sent;
    std::error_code m_error;
    bool m_mayBeCommitted{false};
    std::uint64_t m_lastRevision{0};
};

/** Returns the entry with a key in a reply, or null if there is none. */
const store_entry *findEntry(const store_reply &reply, std::string_view key) noexcept
{
    const auto found = std::find_if(reply.entries.begin(), reply.entries.end(), [key](const store_entry &entry) {
        return entry.key == key;
    });
    return found == reply.entries.end() ? nullptr : &*found;
}

head_load_result decodeHeadReply(const store_reply &reply)
{
    head_load_result loaded;
    loaded.error = reply.error;
    const auto *head = findEntry(reply, config_key::Head);
    if (loaded.error || head == nullptr) {
        return loaded;
    }
    loaded.head = decodeHead(head->value, loaded.error);
    loaded.modRevision = head->modRevision;
    return loaded;
}

} // namespace internal

std::string_view toToken(publication_status status) noexcept
{
    constexpr std::array<std::string_view, 5> Tokens{"accepted", "unchanged", "refused", "unreachable", "unknown"};
    return Tokens[static_cast<std::size_t>(status)];
}

publication_result publish(const store_call &call, const publication_request &request)
{
    return internal::publication_run{call, request}.run();
}

head_load_result loadHead(const store_call &call)
{
    return internal::decodeHeadReply(call(store_range{std::string{config_key::Head}, {}, 1}));
}

head_load_result loadHistory(const store_call &call)
{
    const auto reply = call(store_range{std::string{config_key::Head}, std::string{config_key::HeadRangeEnd}, 0});
    auto loaded = internal::decodeHeadReply(reply);
    const auto *history = internal::findEntry(reply, config_key::History);
    if (loaded.error) {
        return loaded;
    }
    if (loaded.head.has_value() != (history != nullptr)) {
        // Both are always written together, so one of them was deleted by hand. Publishing now could lower the revision.
        loaded.error = config_errc::Malformed;
        return loaded;
    }
    if (history != nullptr) {
        loaded.history = decodeHistory(history->value, loaded.error).value_or(std::vector<publication_entry>{});
    }
    return loaded;
}

configuration_load_result loadRevision(const store_call &call, std::uint64_t revision)
{
    if (revision == 0) {
        return {{}, configuration{}};
    }
    const auto key = config_key::snapshot(revision);
    const auto reply = call(store_range{key, {}, 1});
    if (reply.error) {
        return {reply.error, std::nullopt};
    }
    const auto *entry = internal::findEntry(reply, key);
    if (entry == nullptr) {
        return {config_errc::Pruned, std::nullopt};
    }
    configuration_load_result loaded;
    loaded.value = decodeConfiguration(entry->value, loaded.error);
    return loaded;
}

change_load_result loadChange(const store_call &call, std::uint64_t revision)
{
    const auto key = config_key::change(revision);
    const auto reply = call(store_range{key, {}, 1});
    if (reply.error) {
        return {reply.error, std::nullopt};
    }
    const auto *entry = internal::findEntry(reply, key);
    if (entry == nullptr) {
        return {config_errc::Pruned, std::nullopt};
    }
    change_load_result loaded;
    loaded.value = decodeChange(entry->value, loaded.error);
    return loaded;
}

std::string summarise(const std::vector<object_change> &changes)
{
    std::string text;
    for (const auto kind : {change_kind::Added, change_kind::Changed, change_kind::Removed}) {
        const auto count = std::count_if(changes.begin(), changes.end(), [kind](const object_change &change) {
            return change.change == kind;
        });
        if (count > 0) {
            text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + std::string{toToken(kind)};
        }
    }
    return text.empty() ? "nothing changed" : text;
}

} // namespace ragwortpin
