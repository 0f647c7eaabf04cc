#include "standins/support/target_faults.h"

#include "standins/support/json.h"

namespace ragwortpin::standins {

namespace {

constexpr unsigned MinStatus{200};
constexpr unsigned MaxStatus{599};

bool isStatus(const Json::Value &value)
{
    return value.isUInt() && (value.asUInt() == 0 || (value.asUInt() >= MinStatus && value.asUInt() <= MaxStatus));
}

} // namespace

std::optional<target_faults> parseTargetFaults(const target_faults &current, std::string_view body)
{
    const auto json = parseObject(body);
    if (!json) {
        return std::nullopt;
    }
    auto faults = current;
    for (const auto &name : json->getMemberNames()) {
        const auto &value = (*json)[name];
        if (name == "late_ms" && value.isUInt()) {
            faults.responseDelay = milliseconds{value.asUInt()};
        } else if (name == "cut_short" && value.isUInt()) {
            faults.truncateNextResponses = value.asUInt();
        } else if (name == "never_answer" && value.isBool()) {
            faults.neverRespond = value.asBool();
        } else if (name == "slow_factor" && value.isNumeric() && value.asDouble() >= 0.0) {
            faults.serviceTimeFactor = value.asDouble();
        } else if (name == "status" && isStatus(value)) {
            faults.status = value.asUInt();
        } else {
            return std::nullopt;
        }
    }
    return faults;
}

} // namespace ragwortpin::standins
