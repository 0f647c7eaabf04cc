#ifndef RAGWORTPIN_RIGHTS_WIRE_FIELDS_H
#define RAGWORTPIN_RIGHTS_WIRE_FIELDS_H

#include "ragwortpin/rights/messages.h"

#include <concepts>
#include <tuple>
#include <type_traits>

namespace ragwortpin {

/** Satisfied by a struct type and by its const-qualified form. */
template<typename Value, typename Struct>
concept same_struct = std::same_as<std::remove_const_t<Value>, Struct>;

// Each overload returns references to the fields of a message in the order in which they are encoded.
[[nodiscard]] auto wireFields(same_struct<loan_offer> auto &value)
{
    return std::tie(value.workspaces);
}

[[nodiscard]] auto wireFields(same_struct<loan_request_item> auto &value)
{
    return std::tie(value.workspace, value.number, value.isRenewal);
}

[[nodiscard]] auto wireFields(same_struct<loan_request> auto &value)
{
    return std::tie(value.sentAt, value.items);
}

[[nodiscard]] auto wireFields(same_struct<loan_grant_item> auto &value)
{
    return std::tie(value.workspace, value.number, value.granted, value.rate, value.cap, value.balance);
}

[[nodiscard]] auto wireFields(same_struct<loan_grant> auto &value)
{
    return std::tie(value.sentAt, value.requesterIncarnation, value.items);
}

[[nodiscard]] auto wireFields(same_struct<loan_return_item> auto &value)
{
    return std::tie(value.workspace, value.number, value.balance, value.outstanding);
}

[[nodiscard]] auto wireFields(same_struct<loan_return> auto &value)
{
    return std::tie(value.items);
}

[[nodiscard]] auto wireFields(same_struct<loan_recall> auto &value)
{
    return std::tie(value.workspaces);
}

[[nodiscard]] auto wireFields(same_struct<batch_request> auto &value)
{
    return std::tie(
        value.workspace, value.number, value.acceptedNumber, value.kept, value.returned, value.wanted, value.urgent, value.sentAt);
}

[[nodiscard]] auto wireFields(same_struct<batch_grant> auto &value)
{
    return std::tie(value.workspace,
                    value.number,
                    value.requesterIncarnation,
                    value.kept,
                    value.tokens,
                    value.sentAt,
                    value.retryAfter,
                    value.requestInterval,
                    value.wantsReport);
}

} // namespace ragwortpin

#endif
