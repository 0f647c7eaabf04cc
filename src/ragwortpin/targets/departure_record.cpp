#include "ragwortpin/targets/departure_record.h"

#include "ragwortpin/core/names.h"

#include <json/json.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace ragwortpin {

namespace {

constexpr const char *IncarnationField{"incarnation"};
constexpr const char *StartedAtField{"started_at_ms"};
constexpr const char *SequenceField{"sequence"};
constexpr const char *EndedField{"ended"};
constexpr const char *EarlierField{"earlier"};
constexpr int MaxJsonDepth{8};

Json::Value toJson(const departure_record &record)
{
    Json::Value object{Json::objectValue};
    object[IncarnationField] = record.incarnation;
    object[StartedAtField] = static_cast<Json::UInt64>(record.startedAt);
    object[SequenceField] = static_cast<Json::UInt64>(record.sequence);
    object[EndedField] = record.hasEnded;
    return object;
}

std::optional<departure_record> readRecord(const Json::Value &object)
{
    const bool isComplete{object.isObject() && object[IncarnationField].isString() && object[StartedAtField].isUInt64()
                          && object[SequenceField].isUInt64() && object[EndedField].isBool()};
    if (!isComplete || !isName(object[IncarnationField].asString())) {
        return std::nullopt;
    }
    return departure_record{object[IncarnationField].asString(),
                            object[StartedAtField].asUInt64(),
                            object[SequenceField].asUInt64(),
                            object[EndedField].asBool()};
}

std::optional<Json::Value> parseJson(std::string_view text)
{
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = MaxJsonDepth;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, nullptr) ? std::optional{value} : std::nullopt;
    } catch (const Json::Exception &) {
        return std::nullopt;
    }
}

/** Returns whether a record of an incarnation says no less than another one of it. A later start implies that earlier ones have ended. */
bool covers(const departure_record &known, const departure_record &other)
{
    if (other.startedAt != known.startedAt) {
        return other.startedAt < known.startedAt;
    }
    return known.hasEnded || (!other.hasEnded && other.sequence <= known.sequence);
}

void add(std::vector<departure_record> &records, const departure_record &added)
{
    const auto known = std::find_if(records.begin(), records.end(), [&added](const departure_record &record) {
        return record.incarnation == added.incarnation;
    });
    if (known == records.end()) {
        records.push_back(added);
    } else if (!covers(*known, added)) {
        const auto sequence = added.sequence > 0 ? added.sequence : known->sequence;
        *known = added;
        known->sequence = sequence;
    }
}

void dropOldest(std::vector<departure_record> &records)
{
    const auto unannounced = std::find_if(records.begin(), records.end(), [](const departure_record &record) {
        return record.sequence == 0;
    });
    records.erase(unannounced == records.end() ? records.begin() : unannounced);
}

} // namespace

std::string encodeDepartures(const std::vector<departure_record> &records)
{
    if (records.empty()) {
        return {};
    }
    auto object = toJson(records.back());
    for (auto record = records.rbegin() + 1; record != records.rend(); ++record) {
        object[EarlierField].append(toJson(*record));
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, object);
}

std::optional<std::vector<departure_record>> decodeDepartures(std::string_view text)
{
    const auto object = parseJson(text);
    auto newest = object ? readRecord(*object) : std::nullopt;
    if (!newest) {
        return std::nullopt;
    }
    const auto &earlier = (*object)[EarlierField];
    if (!earlier.isNull() && !earlier.isArray()) {
        return std::nullopt;
    }
    std::vector<departure_record> records{std::move(*newest)};
    for (const auto &entry : earlier) {
        auto record = readRecord(entry);
        if (!record || records.size() >= MaxStoredDepartures) {
            return std::nullopt;
        }
        records.push_back(std::move(*record));
    }
    std::reverse(records.begin(), records.end());
    return records;
}

std::vector<departure_record> mergeDepartures(std::vector<departure_record> stored, const std::vector<departure_record> &added)
{
    for (const auto &record : added) {
        add(stored, record);
        if (stored.size() > MaxStoredDepartures) {
            dropOldest(stored);
        }
    }
    return stored;
}

departure_reading readDepartures(const store_call &call, const std::string &key)
{
    const auto reply = call(store_range{key, {}, 1});
    if (reply.error || reply.entries.empty()) {
        return {reply.error, {}, 0, false};
    }
    const auto &entry = reply.entries.front();
    auto records = decodeDepartures(entry.value);
    const bool isMalformed{!records};
    return {{}, std::move(records).value_or(std::vector<departure_record>{}), entry.modRevision, isMalformed};
}

departure_writing
writeDepartures(const store_call &call, const std::string &key, const std::vector<departure_record> &records, std::int64_t revision)
{
    const auto reply = call(store_transaction{{{key, revision}}, {{key, encodeDepartures(records), 0}}, {}});
    if (reply.error || !reply.succeeded) {
        return {reply.error, std::nullopt};
    }
    return {{}, reply.revision};
}

} // namespace ragwortpin
