#ifndef RAGWORTPIN_CONFIG_PUBLICATION_RECORD_H
#define RAGWORTPIN_CONFIG_PUBLICATION_RECORD_H

#include "ragwortpin/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace ragwortpin {

/** Store keys of the configuration. */
namespace config_key {
/** Key of the current revision. Nodes poll this key. */
inline constexpr std::string_view Head{"ragwortpin/config/head"};
/** Key of the latest publications. Sorts directly after the head, so that one range request reads both. */
inline constexpr std::string_view History{"ragwortpin/config/history"};
/** Exclusive end of the key range that contains only the head and the history. */
inline constexpr std::string_view HeadRangeEnd{"ragwortpin/config/i"};
/** Returns the key of the whole configuration of a revision. */
[[nodiscard]] std::string snapshot(std::uint64_t revision);
/** Returns the key of the change that led to a revision. */
[[nodiscard]] std::string change(std::uint64_t revision);
} // namespace config_key

/** Value of the head key. */
struct config_head
{
    std::uint64_t revision{0};
    /** Random id of the publication that created the revision. */
    std::string publicationId;

    bool operator==(const config_head &) const = default;
};

/** History entry of one accepted publication. */
struct publication_entry
{
    std::uint64_t revision{0};
    std::string publicationId;
    /** Author of the publication, as given to the operator's tool. */
    std::string author;
    /** Wall-clock time of the operator's machine since the Unix epoch. */
    microseconds publishedAt{0};
    /** Numbers of added, changed and removed objects as text, see summarise(). */
    std::string summary;

    bool operator==(const publication_entry &) const = default;
};

/** Encodes the head as MessagePack. */
[[nodiscard]] std::string encodeHead(const config_head &head);

/** Decodes the head. Returns nothing and sets the error for malformed bytes or an unknown format. */
[[nodiscard]] std::optional<config_head> decodeHead(std::string_view bytes, std::error_code &error);

/** Encodes the history, oldest first, as MessagePack. */
[[nodiscard]] std::string encodeHistory(const std::vector<publication_entry> &entries);

/** Decodes the history. Returns nothing and sets the error for malformed bytes or an unknown format. */
[[nodiscard]] std::optional<std::vector<publication_entry>> decodeHistory(std::string_view bytes, std::error_code &error);

} // namespace ragwortpin

#endif
