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
    const std::unique_ptr<Json::CharReader> reader{Json::CharReaderBuilder{}.newCharReader()};
    Json::Value object;
    const bool isParsed{reader->parse(text.data(), text.data() + text.size(), &object, nullptr)};
    const bool isComplete{isParsed && object.isObject() && object[IncarnationField].isString() && object[StartedAtField].isUInt64()
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
