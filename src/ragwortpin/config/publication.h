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

/** Snapshots and changes kept in the store. */
inline constexpr std::size_t KeptRevisions{20};
/** Publications listed in the history. */
inline constexpr std::size_t KeptHistory{500};

/** What an operator wants to put in force. */
struct publication_request
{
    /** Fresh random id, never used before. */
    std::string publicationId;
    /** Revision that the set was written from; 0 for none. */
    std::uint64_t baseRevision{0};
    /** The whole set; it passed checkConfiguration(). Its revision is ignored. */
    configuration desired;
    std::string author;
    /** Wall clock since the Unix epoch, for the history. */
    microseconds publishedAt{0};
    /** The new revision is above this one; used once to begin a new store above the revision that nodes still hold. */
    std::uint64_t revisionFloor{0};

    bool operator==(const publication_request &) const = default;
};

/** How a publication ended. */
enum class publication_status : unsigned char {
    /** The set is the head of the chain, or was when it was accepted. */
    Accepted,
    /** The set in force already holds every change; nothing was written. */
    Unchanged,
    /** The set was not accepted and never will be by this publication. */
    Refused,
    /** The store could not be reached; nothing was written. */
    Unreachable,
    /** An answer was lost and the chain could not be read; running the same publication again is safe. */
    Unknown,
};

/** Returns accepted, unchanged, refused, unreachable or unknown. */
[[nodiscard]] std::string_view toToken(publication_status status) noexcept;

/** Result of a publication. */
struct publication_result
{
    publication_status status{publication_status::Unknown};
    /** Revision that holds the set when Accepted or Unchanged; otherwise the head's revision as last read. */
    std::uint64_t revision{0};
    /** Whether the change was carried over to a newer revision of other operators. */
    bool rebased{false};
    /** Objects that the publication adds, changes or removes. */
    std::vector<object_change> changes;
    /** Objects that another operator changed as well, when Refused for a conflict. */
    std::vector<object_ref> conflicts;
    /** Faults of the merged set, when Refused by the checks. */
    std::vector<config_problem> problems;
    std::error_code error;

    bool operator==(const publication_result &) const = default;
};

/** The head and the history as one consistent reading. */
struct head_reading
{
    std::error_code error;
    /** Nothing when no configuration was published yet. */
    std::optional<config_head> head;
    /** Store revision of the head key; 0 when there is none. */
    std::int64_t modRevision{0};
    /** Oldest first. */
    std::vector<publication_entry> history;

    bool operator==(const head_reading &) const = default;
};

/** A configuration read from the store, or the error. */
struct configuration_reading
{
    std::error_code error;
    std::optional<configuration> value;

    bool operator==(const configuration_reading &) const = default;
};

/** A change read from the store, or the error. */
struct change_reading
{
    std::error_code error;
    std::optional<configuration_change> value;

    bool operator==(const change_reading &) const = default;
};

/**
 * Publishes a set: writes head, snapshot, change and history in one transaction that holds only if the head is still the one
 * that was read. When another operator was first, the change is carried over if it touches other objects and the merged set
 * passes the checks. After a lost answer the history tells whether the transaction was done; while it cannot have been
 * overtaken the same transaction is sent again, which is safe because it can hold only once.
 */
[[nodiscard]] publication_result publish(const store_call &call, const publication_request &request);

/** Reads the head alone, as nodes do when they poll. */
[[nodiscard]] head_reading loadHead(const store_call &call);

/** Reads the head and the history in one call. */
[[nodiscard]] head_reading loadHistory(const store_call &call);

/** Reads the whole set at a revision; config_errc::Pruned when it is not kept. Revision 0 is the empty set. */
[[nodiscard]] configuration_reading loadRevision(const store_call &call, std::uint64_t revision);

/** Reads the change that led to a revision; config_errc::Pruned when it is not kept. */
[[nodiscard]] change_reading loadChange(const store_call &call, std::uint64_t revision);

/** Counts the changes in words, for example: 2 added, 1 removed. */
[[nodiscard]] std::string summarise(const std::vector<object_change> &changes);

} // namespace ragwortpin

#endif
