#include "ragwortpin/targets/send_check.h"

namespace ragwortpin {

std::optional<send_obstacle> findObstacle(const send_conditions &conditions, const target_view &target, time_point now)
{
    if (target.draining) {
        return send_obstacle::Draining;
    }
    if (!target.announced || target.replaced) {
        return send_obstacle::NotReady;
    }
    if (target.announced->service != conditions.service) {
        return send_obstacle::OtherService;
    }
    const bool isAddressedToOther{
        conditions.incarnation
        && (target.announced->incarnation != *conditions.incarnation || target.announced->address != conditions.address)};
    if (isAddressedToOther) {
        return send_obstacle::OtherIncarnation;
    }
    return now >= conditions.deadline ? std::optional{send_obstacle::DeadlineExceeded} : std::nullopt;
}

refusal_kind toRefusal(send_obstacle obstacle) noexcept
{
    switch (obstacle) {
    case send_obstacle::Draining:
        return refusal_kind::Draining;
    case send_obstacle::DeadlineExceeded:
        return refusal_kind::DeadlineExceeded;
    case send_obstacle::NotReady:
    case send_obstacle::OtherService:
    case send_obstacle::OtherIncarnation:
        break;
    }
    return refusal_kind::NotReady;
}

std::string_view toToken(send_obstacle obstacle) noexcept
{
    switch (obstacle) {
    case send_obstacle::Draining:
        return "draining";
    case send_obstacle::NotReady:
        return "not_ready";
    case send_obstacle::OtherService:
        return "other_service";
    case send_obstacle::OtherIncarnation:
        return "other_incarnation";
    case send_obstacle::DeadlineExceeded:
        break;
    }
    return "deadline_exceeded";
}

} // namespace ragwortpin
