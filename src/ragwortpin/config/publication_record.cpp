#include "ragwortpin/config/publication_record.h"

#include "ragwortpin/config/msgpack_fields.h"

#include <string>

namespace ragwortpin {

namespace internal {

constexpr std::string_view SnapshotPrefix{"ragwortpin/config/snapshots/"};
constexpr std::string_view ChangePrefix{"ragwortpin/config/changes/"};
/** Number of digits of the largest revision. Revisions are padded with zeros to it, so that keys sort by revision. */
constexpr std::size_t RevisionDigits{20};

std::string revisionKey(std::string_view prefix, std::uint64_t revision)
{
    const auto digits = std::to_string(revision);
    return std::string{prefix} + std::string(RevisionDigits - digits.size(), '0') + digits;
}

void packEntry(packer &output, const publication_entry &entry)
{
    packFields(
        output, entry.revision, entry.publicationId, entry.author, static_cast<std::int64_t>(entry.publishedAt.count()), entry.summary);
}

publication_entry unpackEntry(const msgpack::object &input)
{
    field_cursor fields{input};
    publication_entry entry;
    std::int64_t publishedAt{0};
    fields.read(entry.revision);
    fields.read(entry.publicationId);
    fields.read(entry.author);
    fields.read(publishedAt);
    fields.read(entry.summary);
    entry.publishedAt = microseconds{publishedAt};
    return entry;
}

} // namespace internal

std::string config_key::snapshot(std::uint64_t revision)
{
    return internal::revisionKey(internal::SnapshotPrefix, revision);
}

std::string config_key::change(std::uint64_t revision)
{
    return internal::revisionKey(internal::ChangePrefix, revision);
}

std::string encodeHead(const config_head &head)
{
    msgpack::sbuffer buffer;
    internal::packer output{buffer};
    internal::packFields(output, internal::FormatVersion, head.revision, head.publicationId);
    return internal::toString(buffer);
}

std::optional<config_head> decodeHead(std::string_view bytes, std::error_code &error)
{
    return internal::decode<config_head>(bytes, error, [](internal::field_cursor &cursor, config_head &head) {
        cursor.read(head.revision);
        cursor.read(head.publicationId);
    });
}

std::string encodeHistory(const std::vector<publication_entry> &entries)
{
    msgpack::sbuffer buffer;
    internal::packer output{buffer};
    output.pack_array(2);
    output.pack(internal::FormatVersion);
    output.pack_array(static_cast<std::uint32_t>(entries.size()));
    for (const auto &entry : entries) {
        internal::packEntry(output, entry);
    }
    return internal::toString(buffer);
}

std::optional<std::vector<publication_entry>> decodeHistory(std::string_view bytes, std::error_code &error)
{
    using entry_list = std::vector<publication_entry>;
    return internal::decode<entry_list>(bytes, error, [](internal::field_cursor &cursor, entry_list &entries) {
        internal::field_cursor items{cursor.next()};
        for (std::size_t index{0}; index < items.size(); ++index) {
            entries.push_back(internal::unpackEntry(items.next()));
        }
    });
}

} // namespace ragwortpin
