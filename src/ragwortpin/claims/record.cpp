#include "ragwortpin/claims/record.h"

#include "ragwortpin/claims/digest.h"

#include <msgpack.hpp>

namespace ragwortpin {

namespace {

constexpr std::uint32_t RecordFieldCount{9};
constexpr std::size_t MaxRecordBytes{1U << 20U};

void decodeFields(const msgpack::object_array &array, claim_record &record)
{
    const auto *const field = array.ptr;
    record.attempt = field[0].as<std::uint64_t>();
    record.instance = field[1].as<std::string>();
    record.fingerprint = field[2].as<std::string>();
    record.progress = static_cast<claim_progress>(field[3].as<std::uint8_t>());
    record.claimedAt = field[4].as<std::int64_t>();
    record.answer.status = field[5].as<std::uint32_t>();
    record.answer.contentType = field[6].as<std::string>();
    record.answer.body = field[7].as<std::string>();
    record.answer.hasBody = field[8].as<bool>();
}

/** Decodes a record. Returns false if the input is malformed or exceeds MaxRecordBytes. */
[[nodiscard]] bool tryDecode(std::string_view bytes, claim_record &record)
{
    if (bytes.size() > MaxRecordBytes) {
        return false;
    }
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        const auto &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != RecordFieldCount) {
            return false;
        }
        decodeFields(object.via.array, record);
        return record.progress <= claim_progress::Unknown;
    } catch (const msgpack::unpack_error &) {
        return false;
    } catch (const msgpack::type_error &) {
        return false;
    }
}

} // namespace

std::string claimKey(std::string_view workspace, std::string_view idempotencyKey)
{
    return std::string{ClaimKeyPrefix} + std::string{workspace} + '/' + internal::digestHex({idempotencyKey});
}

std::string encodeClaimRecord(const claim_record &record)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer{buffer};
    packer.pack_array(RecordFieldCount);
    packer.pack(record.attempt);
    packer.pack(record.instance);
    packer.pack(record.fingerprint);
    packer.pack(static_cast<std::uint8_t>(record.progress));
    packer.pack(record.claimedAt);
    packer.pack(record.answer.status);
    packer.pack(record.answer.contentType);
    packer.pack(record.answer.body);
    packer.pack(record.answer.hasBody);
    return {buffer.data(), buffer.size()};
}

claim_record decodeClaimRecord(std::string_view bytes, std::error_code &error)
{
    error.clear();
    claim_record record;
    if (!tryDecode(bytes, record)) {
        error = claims_errc::RecordMalformed;
        return {};
    }
    return record;
}

} // namespace ragwortpin
