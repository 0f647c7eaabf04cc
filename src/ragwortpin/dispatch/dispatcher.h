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

/** Runs a call at the node's own target. */
using local_runner = std::function<boost::asio::awaitable<call_answer>(inbound_call)>;

/** Grants a request that is sent again from a budget that the fleet shares. */
using repeat_budget = std::function<boost::asio::awaitable<bool>(repeat_request request, std::shared_ptr<call_control> control)>;

/** Who the dispatcher acts for. */
struct dispatcher_identity
{
    std::string instance;
    signing_keys keys;
};

/** Settings of the dispatch. */
struct dispatch_options
{
    /** Longest time for a connection to a peer. */
    duration connectTimeout{seconds{2}};
    /** Whether a request that may have arrived at a target is ever sent to another one. */
    bool repeatsArrivals{true};
    /** Whether the first hop refuses by the shed levels that answers carry. */
    bool shedsByLevel{true};

    bool operator==(const dispatch_options &) const = default;
};

/**
 * Carries a call to an instance of its service: refuses early what the services behind would refuse late, chooses the
 * instance, forwards with a signed context, and retries within the call's allowance. Data thread only.
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

    /** Carries out a call. The answer gives back the part of the retry allowance that was not used. */
    [[nodiscard]] boost::asio::awaitable<call_answer> dispatch(inbound_call call);

    /** Decides at the first hop whether to try at all, and notes the probability in the context. */
    [[nodiscard]] bool admitNewCall(inbound_call &call);

    /** Forgets shed levels that relaxed. To be called every few seconds. */
    void forgetOld(time_point now);

private:
    struct attempt_target
    {
        std::size_t index{0};
        std::string name;
        endpoint address;
    };

    [[nodiscard]] std::optional<attempt_target> choose(service_directory &service, const std::vector<std::string> &tried);
    [[nodiscard]] boost::asio::awaitable<call_answer> attempt(inbound_call call, attempt_target instance, unsigned grant);
    [[nodiscard]] boost::asio::awaitable<call_answer> forward(inbound_call call, attempt_target instance, unsigned grant);
    /** Decides whether a failed attempt is followed by another one, and pays for it. */
    [[nodiscard]] boost::asio::awaitable<retry_verdict>
    grantRetry(failed_attempt failure, retry_escrow &escrow, service_directory &service, const inbound_call &call);
    void observe(
        service_directory &service, const attempt_target &instance, const call_answer &answer, const inbound_call &call, duration latency);

    dispatcher_identity m_self;
    http_client_pool &m_client;
    instance_directory &m_directory;
    local_runner m_runLocally;
    shed_memory m_shedMemory;
    std::mt19937_64 m_random;
    dispatch_options m_options;
    repeat_budget m_repeats;
    counter &m_attempts;
    counter &m_retries;
    counter &m_shedEarly;
};

} // namespace ragwortpin

#endif
