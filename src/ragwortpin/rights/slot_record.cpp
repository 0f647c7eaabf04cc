#include "ragwortpin/core/wire.h"
#include "ragwortpin/rights/slots.h"

#include <charconv>
#include <tuple>

namespace ragwortpin {

namespace {

constexpr internal::wire_limits RecordLimits{8, 256, 2};

template<typename Record>
[[nodiscard]] auto wireFieldsOf(Record &record)
{
    return std::tie(record.owner, record.address, record.incarnation, record.confirmations, record.sharesDigest);
}

} // namespace

static auto wireFields(slot_record &record)
{
    return wireFieldsOf(record);
}

static auto wireFields(const slot_record &record)
{
    return wireFieldsOf(record);
}

std::string slotKey(const slot_id &id)
{
    return std::string{SlotKeyPrefix} + id.availabilityZone + '/' + std::to_string(id.index);
}

slot_id parseSlotKey(std::string_view key, std::error_code &error)
{
    error = rights_errc::RecordMalformed;
    const auto slash = key.rfind('/');
    if (!key.starts_with(SlotKeyPrefix) || slash < SlotKeyPrefix.size()) {
        return {};
    }
    slot_id id;
    id.availabilityZone = key.substr(SlotKeyPrefix.size(), slash - SlotKeyPrefix.size());
    const auto *const end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + slash + 1, end, id.index);
    if (parsed.ec == std::errc{} && parsed.ptr == end) {
        error.clear();
    }
    return id;
}

std::string encodeSlotRecord(const slot_record &record)
{
    return internal::encodeStruct(record);
}

slot_record decodeSlotRecord(std::string_view bytes, std::error_code &error)
{
    error.clear();
    const auto record = internal::decodeStruct<slot_record>(bytes, RecordLimits);
    if (!record) {
        error = rights_errc::RecordMalformed;
    }
    return record.value_or(slot_record{});
}

} // namespace ragwortpin
