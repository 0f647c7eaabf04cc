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

/** Requests a claim for a request of an at-most-once route. The claim permits the request to run. */
struct acquire_claim_command
{
    std::uint64_t id{0};
    claim_request request;
};

/** Records the outcome of a claimed request, or releases its claim. */
struct finish_claim_command
{
    std::uint64_t id{0};
    claim_handle handle;
    /** Ran is recorded together with the answer, Unknown without an answer. NotRun releases the claim. */
    outcome result{outcome::Unknown};
    recorded_answer answer;
};

/** Deletes a claim that may have been left in the store by a call whose reply was lost. */
struct drop_claim_command
{
    claim_handle handle;
};

using claim_command = std::variant<std::monostate, acquire_claim_command, finish_claim_command, drop_claim_command>;

/** Reply to acquire_claim_command, or the completion of finish_claim_command. */
struct claim_reply
{
    std::uint64_t id{0};
    claim_result result;
};

/** Worker thread that makes the blocking store calls for the claims of at-most-once routes. */
class claims_duty
{
public:
    claims_duty(claim_settings settings, store_call call, std::function<void(claim_reply)> reply, metrics_registry &metrics);
    claims_duty(const claims_duty &) = delete;
    claims_duty &operator=(const claims_duty &) = delete;
    ~claims_duty();

    void start();

    /** Waits for the store call in progress, then ends the thread. Pending commands are discarded. */
    void stop();

private:
    void handle(const claim_command &command);
    void acquireClaim(const acquire_claim_command &command);
    void finishClaim(const finish_claim_command &command);
    void removeClaimWithRetries(const claim_handle &abandoned);
    void schedulePruning();

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    boost::asio::steady_timer m_pruneTimer;
    claim_settings m_settings;
    store_call m_call;
    std::function<void(claim_reply)> m_reply;
    store_breaker m_breaker;
    prune_cursor m_pruneCursor;
    counter &m_claimsGranted;
    counter &m_claimsNotGranted;
    counter &m_unrecordedOutcomes;
    distribution &m_claimLatency;
    std::thread m_thread;

public:
    /** Commands from the data thread. */
    mailbox<claim_command> fromData;
};

} // namespace ragwortpin

#endif
