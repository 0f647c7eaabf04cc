#ifndef RAGWORTPIN_TARGETS_DEPARTURE_RECORD_H
#define RAGWORTPIN_TARGETS_DEPARTURE_RECORD_H

#include "ragwortpin/store/store.h"
#include "ragwortpin/targets/announcement.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace ragwortpin {

/** Prefix of the store keys under which nodes record the last departure of their targets; the instance name follows. */
inline constexpr std::string_view DepartureKeyPrefix{"ragwortpin/departures/"};

/** Returns the text that a departure is stored as: a JSON object. */
[[nodiscard]] std::string encodeDeparture(const departure_record &record);

/** Parses a stored departure; nothing if the text is malformed or its incarnation is no readable name. */
[[nodiscard]] std::optional<departure_record> decodeDeparture(std::string_view text);

/** Result of readDeparture(). */
struct departure_reading
{
    std::error_code error;
    /** Nothing if no departure is stored. */
    std::optional<departure_record> record;
    /** Whether something is stored that is no departure. */
    bool isMalformed{false};

    bool operator==(const departure_reading &) const = default;
};

/** Reads the departure stored under a key. */
[[nodiscard]] departure_reading readDeparture(const store_call &call, const std::string &key);

/** Stores a departure under a key in place of an earlier one. */
[[nodiscard]] std::error_code writeDeparture(const store_call &call, const std::string &key, const departure_record &record);

} // namespace ragwortpin

#endif
