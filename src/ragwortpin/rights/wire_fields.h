#ifndef RAGWORTPIN_RIGHTS_WIRE_FIELDS_H
#define RAGWORTPIN_RIGHTS_WIRE_FIELDS_H

#include "ragwortpin/rights/messages.h"

#include <concepts>
#include <tuple>
#include <type_traits>

namespace ragwortpin {

/** A struct, const or not. */
template<typename Value, typename Struct>
concept same_struct = std::same_as<std::remove_const_t<Value>, Struct>;

/** Fields of each message in the order of the wire. */
[[nodiscard]] auto wireFields(same_struct<loan_offer> auto &value)
{
    return std::tie(value.workspaces);
}

[[nodiscard]] auto wireFields(same_struct<loan_ask_item> auto &value)
{
    return std::tie(value.workspace, value.number, value.held);
}

[[nodiscard]] auto wireFields(same_struct<loan_ask> auto &value)
{
    return std::tie(value.sentAt, value.items);
}

[[nodiscard]] auto wireFields(same_struct<loan_grant_item> auto &value)
{
    return std::tie(value.workspace, value.number, value.granted, value.rate, value.cap, value.balance);
}

[[nodiscard]] auto wireFields(same_struct<loan_grant> auto &value)
{
    return std::tie(value.sentAt, value.askerIncarnation, value.items);
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

[[nodiscard]] auto wireFields(same_struct<batch_ask> auto &value)
{
    return std::tie(value.workspace, value.number, value.accepted, value.kept, value.returned, value.wanted, value.urgent, value.sentAt);
}

[[nodiscard]] auto wireFields(same_struct<batch_grant> auto &value)
{
    return std::tie(value.workspace,
                    value.number,
                    value.askerIncarnation,
                    value.kept,
                    value.tokens,
                    value.sentAt,
                    value.retryAfter,
                    value.pace,
                    value.report);
}

} // namespace ragwortpin

#endif
