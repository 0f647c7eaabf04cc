#include "ragwortpin/targets/departure_record.h"

#include "ragwortpin/core/names.h"

#include <json/json.h>

#include <memory>

namespace ragwortpin {

namespace {

constexpr const char *IncarnationField{"incarnation"};
constexpr const char *StartedAtField{"started_at_ms"};
constexpr const char *SequenceField{"sequence"};
constexpr const char *EndedField{"ended"};
constexpr int MaxJsonDepth{8};

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

} // namespace

std::string encodeDeparture(const departure_record &record)
{
    Json::Value object{Json::objectValue};
    object[IncarnationField] = record.incarnation;
    object[StartedAtField] = static_cast<Json::UInt64>(record.startedAt);
    object[SequenceField] = static_cast<Json::UInt64>(record.sequence);
    object[EndedField] = record.hasEnded;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, object);
}

std::optional<departure_record> decodeDeparture(std::string_view text)
{
    const auto parsed = parseJson(text);
    const auto object = parsed.value_or(Json::Value{});
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

departure_reading readDeparture(const store_call &call, const std::string &key)
{
    const auto reply = call(store_range{key, {}, 1});
    if (reply.error || reply.entries.empty()) {
        return {reply.error, std::nullopt, false};
    }
    const auto record = decodeDeparture(reply.entries.front().value);
    return {{}, record, !record};
}

std::error_code writeDeparture(const store_call &call, const std::string &key, const departure_record &record)
{
    return call(store_transaction{{}, {{key, encodeDeparture(record), 0}}, {}}).error;
}

} // namespace ragwortpin
