#ifndef RAGWORTPIN_DISPATCH_DISPATCHER_H
#define RAGWORTPIN_DISPATCH_DISPATCHER_H

#include "ragwortpin/admission/first_hop.h"
#include "ragwortpin/dispatch/call.h"
#include "ragwortpin/dispatch/directory.h"
#include "ragwortpin/http/client_pool.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/overload/repeats.h"
#include "ragwortpin/runtime/metrics.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace ragwortpin {

/** Runs a call at the node's own target and returns its answer. */
using local_runner = std::function<boost::asio::awaitable<call_answer>(inbound_call)>;

/** Requests a repeat, a retry of a request that may have reached a target, from the fleet-wide budget. Returns whether it is granted. */
using repeat_budget = std::function<boost::asio::awaitable<bool>(repeat_request request, std::shared_ptr<call_control> control)>;

/** Identity of the node: the instance name and the keys that sign forwarded contexts. */
struct dispatcher_identity
{
    std::string instance;
    signing_keys keys;
};

/** Settings of the dispatcher. */
struct dispatch_options
{
    /** Timeout for connecting to a peer. */
    duration connectTimeout{seconds{2}};
    /** Whether a request that may have reached a target can be repeated at another one. */
    bool allowsRepeats{true};
    /** Whether the first hop refuses requests by the shed levels carried in answers. */
    bool shedsByLevel{true};

    bool operator==(const dispatch_options &) const = default;
};

/**
 * Dispatches a call to an instance of its service: sheds at the first hop what downstream services would refuse, chooses the
 * instance, forwards the call with a signed context, and retries within the call's allowance. Data thread only.
 */
class dispatcher
{
public:
    dispatcher(dispatcher_identity self,
               http_client_pool &client,
               instance_directory &directory,
               metrics_registry &metrics,
               local_runner runLocally,
               std::uint64_t seed,
               dispatch_options options = {},
               repeat_budget repeats = {});

    /** Dispatches a call and returns its answer, which includes the unused part of the retry allowance. */
    [[nodiscard]] boost::asio::awaitable<call_answer> dispatch(inbound_call call);

    /** Decides at the first hop whether to admit a call, and stores the admission probability in its context. */
    [[nodiscard]] bool admitNewCall(inbound_call &call);

    /** Removes shed levels that have fully relaxed. Has to be called every few seconds. */
    void removeExpiredShedLevels(time_point now);

private:
    struct chosen_instance
    {
        std::size_t index{0};
        std::string name;
        endpoint address;
    };

    [[nodiscard]] std::optional<chosen_instance> chooseTarget(service_directory &service, const std::vector<std::string> &triedInstances);
    [[nodiscard]] boost::asio::awaitable<call_answer> attempt(inbound_call call, chosen_instance instance, unsigned grant);
    [[nodiscard]] boost::asio::awaitable<call_answer> forward(inbound_call call, chosen_instance instance, unsigned grant);
    /** Decides whether to retry after a failed attempt, and charges a granted retry to the allowance and the budget. */
    [[nodiscard]] boost::asio::awaitable<retry_verdict>
    grantRetry(failed_attempt failure, retry_allowance &escrow, service_directory &service, const inbound_call &call);
    void observe(
        service_directory &service, const chosen_instance &instance, const call_answer &answer, const inbound_call &call, duration latency);

    dispatcher_identity m_self;
    http_client_pool &m_client;
    instance_directory &m_directory;
    local_runner m_runLocally;
    shed_level_cache m_shedMemory;
    std::mt19937_64 m_random;
    dispatch_options m_options;
    repeat_budget m_repeatBudget;
    counter &m_attempts;
    counter &m_retries;
    counter &m_shedAtFirstHop;
};

} // namespace ragwortpin

#endif
