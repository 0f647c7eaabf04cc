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

/** Transactions sent for one publication, over conflicts and lost answers together. */
constexpr int MaximumAttempts{8};
/** Larger changes are not written; nodes then load the snapshot. Keeps a transaction near a megabyte. */
constexpr std::size_t MaximumChangeBytes{100'000};

/** A transaction that is ready to be sent. */
struct prepared_publication
{
    std::uint64_t revision{0};
    /** The head that the transaction replaces. */
    std::uint64_t headRevision{0};
    std::int64_t headModRevision{0};
    bool rebased{false};
    std::vector<object_change> changes;
    store_transaction transaction;
};

/** Either a prepared transaction or the final result. */
struct preparation
{
    std::optional<prepared_publication> prepared;
    publication_result result;
};

publication_result failed(publication_status status, std::error_code error, std::uint64_t revision = 0)
{
    publication_result result;
    result.status = status;
    result.error = error;
    result.revision = revision;
    return result;
}

/** A failure while nothing was written: an answer that cannot be read is a refusal, the rest is the store's absence. */
publication_result failedReading(const std::error_code &error)
{
    const bool damaged = error.category() == configCategory();
    return failed(damaged ? publication_status::Refused : publication_status::Unreachable, error);
}

std::uint64_t headRevision(const head_reading &reading) noexcept
{
    return reading.head ? reading.head->revision : 0;
}

/** Objects that both sides touched since the base and that differ between them. */
std::vector<object_ref> findConflicts(const configuration &base,
                                      const configuration &desired,
                                      const configuration &current,
                                      const std::vector<object_change> &theirs)
{
    const auto common = commonObjects(diffConfigurations(base, desired), theirs);
    std::vector<object_change> commonChanges;
    commonChanges.reserve(common.size());
    for (const auto &object : common) {
        commonChanges.push_back({change_kind::Changed, object});
    }
    return commonObjects(commonChanges, diffConfigurations(desired, current));
}

/** What one revision touched, or the error. */
struct touched_objects
{
    std::error_code error;
    std::vector<object_change> changes;
};

/** Compares the snapshots around a revision whose change is too large to be kept. */
touched_objects compareSnapshots(const store_call &call, std::uint64_t before, std::uint64_t revision)
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

touched_objects loadTouched(const store_call &call, std::uint64_t before, std::uint64_t revision)
{
    const auto reading = loadChange(call, revision);
    if (reading.error == config_errc::Pruned) {
        return compareSnapshots(call, before, revision);
    }
    if (reading.error) {
        return {reading.error, {}};
    }
    touched_objects touched;
    visitObjects(reading.value->objects, [&touched](object_kind kind, const auto &objects) {
        for (const auto &object : objects) {
            touched.changes.push_back({change_kind::Changed, {kind, object.name}});
        }
    });
    for (const auto &object : reading.value->removed) {
        touched.changes.push_back({change_kind::Removed, object});
    }
    return touched;
}

/**
 * Collects what others touched after the base, revision by revision: an object that was changed and changed back still
 * counts, as its present state is what an operator wanted.
 */
touched_objects loadTouchedSince(const store_call &call, std::uint64_t base, const std::vector<publication_entry> &history)
{
    touched_objects all;
    auto before = base;
    for (const auto &entry : history) {
        if (entry.revision <= base) {
            continue;
        }
        auto touched = loadTouched(call, before, entry.revision);
        if (touched.error) {
            return touched;
        }
        all.changes.insert(all.changes.end(), touched.changes.begin(), touched.changes.end());
        before = entry.revision;
    }
    return all;
}

/** Keys whose revisions fall out of the kept ones when an entry is added to the history. */
void prune(const std::vector<publication_entry> &history, std::vector<store_write> &writes)
{
    if (history.size() < KeptRevisions) {
        return;
    }
    const auto oldest = history[history.size() - KeptRevisions].revision;
    writes.push_back({config_key::snapshot(oldest), std::nullopt, 0});
    writes.push_back({config_key::change(oldest), std::nullopt, 0});
}

std::string encodeExtendedHistory(std::vector<publication_entry> history, publication_entry entry)
{
    history.push_back(std::move(entry));
    if (history.size() > KeptHistory) {
        history.erase(history.begin(), history.end() - KeptHistory);
    }
    return encodeHistory(history);
}

prepared_publication
makeTransaction(const publication_request &request, const head_reading &reading, const configuration &current, const configuration &target)
{
    prepared_publication prepared;
    prepared.revision = target.revision;
    prepared.headRevision = headRevision(reading);
    prepared.headModRevision = reading.modRevision;
    prepared.changes = diffConfigurations(current, target);
    publication_entry entry{target.revision, request.publicationId, request.author, request.publishedAt, summarise(prepared.changes)};
    auto &transaction = prepared.transaction;
    transaction.compares.push_back({std::string{config_key::Head}, reading.modRevision});
    transaction.writes.push_back({std::string{config_key::Head}, encodeHead({target.revision, request.publicationId}), 0});
    transaction.writes.push_back({config_key::snapshot(target.revision), encodeConfiguration(target), 0});
    auto change = encodeChange(makeChange(current, target));
    if (change.size() <= MaximumChangeBytes) {
        transaction.writes.push_back({config_key::change(target.revision), std::move(change), 0});
    }
    transaction.writes.push_back({std::string{config_key::History}, encodeExtendedHistory(reading.history, std::move(entry)), 0});
    prune(reading.history, transaction.writes);
    return prepared;
}

/** Computes the set to publish over the current one, or why it cannot be. */
preparation mergeAndCheck(const publication_request &request,
                          const head_reading &reading,
                          const configuration &base,
                          const configuration &current,
                          const std::vector<object_change> &theirs)
{
    const auto revision = headRevision(reading);
    preparation outcome;
    outcome.result = failed(publication_status::Refused, {}, revision);
    outcome.result.conflicts = findConflicts(base, request.desired, current, theirs);
    if (!outcome.result.conflicts.empty()) {
        return outcome;
    }
    auto target = applyObjects(current, makeChange(base, request.desired));
    target.revision = std::max(revision, request.revisionFloor) + 1;
    outcome.result.problems = checkConfiguration(target);
    if (!outcome.result.problems.empty()) {
        return outcome;
    }
    if (reading.head && diffConfigurations(current, target).empty()) {
        outcome.result.status = publication_status::Unchanged;
        return outcome;
    }
    outcome.result.error = checkEncodedSize(encodeConfiguration(target).size());
    if (outcome.result.error) {
        return outcome;
    }
    outcome.prepared = makeTransaction(request, reading, current, target);
    outcome.prepared->rebased = request.baseRevision != revision;
    return outcome;
}

preparation prepare(const store_call &call, const publication_request &request, const head_reading &reading)
{
    const auto revision = headRevision(reading);
    if (request.baseRevision > revision) {
        return {std::nullopt, failed(publication_status::Refused, config_errc::WrongBase, revision)};
    }
    const auto base = loadRevision(call, request.baseRevision);
    if (base.error) {
        return {std::nullopt, failedReading(base.error)};
    }
    if (request.baseRevision == revision) {
        return mergeAndCheck(request, reading, *base.value, *base.value, {});
    }
    const auto current = loadRevision(call, revision);
    if (current.error) {
        return {std::nullopt, failedReading(current.error)};
    }
    const auto theirs = loadTouchedSince(call, request.baseRevision, reading.history);
    if (theirs.error) {
        return {std::nullopt, failedReading(theirs.error)};
    }
    return mergeAndCheck(request, reading, *base.value, *current.value, theirs.changes);
}

publication_result accepted(const prepared_publication &prepared)
{
    publication_result result;
    result.status = publication_status::Accepted;
    result.revision = prepared.revision;
    result.rebased = prepared.rebased;
    result.changes = prepared.changes;
    return result;
}

/** What the chain says of a transaction that was sent. */
enum class chain_evidence : unsigned char {
    /** It was done. */
    Done,
    /** Another one took its place; it can never be done. */
    Overtaken,
    /** The head is still the one that it replaces; it may yet be done. */
    Open,
    /** The history does not reach back to it. */
    Lost,
};

/** Whether the history lists every publication after the given revision. */
bool reachesBack(const std::vector<publication_entry> &history, std::uint64_t revision)
{
    if (history.empty()) {
        return false;
    }
    return history.front().revision <= revision || (revision == 0 && history.size() < KeptHistory);
}

chain_evidence findEvidence(const head_reading &reading, const prepared_publication &sent, const std::string &publicationId)
{
    if (reading.modRevision == sent.headModRevision) {
        return chain_evidence::Open;
    }
    for (const auto &entry : reading.history) {
        if (entry.publicationId == publicationId) {
            return chain_evidence::Done;
        }
    }
    return reachesBack(reading.history, sent.headRevision) ? chain_evidence::Overtaken : chain_evidence::Lost;
}

/** Runs one publication; keeps what was sent last until the chain tells its outcome. */
class publication_run
{
public:
    publication_run(const store_call &call, const publication_request &request)
        : m_call{call}
        , m_request{request}
    { }

    publication_result run()
    {
        for (int attempt{0}; attempt < MaximumAttempts; ++attempt) {
            if (auto result = step()) {
                return *std::move(result);
            }
        }
        return giveUp();
    }

private:
    /** Reads the chain, settles what was sent before, and sends the next transaction. */
    std::optional<publication_result> step()
    {
        const auto reading = loadHistory(m_call);
        if (reading.error) {
            return m_sent ? std::nullopt : std::optional{failedReading(reading.error)};
        }
        m_lastRevision = headRevision(reading);
        if (m_sent) {
            const auto evidence = findEvidence(reading, *m_sent, m_request.publicationId);
            if (evidence == chain_evidence::Done) {
                return accepted(*m_sent);
            }
            if (evidence == chain_evidence::Lost) {
                return failed(publication_status::Unknown, m_error, m_lastRevision);
            }
            if (evidence == chain_evidence::Open) {
                return send();
            }
            m_sent.reset();
            m_mayBeDone = false;
        }
        auto next = prepare(m_call, m_request, reading);
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
            m_mayBeDone = m_mayBeDone || mayHaveTakenEffect(reply.error);
            return std::nullopt;
        }
        return reply.succeeded ? std::optional{accepted(*m_sent)} : std::nullopt;
    }

    [[nodiscard]] publication_result giveUp() const
    {
        if (m_mayBeDone) {
            return failed(publication_status::Unknown, m_error, m_lastRevision);
        }
        if (m_error) {
            return failed(publication_status::Unreachable, m_error, m_lastRevision);
        }
        return failed(publication_status::Refused, config_errc::Contended, m_lastRevision);
    }

    const store_call &m_call;
    const publication_request &m_request;
    std::optional<prepared_publication> m_sent;
    std::error_code m_error;
    bool m_mayBeDone{false};
    std::uint64_t m_lastRevision{0};
};

/** Reads the entry with a key out of a reply. */
const store_entry *findEntry(const store_reply &reply, std::string_view key) noexcept
{
    const auto found = std::find_if(reply.entries.begin(), reply.entries.end(), [key](const store_entry &entry) {
        return entry.key == key;
    });
    return found == reply.entries.end() ? nullptr : &*found;
}

head_reading readHead(const store_reply &reply)
{
    head_reading reading;
    reading.error = reply.error;
    const auto *head = findEntry(reply, config_key::Head);
    if (reading.error || head == nullptr) {
        return reading;
    }
    reading.head = decodeHead(head->value, reading.error);
    reading.modRevision = head->modRevision;
    return reading;
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

head_reading loadHead(const store_call &call)
{
    return internal::readHead(call(store_range{std::string{config_key::Head}, {}, 1}));
}

head_reading loadHistory(const store_call &call)
{
    const auto reply = call(store_range{std::string{config_key::Head}, std::string{config_key::HeadRangeEnd}, 0});
    auto reading = internal::readHead(reply);
    const auto *history = internal::findEntry(reply, config_key::History);
    if (reading.error) {
        return reading;
    }
    if (reading.head.has_value() != (history != nullptr)) {
        // One was removed by hand: publishing from here could lower the revision.
        reading.error = config_errc::Malformed;
        return reading;
    }
    if (history != nullptr) {
        reading.history = decodeHistory(history->value, reading.error).value_or(std::vector<publication_entry>{});
    }
    return reading;
}

configuration_reading loadRevision(const store_call &call, std::uint64_t revision)
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
    configuration_reading reading;
    reading.value = decodeConfiguration(entry->value, reading.error);
    return reading;
}

change_reading loadChange(const store_call &call, std::uint64_t revision)
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
    change_reading reading;
    reading.value = decodeChange(entry->value, reading.error);
    return reading;
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
