#ifndef RAGWORTPIN_TARGETS_DEPARTURE_RECORD_H
#define RAGWORTPIN_TARGETS_DEPARTURE_RECORD_H

#include "ragwortpin/store/store.h"
#include "ragwortpin/targets/announcement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ragwortpin {

/** Prefix of the store keys under which nodes record the departures of their targets; the instance name follows. */
inline constexpr std::string_view DepartureKeyPrefix{"ragwortpin/departures/"};

/** Maximum number of departures stored for one instance. */
inline constexpr std::size_t MaxStoredDepartures{16};

/** Returns the text that departures are stored as: a JSON object of the newest one, with the others, newest first, in `earlier`. */
[[nodiscard]] std::string encodeDepartures(const std::vector<departure_record> &records);

/** Parses stored departures; nothing if the text is malformed or an incarnation is no readable name. */
[[nodiscard]] std::optional<std::vector<departure_record>> decodeDepartures(std::string_view text);

/**
 * Adds departures to stored ones, oldest first in both. A start that is recorded already keeps its place. Beyond MaxStoredDepartures, the
 * oldest start that was never announced is dropped, since anybody can name any number of them, or else the oldest one.
 */
[[nodiscard]] std::vector<departure_record> mergeDepartures(std::vector<departure_record> stored,
                                                            const std::vector<departure_record> &added);

/** Result of readDepartures(). */
struct departure_reading
{
    std::error_code error;
    /** Stored departures, oldest first. */
    std::vector<departure_record> records;
    /** Store revision of the last write; 0 if nothing is stored. */
    std::int64_t revision{0};
    /** Whether something is stored that is no departure. */
    bool isMalformed{false};

    bool operator==(const departure_reading &) const = default;
};

/** Reads the departures stored under a key. */
[[nodiscard]] departure_reading readDepartures(const store_call &call, const std::string &key);

/** Result of writeDepartures(). */
struct departure_writing
{
    std::error_code error;
    /** Store revision of the write; nothing if the entry was no longer the one that was read, and nothing was written. */
    std::optional<std::int64_t> revision;

    bool operator==(const departure_writing &) const = default;
};

/**
 * Stores departures under a key, in place of the entry last written at the given revision. A write that gets no response may take effect
 * seconds later; the condition keeps it from replacing a later one.
 */
[[nodiscard]] departure_writing
writeDepartures(const store_call &call, const std::string &key, const std::vector<departure_record> &records, std::int64_t revision);

} // namespace ragwortpin

#endif
