#include "standins/support/json.h"

#include <jsoncpp/json/reader.h>
#include <jsoncpp/json/writer.h>

#include <memory>

namespace ragwortpin::standins {

std::optional<Json::Value> parseObject(std::string_view text)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors) || !value.isObject()) {
        return std::nullopt;
    }
    return value;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace ragwortpin::standins
