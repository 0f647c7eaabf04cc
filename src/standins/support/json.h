#ifndef RAGWORTPIN_STANDINS_SUPPORT_JSON_H
#define RAGWORTPIN_STANDINS_SUPPORT_JSON_H

#include <jsoncpp/json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin::standins {

/** Parses a JSON object. Returns nullopt for malformed JSON and for any other JSON value. */
[[nodiscard]] std::optional<Json::Value> parseObject(std::string_view text);

/** Returns the value as JSON on a single line. */
[[nodiscard]] std::string writeJson(const Json::Value &value);

} // namespace ragwortpin::standins

#endif
