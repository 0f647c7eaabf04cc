#include "standins/support/store_faults.h"

#include "standins/support/json.h"

namespace ragwortpin::standins {

namespace {

std::optional<store_outage> parseOutage(std::string_view name)
{
    if (name == "none") {
        return store_outage::None;
    }
    if (name == "refuse") {
        return store_outage::Refuse;
    }
    return name == "hang" ? std::optional{store_outage::Hang} : std::nullopt;
}

} // namespace

std::optional<store_fault_update> parseStoreFaults(const store_faults &current, std::string_view body)
{
    const auto json = parseObject(body);
    if (!json) {
        return std::nullopt;
    }
    store_fault_update update{current, false};
    for (const auto &name : json->getMemberNames()) {
        const auto &value = (*json)[name];
        if (name == "outage" && value.isString()) {
            const auto outage = parseOutage(value.asString());
            if (!outage) {
                return std::nullopt;
            }
            update.faults.outage = *outage;
        } else if (name == "delay_ms" && value.isUInt()) {
            update.faults.delay = milliseconds{value.asUInt()};
        } else if (name == "lose_next_answers" && value.isUInt()) {
            update.faults.dropNextResponses = value.asUInt();
        } else if (name == "expire_leases" && value.isBool()) {
            update.expireLeases = value.asBool();
        } else {
            return std::nullopt;
        }
    }
    return update;
}

} // namespace ragwortpin::standins
