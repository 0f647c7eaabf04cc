#ifndef RAGWORTPIN_NODE_EVENTS_H
#define RAGWORTPIN_NODE_EVENTS_H

#include "ragwortpin/config/lookup.h"
#include "ragwortpin/membership/view.h"
#include "ragwortpin/rights/rights.h"
#include "ragwortpin/store/store.h"
#include "ragwortpin/targets/target_gateway.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace ragwortpin {

/** A configuration that is in force from now on. */
struct configuration_event
{
    std::shared_ptr<const configuration_index> index;
};

/** A new membership snapshot. */
struct membership_event
{
    std::shared_ptr<const membership_view> view;
};

/** Payload of a loans datagram whose signature was checked. */
struct loan_event
{
    std::string sender;
    std::string payload;
};

/** Payload of a digest datagram whose signature was checked. */
struct digest_event
{
    std::string sender;
    std::string payload;
};

/** What the control thread tells the data thread. */
using control_event = std::variant<std::monostate, configuration_event, membership_event, loan_event, digest_event>;

/** The target leaves. */
struct drain_event
{ };

/** The node shall end gracefully. */
struct shutdown_event
{ };

/** What the operators thread tells the data thread. */
using operator_event = std::variant<std::monostate, target_announcement, target_departure, drain_event, shutdown_event>;

/** Reply to a store call of the rate limiter. */
struct rate_reply_event
{
    std::uint64_t token{0};
    store_reply reply;
};

} // namespace ragwortpin

#endif
