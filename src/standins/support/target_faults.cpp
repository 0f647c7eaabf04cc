#include "standins/support/target_faults.h"

#include "standins/support/json.h"

namespace ragwortpin::standins {

namespace {

constexpr unsigned LeastStatus{200};
constexpr unsigned MostStatus{599};

bool isStatus(const Json::Value &value)
{
    return value.isUInt() && (value.asUInt() == 0 || (value.asUInt() >= LeastStatus && value.asUInt() <= MostStatus));
}

} // namespace

std::optional<target_faults> parseTargetFaults(const target_faults &present, std::string_view body)
{
    const auto json = parseObject(body);
    if (!json) {
        return std::nullopt;
    }
    auto faults = present;
    for (const auto &name : json->getMemberNames()) {
        const auto &value = (*json)[name];
        if (name == "late_ms" && value.isUInt()) {
            faults.late = milliseconds{value.asUInt()};
        } else if (name == "cut_short" && value.isUInt()) {
            faults.cutShort = value.asUInt();
        } else if (name == "never_answer" && value.isBool()) {
            faults.neverAnswer = value.asBool();
        } else if (name == "slow_factor" && value.isNumeric() && value.asDouble() >= 0.0) {
            faults.slowFactor = value.asDouble();
        } else if (name == "status" && isStatus(value)) {
            faults.status = value.asUInt();
        } else {
            return std::nullopt;
        }
    }
    return faults;
}

} // namespace ragwortpin::standins
