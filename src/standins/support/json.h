#ifndef RAGWORTPIN_STANDINS_SUPPORT_JSON_H
#define RAGWORTPIN_STANDINS_SUPPORT_JSON_H

#include <jsoncpp/json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin::standins {

/** Parses a JSON object; nothing when the text is anything else. */
[[nodiscard]] std::optional<Json::Value> parseObject(std::string_view text);

/** Writes JSON on one line. */
[[nodiscard]] std::string writeJson(const Json::Value &value);

} // namespace ragwortpin::standins

#endif
