#ifndef RAGWORTPIN_NODE_CLAIMS_DUTY_H
#define RAGWORTPIN_NODE_CLAIMS_DUTY_H

#include "ragwortpin/claims/claims.h"
#include "ragwortpin/runtime/mailbox.h"
#include "ragwortpin/runtime/metrics.h"
#include "ragwortpin/store/store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <thread>
#include <variant>

namespace ragwortpin {

/** Asks whether a request of a once-route may run. */
struct claim_ask
{
    std::uint64_t id{0};
    claim_request request;
};

/** Tells how a claimed request ended. */
struct claim_finish
{
    std::uint64_t id{0};
    claim_handle handle;
    /** Ran is recorded with the answer, Unknown without; NotRun releases the claim. */
    outcome result{outcome::Unknown};
    recorded_answer answer;
};

/** Claim that an earlier lost answer may have left in the store. */
struct claim_drop
{
    claim_handle handle;
};

using claim_command = std::variant<std::monostate, claim_ask, claim_finish, claim_drop>;

/** Answer to claim_ask, or the end of a claim_finish. */
struct claim_reply
{
    std::uint64_t id{0};
    claim_result result;
};

/** Thread that makes the blocking store calls of once-routes. */
class claims_duty
{
public:
    claims_duty(claim_settings settings, store_call call, std::function<void(claim_reply)> reply, metrics_registry &metrics);
    claims_duty(const claims_duty &) = delete;
    claims_duty &operator=(const claims_duty &) = delete;
    ~claims_duty();

    void start();

    /** Ends the thread after the call under way. */
    void stop();

private:
    void handle(const claim_command &command);
    void ask(const claim_ask &command);
    void finish(const claim_finish &command);
    void drop(const claim_handle &abandoned);
    void schedulePruning();

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_pruneTimer;
    claim_settings m_settings;
    store_call m_call;
    std::function<void(claim_reply)> m_reply;
    store_breaker m_breaker;
    prune_cursor m_pruneCursor;
    counter &m_claims;
    counter &m_refused;
    counter &m_unrecorded;
    distribution &m_claimTime;
    std::thread m_thread;

public:
    /** Commands of the data thread. */
    mailbox<claim_command> fromData;
};

} // namespace ragwortpin

#endif
