#ifndef RAGWORTPIN_CONFIG_PUBLICATION_H
#define RAGWORTPIN_CONFIG_PUBLICATION_H

#include "ragwortpin/config/diff.h"
#include "ragwortpin/config/problem.h"
#include "ragwortpin/config/publication_record.h"
#include "ragwortpin/store/store.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace ragwortpin {

/** Number of most recent revisions whose snapshots and changes remain in the store. */
inline constexpr std::size_t MaxStoredRevisions{20};
/** Number of most recent publications listed in the history. */
inline constexpr std::size_t MaxHistoryEntries{500};

/** A configuration that an operator wants to publish. */
struct publication_request
{
    /** Random id that is unique to this publication. */
    std::string publicationId;
    /** Revision that the desired configuration was derived from; 0 for none. */
    std::uint64_t baseRevision{0};
    /** The whole desired configuration, validated by checkConfiguration(). Its revision is ignored. */
    configuration desired;
    std::string author;
    /** Wall-clock time since the Unix epoch, recorded in the history. */
    microseconds publishedAt{0};
    /**
     * Lower bound of the new revision, exclusive. Set once for an empty new store, so that its first revision is above the one
     * that nodes still use.
     */
    std::uint64_t revisionFloor{0};

    bool operator==(const publication_request &) const = default;
};

/** Outcome of a publication. */
enum class publication_status : unsigned char {
    /** The configuration was committed as the new head. Later publications may have replaced it since. */
    Accepted,
    /** The current configuration already contains every change; nothing was written. */
    Unchanged,
    /** The configuration was rejected; this publication will not take effect later either. */
    Refused,
    /** The store could not be reached; nothing was written. */
    Unreachable,
    /**
     * An answer was lost and the history could not be read or no longer covers the transaction. Publishing the same configuration
     * again is safe.
     */
    Unknown,
};

/** Returns the text of a status: accepted, unchanged, refused, unreachable or unknown. */
[[nodiscard]] std::string_view toToken(publication_status status) noexcept;

/** Result of a publication. */
struct publication_result
{
    publication_status status{publication_status::Unknown};
    /** Revision of the configuration if Accepted or Unchanged; otherwise the head's revision as last read, or 0 if a read failed. */
    std::uint64_t revision{0};
    /** Whether the change was rebased onto a newer revision than the request's base. */
    bool rebased{false};
    /** Objects that the publication added, changed or removed. */
    std::vector<object_change> changes;
    /** Objects that another operator changed as well, if Refused because of a conflict. */
    std::vector<object_ref> conflicts;
    /** Problems of the merged configuration, if Refused because it is invalid. */
    std::vector<config_problem> problems;
    std::error_code error;

    bool operator==(const publication_result &) const = default;
};

/** The head and the history as read from the store in one consistent call, or the error. */
struct head_load_result
{
    std::error_code error;
    /** Nothing if no configuration has been published. */
    std::optional<config_head> head;
    /** Store revision at which the head key was last modified; 0 if the key does not exist. */
    std::int64_t modRevision{0};
    /** Publications, oldest first. Empty in the result of loadHead(). */
    std::vector<publication_entry> history;

    bool operator==(const head_load_result &) const = default;
};

/** A configuration loaded from the store, or the error. */
struct configuration_load_result
{
    std::error_code error;
    std::optional<configuration> value;

    bool operator==(const configuration_load_result &) const = default;
};

/** A change loaded from the store, or the error. */
struct change_load_result
{
    std::error_code error;
    std::optional<configuration_change> value;

    bool operator==(const change_load_result &) const = default;
};

/**
 * Publishes a configuration. Writes the head, the snapshot, the change and the history in one transaction, on the condition
 * that the head was not modified since it was read. If another operator published in the meantime, the change is rebased onto
 * the new head, provided that it does not conflict with the other changes and the merged configuration is valid. After a lost
 * answer the history shows whether the transaction was committed. As long as the head is unmodified the same transaction is
 * sent again, which is safe because its condition can be met only once.
 */
[[nodiscard]] publication_result publish(const store_call &call, const publication_request &request);

/** Loads the head without the history. Nodes poll it. */
[[nodiscard]] head_load_result loadHead(const store_call &call);

/** Loads the head and the history in one call. Fails with config_errc::Malformed if only one of them exists. */
[[nodiscard]] head_load_result loadHistory(const store_call &call);

/**
 * Loads the whole configuration of a revision. Fails with config_errc::Pruned if it is not stored.
 * Revision 0 is the empty configuration.
 */
[[nodiscard]] configuration_load_result loadRevision(const store_call &call, std::uint64_t revision);

/** Loads the change that led to a revision. Fails with config_errc::Pruned if it is not stored, also if it was too large to be stored. */
[[nodiscard]] change_load_result loadChange(const store_call &call, std::uint64_t revision);

/** Returns the number of changes of each kind as text, for example: 2 added, 1 removed. */
[[nodiscard]] std::string summarise(const std::vector<object_change> &changes);

} // namespace ragwortpin

#endif
