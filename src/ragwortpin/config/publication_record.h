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

/** Keys of the configuration in the store. */
namespace config_key {
/** The revision in force. Nodes poll this key. */
inline constexpr std::string_view Head{"ragwortpin/config/head"};
/** The latest publications. Sorts directly after the head, so that one range reads both. */
inline constexpr std::string_view History{"ragwortpin/config/history"};
/** End of the range that holds the head and the history alone. */
inline constexpr std::string_view HeadRangeEnd{"ragwortpin/config/i"};
/** Returns the key of the whole set at a revision. */
[[nodiscard]] std::string snapshot(std::uint64_t revision);
/** Returns the key of the change that led to a revision. */
[[nodiscard]] std::string change(std::uint64_t revision);
} // namespace config_key

/** Value of the head key. */
struct config_head
{
    std::uint64_t revision{0};
    /** Random id of the publication that made the revision. */
    std::string publicationId;

    bool operator==(const config_head &) const = default;
};

/** One accepted publication. */
struct publication_entry
{
    std::uint64_t revision{0};
    std::string publicationId;
    /** Who published, as the operator's tool was told. */
    std::string author;
    /** Wall clock of the operator's machine since the Unix epoch. */
    microseconds publishedAt{0};
    /** Numbers of objects added, changed and removed, in words. */
    std::string summary;

    bool operator==(const publication_entry &) const = default;
};

/** Encodes the head as MessagePack. */
[[nodiscard]] std::string encodeHead(const config_head &head);

/** Decodes the head; nothing, with the error set, for malformed bytes. */
[[nodiscard]] std::optional<config_head> decodeHead(std::string_view bytes, std::error_code &error);

/** Encodes the history, oldest first, as MessagePack. */
[[nodiscard]] std::string encodeHistory(const std::vector<publication_entry> &entries);

/** Decodes the history; nothing, with the error set, for malformed bytes. */
[[nodiscard]] std::optional<std::vector<publication_entry>> decodeHistory(std::string_view bytes, std::error_code &error);

} // namespace ragwortpin

#endif
